#!/usr/bin/env bash
# Guards against a region that cannot serve its own callers and guarantees while it is cut off from the
# other region and from the log, against a second run of a settlement across the cut, and against an
# edit that is called accepted while a region does not have it.
set -euo pipefail
. tools/cluster.sh
clusterInit "$1" 21200
startStandin
# The link: peers of both entries and, for trondelag, the log service in vestland.
linkControl="127.0.0.1:$((basePort + 80))"
advertisedV="127.0.0.1:$((basePort + 81))" advertisedT="127.0.0.1:$((basePort + 82))"
linkToLog="127.0.0.1:$((basePort + 83))"
"$build/relay" "$linkControl" "$advertisedV=127.0.0.1:$((basePort + 10))" \
    "$advertisedT=127.0.0.1:$((basePort + 12))" "$linkToLog=$standinAddress" &
pidOf[relay]=$!
waitFor 5 curl -fsS "http://$linkControl/bytes"
startEntry entry-v vestland bergen-1 "\"advertisedAddress\": \"$advertisedV\""
logAddress=$linkToLog
seeds="\"$advertisedV\""
startEntry entry-t trondelag trondheim-1 "\"advertisedAddress\": \"$advertisedT\""
for i in 1 2 3; do startAgent worker-t$i trondelag trondheim-1 rack-2; done
logAddress=$standinAddress
for i in 1 2 3; do startAgent worker-v$i vestland bergen-1 rack-1; done
waitFor 15 targetsKnown entry-v 3 vestland
waitFor 15 targetsKnown entry-t 3 trondelag
organisations='{"organisations":[
    {"name":"lots","homeRegion":"vestland","weight":4,
     "guarantees":[{"region":"trondelag","copies":1,"members":1,"accelerators":8}]},
    {"name":"archive","homeRegion":"trondelag","weight":1}]}'
# Refused as unpackable until the entry has learned the workers of the other region.
waitFor 15 postTable entry-v "$organisations"
settle() { # ENTRY REGION KEY
    submit "$1" "{\"organisation\":\"lots\",\"homeRegion\":\"$2\",\"key\":\"$3\",\"idempotent\":false,
        \"deadlineMs\":20000,\"payload\":\"{\\\"runMs\\\":50,\\\"answer\\\":\\\"paid $3\\\"}\"}"
}
cutBy() { # WHAT
    curl -fsS -X POST "http://$linkControl/$1" > /dev/null
}
expect "settlement of the other region before the cut" "$(settle entry-v trondelag a | jq -r .answer)" "paid a"
expect "settlement asked only in the cut-off region" "$(settle entry-t trondelag x | jq -r .answer)" "paid x"
waitFor 20 rangesReady trondelag worker-t1 worker-t2 worker-t3
cutBy cut
sleep 3
expect "key of the cut-off region, asked there again" "$(settle entry-t trondelag a | jq -r .answer)" "paid a"
expect "answer that vestland already has" "$(settle entry-v trondelag a | jq -r .answer)" "paid a"
reply=$(settle entry-v trondelag x)
expect "key of the cut-off region asked across the cut" "$(jq -r .verdict <<< "$reply")" may_have_run
expect "new key in vestland during the cut" "$(settle entry-v vestland b | jq -r .answer)" "paid b"
expect "new key in trondelag during the cut" "$(settle entry-t trondelag c | jq -r .answer)" "paid c"

# Guests fill every accelerator of trondelag; the guarantee of lots is reclaimed by local decision.
for i in 1 2 3; do
    submit entry-t '{"organisation":"archive","homeRegion":"trondelag","accelerators":8,"wait":false,
        "checkpointable":true,"payload":"{\"runMs\":20000}"}' > /dev/null
done
waitFor 5 runsReach 6 '.*'
start=$(date +%s%3N)
reply=$(submit entry-t '{"organisation":"lots","homeRegion":"trondelag","jobClass":"urgent","accelerators":8,
    "payload":"{\"runMs\":50,\"answer\":\"urgent\"}"}')
took=$(($(date +%s%3N) - start))
expect "guaranteed shape reclaimed during the cut" "$(jq -r .answer <<< "$reply")" urgent
[ "$took" -le 3350 ] || fail "urgent work took $took ms, bound 3300 ms to start and 50 ms to run"
echo "urgent work on lent accelerators took $took ms"

version=$(curl -fsS "http://${httpOf[entry-v]}/v1/table" | jq .version)
status=$(curl -sS -o "$work/edit" -w '%{http_code}' -X POST "http://${httpOf[entry-v]}/v1/table" \
    -d "{\"baseVersion\":$version,\"author\":\"kari\",\"change\":{\"organisations\":[{\"name\":\"cut\",\"homeRegion\":\"vestland\"}]}}")
expect "edit during the cut is recorded, not accepted" "$status" 202
echo "pending: $(jq -r .detail "$work/edit")"

cutBy join
start=$(date +%s%3N)
waitFor 20 sameVersion
echo "tables equal $(($(date +%s%3N) - start)) ms after the rejoin, $(curl -fsS "http://$linkControl/bytes") over the link"
for key in a c x; do
    expect "key $key of trondelag asked in vestland after the rejoin" \
        "$(settle entry-v trondelag $key | jq -r .answer)" "paid $key"
done
perJob=$(curl -fsS "http://$standinAddress/runs" | jq '[.[]] | max')
expect "most runs of one job" "$perJob" 1
