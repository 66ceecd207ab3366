#!/usr/bin/env bash
# Runs the randomised tests with new seeds for SECONDS seconds; `tools/fuzz.sh BUILD SECONDS`. Prints
# the command of each run. Stops at the first failure and prints the command that repeats it.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
seconds=${2:-30}
end=$((SECONDS + seconds))
output=$build/fuzz.out

run() {
    local command=$1
    echo "$command"
    if ! eval "$command" > "$output" 2>&1; then
        tail -n 60 "$output"
        echo "fuzz: failed; repeat with: $command" >&2
        exit 1
    fi
    grep '^system:' "$output" || true
}

while [ "$SECONDS" -lt "$end" ]; do
    seed=$((RANDOM * 32768 * 32768 + RANDOM * 32768 + RANDOM))
    run "FLAMINGO_FUZZ_SEED=$seed FLAMINGO_FUZZ_RUNS=4 $build/system_fuzz_test"
    for fuzzTest in "$build"/*_fuzz_test; do
        [ "$SECONDS" -lt "$end" ] || break
        [ "$(basename "$fuzzTest")" != system_fuzz_test ] || continue
        run "RC_PARAMS='seed=$seed max_success=100 max_size=60' $fuzzTest"
    done
done
echo "fuzz: no failures in $seconds s"
