#!/usr/bin/env bash
# Runs all benchmarks one after another, with fixed seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
for bench in "$build"/*_bench; do
    echo "== $(basename "$bench")"
    "$bench"
done
echo "== resource use of the running processes"
tools/control_cost.sh "$build"
