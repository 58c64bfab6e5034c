#!/bin/bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs the packages of deploy/system.toml only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags="-std=c++20 -O1 -g -Wall -Wextra -Ireview/standin-3"
g++ $flags -c review/standin-3/world.cc -o target/review-3/world.o
for source in review/1[1-5]/case.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ $flags "$source" target/review-3/world.o -pthread -o "target/review-3/case-$number"
done
