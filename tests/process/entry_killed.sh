#!/usr/bin/env bash
# Guards against a lost answer and a second run when an entry is killed while a settlement runs: the
# caller repeats the request through another entry of the region and must get the whole answer of the
# only run.
set -euo pipefail
. tools/cluster.sh
clusterInit "$1" 20000
startStandin
startEntry entry-1 vestland bergen-1
startEntry entry-2 vestland bergen-2
startAgent worker-1 vestland bergen-1 rack-1
startAgent worker-2 vestland bergen-2 rack-2
waitFor 15 targetsConnected entry-1 2 vestland
waitFor 15 targetsConnected entry-2 2 vestland
createOrganisations entry-1

settlement='{"organisation":"lots","key":"lot-17","idempotent":false,"payload":"{\"runMs\":2000,\"answer\":\"paid 40\"}"}'
submit entry-1 "$settlement" > /dev/null 2>&1 &
waitFor 20 runCountReaches 1 '.*'
killProcess entry-1
reply=$(submit entry-2 "$settlement")
expectEqual "verdict after the entry was killed" "$(jq -r .verdict <<< "$reply")" ran
expectEqual "whole answer" "$(jq -r .answer <<< "$reply")" "paid 40"
expectEqual "runs of the settlement" "$(runCount '.*')" 1
