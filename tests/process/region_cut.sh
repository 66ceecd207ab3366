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
waitFor 15 targetsConnected entry-v 3 vestland
waitFor 15 targetsConnected entry-t 3 trondelag
organisations='{"organisations":[
    {"name":"lots","homeRegion":"vestland","weight":4,
     "guarantees":[{"region":"trondelag","copies":1,"members":1,"accelerators":8}]},
    {"name":"archive","homeRegion":"trondelag","weight":1}]}'
# Refused as unpackable until the entry has learned the workers of the other region.
waitFor 15 postTableEdit entry-v "$organisations"
submitSettlement() { # ENTRY REGION KEY
    submit "$1" "{\"organisation\":\"lots\",\"homeRegion\":\"$2\",\"key\":\"$3\",\"idempotent\":false,
        \"deadlineMs\":20000,\"payload\":\"{\\\"runMs\\\":50,\\\"answer\\\":\\\"paid $3\\\"}\"}"
}
setLink() { # WHAT
    curl -fsS -X POST "http://$linkControl/$1" > /dev/null
}
expectEqual "settlement of the other region before the cut" "$(submitSettlement entry-v trondelag a | jq -r .answer)" "paid a"
expectEqual "settlement asked only in the cut-off region" "$(submitSettlement entry-t trondelag x | jq -r .answer)" "paid x"
waitFor 20 rangesReady trondelag worker-t1 worker-t2 worker-t3
setLink cut
sleep 3
expectEqual "key of the cut-off region, asked there again" "$(submitSettlement entry-t trondelag a | jq -r .answer)" "paid a"
expectEqual "answer that vestland already has" "$(submitSettlement entry-v trondelag a | jq -r .answer)" "paid a"
reply=$(submitSettlement entry-v trondelag x)
expectEqual "key of the cut-off region asked across the cut" "$(jq -r .verdict <<< "$reply")" may_have_run
expectEqual "new key in vestland during the cut" "$(submitSettlement entry-v vestland b | jq -r .answer)" "paid b"
expectEqual "new key in trondelag during the cut" "$(submitSettlement entry-t trondelag c | jq -r .answer)" "paid c"

# Guests fill every accelerator of trondelag; the guarantee of lots is reclaimed by local decision.
for i in 1 2 3; do
    submit entry-t '{"organisation":"archive","homeRegion":"trondelag","accelerators":8,"wait":false,
        "checkpointable":true,"payload":"{\"runMs\":20000}"}' > /dev/null
done
waitFor 5 runCountReaches 6 '.*'
start=$(date +%s%3N)
reply=$(submit entry-t '{"organisation":"lots","homeRegion":"trondelag","jobClass":"urgent","accelerators":8,
    "payload":"{\"runMs\":50,\"answer\":\"urgent\"}"}')
took=$(($(date +%s%3N) - start))
expectEqual "guaranteed shape reclaimed during the cut" "$(jq -r .answer <<< "$reply")" urgent
[ "$took" -le 3350 ] || fail "urgent work took $took ms, bound 3300 ms to start and 50 ms to run"
echo "urgent work on lent accelerators took $took ms"

version=$(curl -fsS "http://${httpAddressOf[entry-v]}/v1/table" | jq .version)
status=$(curl -sS -o "$workDir/edit" -w '%{http_code}' -X POST "http://${httpAddressOf[entry-v]}/v1/table" \
    -d "{\"baseVersion\":$version,\"author\":\"kari\",\"change\":{\"organisations\":[{\"name\":\"cut\",\"homeRegion\":\"vestland\"}]}}")
expectEqual "edit during the cut is recorded, not accepted" "$status" 202
echo "pending: $(jq -r .detail "$workDir/edit")"

setLink join
start=$(date +%s%3N)
waitFor 20 sameTableVersion
echo "tables equal $(($(date +%s%3N) - start)) ms after the rejoin, $(curl -fsS "http://$linkControl/bytes") over the link"
for key in a c x; do
    expectEqual "key $key of trondelag asked in vestland after the rejoin" \
        "$(submitSettlement entry-v trondelag $key | jq -r .answer)" "paid $key"
done
perJob=$(curl -fsS "http://$standinAddress/runs" | jq '[.[]] | max')
expectEqual "most runs of one job" "$perJob" 1
