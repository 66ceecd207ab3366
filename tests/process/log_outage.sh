#!/usr/bin/env bash
# Guards against requests that are rejected, run twice or get a wrong verdict while the log service is
# down or its responses are lost, and against a table edit that is accepted during the outage or
# reverts after it.
set -euo pipefail
. tools/cluster.sh
clusterInit "$1" 20600
startSmallInstallation
createOrganisations entry-v
submitSettlement() { # KEY [ENTRY]
    submit "${2:-entry-v}" "{\"organisation\":\"lots\",\"homeRegion\":\"vestland\",\"key\":\"$1\",\"idempotent\":false,
        \"deadlineMs\":30000,\"payload\":\"{\\\"runMs\\\":50,\\\"answer\\\":\\\"paid $1\\\"}\"}"
}
declare -A jobOf # id of the job of each settlement; the workers count runs by job id
paySettlement() { # DESCRIPTION KEY
    local reply
    reply=$(submitSettlement "$2")
    expectEqual "$1" "$(jq -r .answer <<< "$reply")" "paid $2"
    jobOf[$2]=$(jq -r .job <<< "$reply")
}
# A settlement that a worker has run must not be answered not_run.
expectPossibleVerdict() { # KEY VERDICT
    [[ $2 =~ ^(ran|may_have_run|not_run)$ ]] || fail "settlement $1 has the verdict '$2'"
    [ "$2" != not_run ] || [ "$(runCount "^${jobOf[$1]}\$")" = 0 ] || fail "settlement $1 has run, but was answered not_run"
}
# While the log is down, only owners with a Clean record in the log may grant claims.
waitFor 20 rangesReady vestland worker-v1 worker-v2
paySettlement "settlement before the outage" a

setFaults '{"log":"down"}'
reply=$(submit entry-v '{"organisation":"lots","payload":"{\"answer\":\"score\"}"}')
expectEqual "idempotent job during the outage" "$(jq -r .answer <<< "$reply")" score
idempotentJob=$(jq -r .job <<< "$reply")
for key in b c d; do
    paySettlement "settlement $key during the outage" $key
done
expectEqual "verdict of the repeated settlement a" "$(submitSettlement a | jq -r .verdict)" ran
version=$(curl -fsS "http://${httpAddressOf[entry-v]}/v1/table" | jq .version)
edit="{\"baseVersion\":$version,\"author\":\"kari\",\"change\":{\"organisations\":[{\"name\":\"new\",\"homeRegion\":\"vestland\"}]}}"
status=$(curl -sS -o "$workDir/edit" -w '%{http_code}' -X POST "http://${httpAddressOf[entry-v]}/v1/table" -d "$edit")
[ "$status" != 200 ] || fail "an edit was accepted while the log was down"
echo "edit during the outage: $status $(jq -r .reason "$workDir/edit")"

setFaults '{"log":"up","loseAnswers":2}'
waitFor 20 tableEditSucceeds entry-v new
for key in a b c d; do
    expectEqual "runs of settlement $key" "$(runCount "^${jobOf[$key]}\$")" 1
    for entry in entry-v entry-t; do
        expectPossibleVerdict $key "$(submitSettlement $key $entry | jq -r .verdict)"
    done
done
# The check fails on a wrong history.
if (expectPossibleVerdict b not_run) 2> /dev/null; then fail "a settlement that has run passes as not_run"; fi
expectEqual "runs of the four settlements, under any job id" "$(runCountWithout "$idempotentJob")" 4
expectEqual "new organisation in the table of the other region" \
    "$(curl -fsS "http://${httpAddressOf[entry-t]}/v1/table" | jq '[.organisations[].name] | index("new") != null')" true
