#!/usr/bin/env bash
# Guards against odd lines of another writer in the log that end an entry or an agent, again at each
# restart, or stop them from following the lines after them.
set -euo pipefail
. tools/cluster.sh
clusterInit "$1" 21500
startStandin

appendLine() { # STREAM FILE
    jq -Rs '{lines: [.]}' "$2" | curl -fsS -X POST "http://$standinAddress/log/$1" -d @- > /dev/null
}

deep="$(printf '[%.0s' {1..500000})$(printf ']%.0s' {1..500000})"
line="$workDir/line"
appendOddLines() {
    printf '{"kind":%s}' "$deep" > "$line"
    appendLine table "$line"
    printf '{"kind":"Snapshot","version":18446744073709551615,"nextOffset":9223372036854775808}' > "$line"
    appendLine table "$line"
    printf '%s' "$deep" > "$line"
    appendLine claims "$line"
    printf '{"type":"Announce","agent":"worker-1","region":"vestland","incarnation":18446744073709551615}' > "$line"
    appendLine claims "$line"
}

ignoredLines() { # PROCESS STREAM COUNT
    [ "$(grep -c "ignored line stream=$2 offset=.* reason=" "$workDir/$1.log")" -ge "$3" ]
}

finished() { # KEY
    [ "$(submit entry-1 "{\"organisation\":\"lots\",\"key\":\"$1\",\"idempotent\":false,\"payload\":\"{\\\"runMs\\\":100}\"}" \
        | jq -r .verdict)" = ran ]
}

expectFinished() { # KEY
    waitFor 60 finished "$1"
    echo "ok: $1 ran"
}

appendOddLines
startEntry entry-1 vestland bergen-1
startAgent worker-1 vestland bergen-1 rack-1
startAgent worker-2 vestland bergen-1 rack-1
waitFor 15 targetsConnected entry-1 2 vestland
createOrganisations entry-1
expectFinished lot-1
appendOddLines
waitFor 10 ignoredLines entry-1 table 4
waitFor 10 ignoredLines entry-1 claims 4
waitFor 10 ignoredLines worker-1 claims 4
expectEqual "second edit of the table" "$(postTableEdit entry-1 '{"remove":["archive"]}' | jq -r .verdict)" ran
expectFinished lot-2

# The lines are read again after a restart.
killProcess entry-1
killProcess worker-1
startEntry entry-1 vestland bergen-1
startAgent worker-1 vestland bergen-1 rack-1
waitFor 15 targetsConnected entry-1 2 vestland
waitFor 10 ignoredLines entry-1 table 8
waitFor 10 ignoredLines worker-1 claims 8
expectEqual "organisations after the restart" \
    "$(curl -fsS "http://${httpAddressOf[entry-1]}/v1/table" | jq -c '[.organisations[].name]')" '["lots"]'
expectFinished lot-3
for name in entry-1 worker-1 worker-2; do
    kill -0 "${pidOf[$name]}" || fail "$name ended"
done
echo "ok: all processes run"
