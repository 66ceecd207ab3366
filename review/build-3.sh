#!/usr/bin/env bash
# Builds the programs of this review's scripts into target/review-3, which git ignores. Needs the
# build of the deploy file only to run them. Offline; the compiler and the JSON library of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
flags=(-std=c++17 -O2 -Wall -Wextra -pthread -Ireview/rig-3)
g++ "${flags[@]}" -c review/rig-3/rig.cc -o target/review-3/rig.o
for source in review/rig-3/*.cc; do
    name=$(basename "$source" .cc)
    [ "$name" = rig ] && continue
    g++ "${flags[@]}" "$source" target/review-3/rig.o -o "target/review-3/$name"
done
