#!/usr/bin/env bash
# Guards against requests that a graceful shutdown (SIGTERM) of an entry or an agent cuts off, and
# against new work that is assigned to a draining target.
set -euo pipefail
. tools/cluster.sh
clusterInit "$1" 20900
startStandin
startEntry entry-1 vestland bergen-1
startEntry entry-2 vestland bergen-1
startAgent worker-1 vestland bergen-1 rack-1
waitFor 15 targetsConnected entry-1 1 vestland
waitFor 15 targetsConnected entry-2 1 vestland
createOrganisations entry-1

long='{"organisation":"lots","payload":"{\"runMs\":2500,\"answer\":\"whole\"}"}'
submit entry-1 "$long" > "$workDir/first" &
first=$!
waitFor 10 runCountReaches 1 '.*'
stopGracefully entry-1 20
wait $first
expectEqual "answer of a request in progress when the entry stopped" "$(jq -r .answer "$workDir/first")" whole

startAgent worker-2 vestland bergen-1 rack-1
waitFor 15 targetsConnected entry-2 2 vestland
submit entry-2 "$long" > "$workDir/second" &
second=$!
waitFor 10 runCountReaches 2 '.*'
runner=worker-1
grep -q 'run task=entry-2' "$workDir/worker-2.log" && runner=worker-2
curl -fsS -X POST "http://${httpAddressOf[entry-2]}/v1/targets/$runner/drain" > /dev/null
sleep 3 # invariant 6: a leaving target receives no new work after 3 s
before=$(grep -c 'run task=' "$workDir/$runner.log")
for i in 1 2 3 4 5 6; do
    expectEqual "job $i while a target is draining" \
        "$(submit entry-2 '{"organisation":"lots","payload":"{\"answer\":\"x\"}"}' | jq -r .answer)" x
done
expectEqual "starts at the draining target" "$(grep -c 'run task=' "$workDir/$runner.log")" "$before"
stopGracefully $runner 20
wait $second
expectEqual "answer of a request in progress when its agent stopped" "$(jq -r .answer "$workDir/second")" whole
