#!/usr/bin/env bash
# Guards against requests that are rejected, run twice or get a wrong verdict while the log service is
# down or its responses are lost, and against a table edit that is accepted during the outage or
# reverts after it.
set -euo pipefail
. tools/cluster.sh
clusterInit "$1" 20600
startSmallInstallation
createOrganisations entry-v
submitSettlement() { # KEY
    submit entry-v "{\"organisation\":\"lots\",\"key\":\"$1\",\"idempotent\":false,\"deadlineMs\":30000,
        \"payload\":\"{\\\"runMs\\\":50,\\\"answer\\\":\\\"paid $1\\\"}\"}"
}
# While the log is down, only owners with a Clean record in the log may grant claims.
waitFor 20 rangesReady vestland worker-v1 worker-v2
expectEqual "settlement before the outage" "$(submitSettlement a | jq -r .answer)" "paid a"

setFaults '{"log":"down"}'
expectEqual "idempotent job during the outage" \
    "$(submit entry-v '{"organisation":"lots","payload":"{\"answer\":\"score\"}"}' | jq -r .answer)" score
for key in b c d; do
    expectEqual "settlement $key during the outage" "$(submitSettlement $key | jq -r .answer)" "paid $key"
done
expectEqual "verdict of the repeated settlement a" "$(submitSettlement a | jq -r .verdict)" ran
version=$(curl -fsS "http://${httpAddressOf[entry-v]}/v1/table" | jq .version)
edit="{\"baseVersion\":$version,\"author\":\"kari\",\"change\":{\"organisations\":[{\"name\":\"new\",\"homeRegion\":\"vestland\"}]}}"
status=$(curl -sS -o "$workDir/edit" -w '%{http_code}' -X POST "http://${httpAddressOf[entry-v]}/v1/table" -d "$edit")
[ "$status" != 200 ] || fail "an edit was accepted while the log was down"
echo "edit during the outage: $status $(jq -r .reason "$workDir/edit")"

setFaults '{"log":"up","loseAnswers":2}'
waitFor 20 tableEditSucceeds entry-v new
for key in b c d; do
    [ "$(submitSettlement $key | jq -r .verdict)" != not_run ] || [ "$(runCount "$key")" = 0 ] || fail "settlement $key has run, but was answered not_run"
done
perJob=$(curl -fsS "http://$standinAddress/runs" | jq '[.[]] | max')
expectEqual "most runs of one settlement" "$perJob" 1
expectEqual "new organisation in the table of the other region" \
    "$(curl -fsS "http://${httpAddressOf[entry-t]}/v1/table" | jq '[.organisations[].name] | index("new") != null')" true
