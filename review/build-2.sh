#!/usr/bin/env bash
# Builds the stand-ins of the second review into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/standin-2/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-2/$name" "$source"
done
