#!/usr/bin/env bash
# Runs clang-tidy over every source file; `tools/lint.sh BUILD FILE...` over the given files only.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2> "$build/lint.err" \
    || { grep -v 'warnings generated' "$build/lint.err" || true; echo "lint: failed" >&2; exit 1; }
echo "lint: no findings in ${#files[@]} files"
