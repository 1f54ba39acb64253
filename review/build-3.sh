#!/usr/bin/env bash
# Builds the programs of the scripts of the third review into target/review-3/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/main.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++17 -O2 -Wall -Wextra -pthread "$source" -o "target/review-3/case-$number"
done
