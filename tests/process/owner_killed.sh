#!/usr/bin/env bash
# Guards against a second run of a settlement when the owner of its key is killed, or is paused
# (SIGSTOP) while another agent takes over the key and later continues (SIGCONT).
set -euo pipefail
. tools/cluster.sh
clusterInit "$1" 20300
startStandin
startEntry entry-1 vestland bergen-1
for i in 1 2 3; do startAgent worker-$i vestland bergen-1 rack-1; done
waitFor 15 targetsConnected entry-1 3 vestland
createOrganisations entry-1

submitSettlement() { # KEY
    submit entry-1 "{\"organisation\":\"lots\",\"key\":\"$1\",\"idempotent\":false,\"deadlineMs\":45000,
        \"payload\":\"{\\\"runMs\\\":50,\\\"answer\\\":\\\"paid $1\\\"}\"}"
}
for key in a b c d e f; do
    expectEqual "settlement $key" "$(submitSettlement $key | jq -r .answer)" "paid $key"
done
signalProcess worker-1 STOP
for key in a b c d e f; do
    reply=$(submitSettlement $key)
    verdict=$(jq -r .verdict <<< "$reply")
    [ "$verdict" != not_run ] || fail "settlement $key had run, but was answered not_run: $reply"
done
signalProcess worker-1 CONT
sleep 2
for key in a b c d e f; do
    reply=$(submitSettlement $key)
    [ "$(jq -r .verdict <<< "$reply")" != not_run ] || fail "settlement $key had run, but was answered not_run after its owner continued: $reply"
done
expectEqual "runs of six settlements" "$(runCount '.*')" 6
killProcess worker-2
for key in g h i; do
    reply=$(submitSettlement $key)
    verdict=$(jq -r .verdict <<< "$reply")
    echo "verdict of the new settlement $key after an agent was killed: $verdict"
done
perJob=$(curl -fsS "http://$standinAddress/runs" | jq '[.[]] | max')
expectEqual "most runs of one settlement" "$perJob" 1
