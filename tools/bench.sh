#!/usr/bin/env bash
# Runs every measurement one after another, from fixed seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
for bench in "$build"/*_bench; do
    echo "== $(basename "$bench")"
    "$bench"
done
echo "== control cost of running processes"
tools/control_cost.sh "$build"
