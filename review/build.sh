#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/build/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
pids=()
for source in review/rig/*.cc review/[1-5]/case.cc; do
    [ -e "$source" ] || continue
    object=review/build/$(echo "${source#review/}" | tr / -).o
    g++ -std=c++17 -O2 -Wall -Wextra -I. -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for source in review/[1-5]/case.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -o "review/build/case-$number" "review/build/$number-case.cc.o" review/build/rig-*.o -pthread
done
