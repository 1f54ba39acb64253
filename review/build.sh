#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into target/review. Needs a C++ compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++17 -O2 -Wall -Wextra -pthread -Ireview/common -o "target/review/case-$number" "$source"
done
