#!/usr/bin/env bash
# Measures the resources that a running entry and agent use: resident memory, share of a core and bytes
# per second sent to peers, idle and under load, in the small installation of the demo. Targets: 32 MB,
# 1.2 %, 2 KB/s.
set -euo pipefail
cd "$(dirname "$0")/.."
. tools/cluster.sh
clusterInit "${1:-build}" 22300
seconds=${2:-10}
startSmallInstallation
createOrganisations entry-v > /dev/null

cpuTicks() { # NAME
    awk '{print $14 + $15}' "/proc/${pidOf[$1]}/stat"
}
sentBytes() { # NAME
    curl -fsS "http://${httpAddressOf[$1]}/v1/dump" | jq '[.traffic[].sentBytes] | add // 0'
}
measure() { # LABEL
    local name memory ticksPerSecond
    declare -A cpuBefore bytesBefore
    ticksPerSecond=$(getconf CLK_TCK)
    for name in entry-v worker-v1; do
        bytesBefore[$name]=$(sentBytes $name)
        cpuBefore[$name]=$(cpuTicks $name)
    done
    sleep "$seconds"
    for name in entry-v worker-v1; do
        memory=$(awk '/VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/${pidOf[$name]}/status")
        awk -v label="$1" -v name="$name" -v memory="$memory" -v s="$seconds" \
            -v cpu="$(($(cpuTicks $name) - cpuBefore[$name]))" -v tps="$ticksPerSecond" \
            -v bytes="$(($(sentBytes $name) - bytesBefore[$name]))" 'BEGIN {
            printf "%-22s %-10s %6.1f MB %6.2f %% of a core %8.0f bytes/s to peers\n",
                label, name, memory, 100 * cpu / tps / s, bytes / s }'
    done
}

measure "idle"
# 20 idempotent jobs per second: far above the share of one node at the size expected in two years.
(for _ in $(seq $((seconds * 20))); do
    submit entry-v '{"organisation":"lots","wait":false,"payload":"{\"runMs\":100}"}' > /dev/null
    sleep 0.04
done) &
load=$!
measure "20 jobs per second"
kill $load 2>/dev/null || true
