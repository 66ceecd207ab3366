#!/usr/bin/env bash
# Guards against jobs that run on after they were cancelled, run twice or get a wrong answer, because
# their worker refuses a part of all calls and is slow to stop a task.
set -euo pipefail
. tools/cluster.sh
clusterInit "$1" 21500
startStandin
startEntry entry-1 vestland bergen-1
startAgent worker-1 vestland bergen-1 rack-1
waitFor 15 targetsConnected entry-1 1 vestland
createOrganisations entry-1
setFaults '{"worker":{"name":"worker-1","refusePercent":30,"refuseStatus":429,"refuseSeed":5,"stopMs":300}}'

# Succeeds when the worker runs COUNT tasks. A renewal that names no task renews none.
tasksRunning() { # COUNT
    curl -fsS -X POST "http://$standinAddress/workers/worker-1/lease" -d '{"leaseMs":1,"tasks":[]}' \
        | jq -e ".tasks | length == $1"
}
for i in 1 2 3 4 5; do
    before=$(runCount '.*')
    submit entry-1 '{"organisation":"lots","idempotent":true,"payload":"{\"runMs\":60000}"}' > "$workDir/long" &
    submission=$!
    waitFor 10 runCountReaches $((before + 1)) '.*'
    job=$(grep -o 'run task=[^ ]* job=[^ ]*' "$workDir/worker-1.log" | tail -n 1 | sed 's/.* job=//')
    # The status of the answer is 504, because the job may have had an effect.
    curl -sS -X DELETE "http://${httpAddressOf[entry-1]}/v1/jobs/$job" > /dev/null
    waitFor 5 tasksRunning 0
    wait $submission
    expectEqual "cancelled job $i ended at the worker" "$(jq -r .reason "$workDir/long")" Cancelled
done
for i in $(seq 1 10); do
    reply=$(submit entry-1 "{\"organisation\":\"lots\",\"payload\":\"{\\\"answer\\\":\\\"x$i\\\"}\"}")
    [ "$(jq -r .answer <<< "$reply")" = "x$i" ] || fail "job $i: $reply"
    expectEqual "runs of job $i" "$(runCount "^$(jq -r .job <<< "$reply")\$")" 1
done
grep -q 'stop_refused' "$workDir/worker-1.log" || fail "no stop was refused"
stopGracefully worker-1 20
