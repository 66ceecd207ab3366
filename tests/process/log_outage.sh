#!/usr/bin/env bash
# Guards against callers that are turned away, run twice or told a wrong verdict while the log service is
# out, slow or loses answers, and against an edit that reverts after it.
set -euo pipefail
. tools/cluster.sh
clusterInit "$1" 20600
startSmallInstallation
createOrganisations entry-v
settle() { # KEY
    submit entry-v "{\"organisation\":\"lots\",\"key\":\"$1\",\"idempotent\":false,\"deadlineMs\":30000,
        \"payload\":\"{\\\"runMs\\\":50,\\\"answer\\\":\\\"paid $1\\\"}\"}"
}
# Only owners with a Clean record in the log may grant while it is out.
waitFor 20 rangesReady vestland worker-v1 worker-v2
expect "settlement before the outage" "$(settle a | jq -r .answer)" "paid a"

fault '{"log":"down"}'
expect "idempotent job during the outage" \
    "$(submit entry-v '{"organisation":"lots","payload":"{\"answer\":\"score\"}"}' | jq -r .answer)" score
for key in b c d; do
    expect "settlement $key during the outage" "$(settle $key | jq -r .answer)" "paid $key"
done
expect "repeated settlement a" "$(settle a | jq -r .verdict)" ran
version=$(curl -fsS "http://${httpOf[entry-v]}/v1/table" | jq .version)
edit="{\"baseVersion\":$version,\"author\":\"kari\",\"change\":{\"organisations\":[{\"name\":\"new\",\"homeRegion\":\"vestland\"}]}}"
status=$(curl -sS -o "$work/edit" -w '%{http_code}' -X POST "http://${httpOf[entry-v]}/v1/table" -d "$edit")
[ "$status" != 200 ] || fail "an edit was accepted while the log was down"
echo "edit during the outage: $status $(jq -r .reason "$work/edit")"

fault '{"log":"up","loseAnswers":2}'
waitFor 20 editSucceeds entry-v new
for key in b c d; do
    [ "$(settle $key | jq -r .verdict)" != not_run ] || [ "$(runsOf "$key")" = 0 ] || fail "wrong verdict"
done
perJob=$(curl -fsS "http://$standinAddress/runs" | jq '[.[]] | max')
expect "most runs of one settlement" "$perJob" 1
expect "table version at the other region" \
    "$(curl -fsS "http://${httpOf[entry-t]}/v1/table" | jq '[.organisations[].name] | index("new") != null')" true
