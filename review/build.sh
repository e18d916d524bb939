#!/usr/bin/env bash
# Builds the stand-ins of each script into build/ of its folder.
set -euo pipefail
cd "$(dirname "$0")"
for source in [1-5]/case.cpp; do
    folder=${source%/case.cpp}
    mkdir -p "$folder/build"
    g++ -std=c++20 -O1 -Wall -Wextra -o "$folder/build/case" "$source" &
done
for job in $(jobs -p); do
    wait "$job"
done
