#!/usr/bin/env bash
# Builds the programs of the scripts review/6 to review/10 into target/review-2/. Needs the C++ compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    if [ -f "review/$number/main.cc" ]; then
        c++ -std=c++17 -O1 -Wall -Wextra -pthread "review/$number/main.cc" -o "target/review-2/case-$number"
    fi
done
