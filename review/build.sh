#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]*/case.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "build/case-${source%/case.cpp}" "$source" &
done
for job in $(jobs -p); do
    wait "$job"
done
