#!/usr/bin/env bash
# Regenerates the two tables of docs/settings.md from the settings in the code; a test compares them.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
awk -v entry="$("$build/flamingoctl" settings entry)" -v agent="$("$build/flamingoctl" settings agent)" '
    /^\|/ { if (!inTable) { print (tables++ == 0 ? entry : agent) } inTable = 1; next }
    { inTable = 0; print }' docs/settings.md > "$build/settings.md"
mv "$build/settings.md" docs/settings.md
