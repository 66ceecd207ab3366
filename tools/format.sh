#!/usr/bin/env bash
# Fails when a source file is not formatted with clang-format; `tools/format.sh --fix` formats in place.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' '*.h' \
    | grep -v _generated.h)
if [ "${1:-}" = "--fix" ]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run -Werror "${files[@]}"
    echo "format: ${#files[@]} files are formatted"
fi
