#!/usr/bin/env bash
# Guards against faults during a network partition: a region that is cut off from the other region and
# from the log must serve its own callers and guarantees, a settlement must not run a second time on the
# other side, and an edit must not be reported as accepted while a region does not have it.
set -euo pipefail
. tools/cluster.sh
clusterInit "$1" 21200
startStandin
# The relay carries all traffic between the regions: the peer connections of both entries and the
# connections of trondelag to the log service, which is in vestland.
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
# Rejected as unpackable until the entry has received reports of the other region's workers.
waitFor 15 postTableEdit entry-v "$organisations"
submitSettlement() { # ENTRY REGION KEY
    submit "$1" "{\"organisation\":\"lots\",\"homeRegion\":\"$2\",\"key\":\"$3\",\"idempotent\":false,
        \"deadlineMs\":20000,\"payload\":\"{\\\"runMs\\\":50,\\\"answer\\\":\\\"paid $3\\\"}\"}"
}
setLink() { # cut|join
    curl -fsS -X POST "http://$linkControl/$1" > /dev/null
}
expectEqual "settlement of trondelag requested in vestland before the cut" "$(submitSettlement entry-v trondelag a | jq -r .answer)" "paid a"
expectEqual "settlement of trondelag requested in trondelag before the cut" "$(submitSettlement entry-t trondelag x | jq -r .answer)" "paid x"
waitFor 20 rangesReady trondelag worker-t1 worker-t2 worker-t3
setLink cut
sleep 3
expectEqual "settlement repeated in the cut-off region" "$(submitSettlement entry-t trondelag a | jq -r .answer)" "paid a"
expectEqual "settlement repeated in vestland, which has stored the answer" "$(submitSettlement entry-v trondelag a | jq -r .answer)" "paid a"
reply=$(submitSettlement entry-v trondelag x)
expectEqual "settlement repeated in vestland, which has no answer stored" "$(jq -r .verdict <<< "$reply")" may_have_run
expectEqual "new settlement in vestland during the cut" "$(submitSettlement entry-v vestland b | jq -r .answer)" "paid b"
expectEqual "new settlement in trondelag during the cut" "$(submitSettlement entry-t trondelag c | jq -r .answer)" "paid c"

# Borrowing tasks occupy all accelerators of trondelag. The region must reclaim the guaranteed shape of
# lots without the other region and the log.
repeatableJobs=() # may run more than once: they are idempotent, and borrowing ones are evicted
for i in 1 2 3; do
    repeatableJobs+=("$(submit entry-t '{"organisation":"archive","homeRegion":"trondelag","accelerators":8,"wait":false,
        "checkpointable":true,"payload":"{\"runMs\":20000}"}' | jq -r .job)")
done
waitFor 5 runCountReaches 6 '.*'
start=$(date +%s%3N)
reply=$(submit entry-t '{"organisation":"lots","homeRegion":"trondelag","jobClass":"urgent","accelerators":8,
    "payload":"{\"runMs\":50,\"answer\":\"urgent\"}"}')
took=$(($(date +%s%3N) - start))
repeatableJobs+=("$(jq -r .job <<< "$reply")")
expectEqual "guaranteed shape reclaimed during the cut" "$(jq -r .answer <<< "$reply")" urgent
[ "$took" -le 3350 ] || fail "the urgent job took $took ms; the limit is 3300 ms to start and 50 ms to run"
echo "the urgent job on lent accelerators took $took ms"

version=$(curl -fsS "http://${httpAddressOf[entry-v]}/v1/table" | jq .version)
status=$(curl -sS -o "$workDir/edit" -w '%{http_code}' -X POST "http://${httpAddressOf[entry-v]}/v1/table" \
    -d "{\"baseVersion\":$version,\"author\":\"kari\",\"change\":{\"organisations\":[{\"name\":\"cut\",\"homeRegion\":\"vestland\"}]}}")
expectEqual "status of an edit during the cut (202: recorded, not accepted)" "$status" 202
echo "pending: $(jq -r .detail "$workDir/edit")"

setLink join
start=$(date +%s%3N)
waitFor 20 sameTableVersion
echo "the regions had the same table version $(($(date +%s%3N) - start)) ms after the rejoin; over the link: $(curl -fsS "http://$linkControl/bytes")"
for key in a c x; do
    expectEqual "settlement $key of trondelag repeated in vestland after the rejoin" \
        "$(submitSettlement entry-v trondelag $key | jq -r .answer)" "paid $key"
done
expectEqual "runs of the settlements a, b, c and x, under any job id" "$(runCountWithout "${repeatableJobs[@]}")" 4
