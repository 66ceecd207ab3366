#!/usr/bin/env bash
# Starts the stand-in for the platform, two entries and four agents in two regions; runs three jobs over
# HTTP, edits the table through flamingoctl, drains a target and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
. tools/cluster.sh
clusterInit "${1:-build}" 22000

printHeading() {
    printf '\n== %s\n' "$*"
}

printHeading "starting: log service and workers, 2 entries, 4 agents, 2 regions"
startSmallInstallation
ctl() {
    "$build/flamingoctl" --entry="${httpAddressOf[entry-v]},${httpAddressOf[entry-t]}" "$@"
}

printHeading "organisations and a guaranteed shape of 2 workers with 4 adjacent accelerators each"
ctl table set lots homeRegion=vestland weight=4 'guarantees=vestland:1x2x4'
ctl table get

printHeading "an idempotent scoring job"
submit entry-v '{"organisation":"lots","payload":"{\"runMs\":200,\"answer\":\"score 0.93\"}"}'

printHeading "a gang of two members with 4 adjacent accelerators each"
submit entry-v '{"organisation":"lots","members":2,"accelerators":4,
    "payload":"{\"runMs\":200,\"answer\":\"member done\"}"}'

printHeading "a settlement, requested in both regions at once: it runs once and both callers get its answer"
settlement='{"organisation":"lots","key":"lot-17","homeRegion":"vestland","idempotent":false,
    "payload":"{\"runMs\":300,\"answer\":\"paid 40\"}"}'
submit entry-t "$settlement" > "$workDir/other" &
other=$!
submit entry-v "$settlement"
wait $other
cat "$workDir/other"

printHeading "an edit of the table; the command returns when it is in force in every process"
ctl table set lots weight=5
ctl status

printHeading "draining a target and stopping all processes"
ctl target drain worker-v1
for process in worker-v1 worker-v2 worker-t1 worker-t2 entry-v entry-t standin; do
    stopGracefully $process
done
echo "demo: every process ended with status 0"
