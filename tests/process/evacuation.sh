#!/usr/bin/env bash
# Guards against starts in an evacuated data centre after the bound, when right after the request the
# leader is killed, an agent is stopped for a while, or all processes are killed and started again.
set -euo pipefail
. tools/cluster.sh
. tools/platform_cluster.sh
clusterInit "$1" 0
platformInit 21600 2
bound="Bounds.EvacuateMs=2000"
startAll() {
    startSchedulerEntry 1
    startSchedulerEntry 2
    startHostAgent 3 north "$bound"
    startHostAgent 4 south "$bound"
}
configure 1
startAll
startWorker 3
startWorker 4
waitFor 20 entryReady 1
waitFor 20 entryReady 2
waitFor 20 leadingEntry

# Many short tasks keep both hosts busy all the while; each job has a further id.
jobs=0
submitWork() {
    jobs=$((jobs + 1))
    [ "$(callEntry "$1" POST "/q/000000000000000$jobs" '{"TaskSpec":"200","Steps":[{"Count":900,"Cpu":1000,
        "MemMb":100,"Gpus":1,"EstimateMs":200}]}')" = 200 ]
}

# Waits for the bound, and expects no further start in the north while work goes on in the south.
expectEvacuated() {
    local north south
    sleep 2.5
    north=$(startedRuns 3)
    south=$(startedRuns 4)
    waitFor 30 startedAtLeast 4 $((south + 20))
    expectEqual "$1: starts after the bound" "$(startedRuns 3)" "$north"
}

takeBack() {
    local before
    before=$(startedRuns 3)
    appendOperatorRecord evacuate/north ""
    waitFor 30 startedAtLeast 3 $((before + 5))
}

waitFor 10 submitWork 1
waitFor 20 startedAtLeast 3 10
waitFor 20 startedAtLeast 4 10

leader=$(leadingEntry)
appendOperatorRecord evacuate/north '{"Zone":"north"}'
killProcess "entry-$leader"
expectEvacuated "leader killed"
startSchedulerEntry "$leader"
takeBack

appendOperatorRecord evacuate/north '{"Zone":"north"}'
kill -STOP "${pidOf[agent-3]}"
sleep 3
kill -CONT "${pidOf[agent-3]}"
expectEvacuated "agent stopped for a while"
takeBack

waitFor 10 submitWork "$(leadingEntry)"
appendOperatorRecord evacuate/north '{"Zone":"north"}'
for name in entry-1 entry-2 agent-3 agent-4; do
    killProcess "$name"
done
startAll
waitFor 30 leadingEntry
expectEvacuated "all processes killed"
takeBack
