#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review. Needs g++ and nlohmann-json3-dev, which deploy/system.toml lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
pids=()
for source in review/standin/*.cc; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cc)" "$source" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
