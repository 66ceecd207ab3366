# Functions that start, control and stop the programs of a small installation on this machine, for the
# demo, the process tests and the benchmarks. Source this file, then call clusterInit and the start
# functions. When the script exits, all processes are killed; if it failed, their last log lines are
# printed.
#
# Signals go only to processes that these functions or the script started, by their process id.

clusterInit() { # BUILD_DIR BASE_PORT
    build=$1
    basePort=$2
    workDir=$(mktemp -d)
    peerKey="key-of-this-run-$RANDOM$RANDOM$RANDOM"
    standinAddress="127.0.0.1:$basePort"
    entryCount=0
    agentCount=0
    declare -gA pidOf httpAddressOf # by process name
    declare -gA seedsOfRegion        # peer addresses of the region's entries
    seeds=""                         # peer addresses of all entries
    trap clusterCleanup EXIT
}

clusterCleanup() {
    local status=$? name
    for name in "${!pidOf[@]}"; do
        kill -CONT "${pidOf[$name]}" 2>/dev/null || true
        kill -KILL "${pidOf[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ "$status" -ne 0 ]; then
        echo "failed with status $status; last log lines of each process:" >&2
        tail -n 15 "$workDir"/*.log >&2 || true
    fi
    rm -rf "$workDir"
    exit "$status"
}

fail() {
    echo "FAIL: $*" >&2
    exit 1
}

# Repeats a command until it succeeds; fails after SECONDS.
waitFor() { # SECONDS COMMAND...
    local end=$((SECONDS + $1))
    shift
    until "$@" > /dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || fail "timed out waiting for: $*"
        sleep 0.1
    done
}

startStandin() {
    "$build/platform-standin" --listen "$standinAddress" "$@" 2> "$workDir/standin.log" &
    pidOf[standin]=$!
    waitFor 10 curl -fsS "http://$standinAddress/health"
}

# Fixed ports: entry I listens for peers on BASE_PORT+10+2I and for HTTP on BASE_PORT+11+2I; agent I
# on BASE_PORT+100+2I and BASE_PORT+101+2I. I counts from 0. A process that is started again keeps its
# ports and settings.
startEntry() { # NAME REGION DATA_CENTRE [EXTRA_SETTINGS]
    local name=$1 peer http
    if [ -z "${httpAddressOf[$name]:-}" ]; then
        peer=$((basePort + 10 + 2 * entryCount))
        http=$((peer + 1))
        entryCount=$((entryCount + 1))
        httpAddressOf[$name]="127.0.0.1:$http"
        cat > "$workDir/$name.json" <<JSON
{
    // Written by tools/cluster.sh.
    "name": "$name", "region": "$2", "dataCentre": "$3",
    "peerAddress": "127.0.0.1:$peer", "httpAddress": "127.0.0.1:$http",
    "logAddress": "${logAddress:-$standinAddress}", "seeds": [${seeds}], "peerKey": "$peerKey"${4:+, $4}
}
JSON
        seeds="${seeds:+$seeds, }\"127.0.0.1:$peer\""
        seedsOfRegion[$2]="${seedsOfRegion[$2]:+${seedsOfRegion[$2]}, }\"127.0.0.1:$peer\""
    fi
    "$build/flamingo-entryd" --settings "$workDir/$name.json" 2>> "$workDir/$name.log" &
    pidOf[$name]=$!
    waitFor 10 curl -fsS "http://${httpAddressOf[$name]}/ready"
}

startAgent() { # NAME REGION DATA_CENTRE RACK [EXTRA_SETTINGS]
    local name=$1 peer http
    if [ -z "${httpAddressOf[$name]:-}" ]; then
        peer=$((basePort + 100 + 2 * agentCount))
        http=$((peer + 1))
        agentCount=$((agentCount + 1))
        httpAddressOf[$name]="127.0.0.1:$http"
        cat > "$workDir/$name.json" <<JSON
{
    "name": "$name", "region": "$2", "dataCentre": "$3", "rack": "$4",
    "peerAddress": "127.0.0.1:$peer", "httpAddress": "127.0.0.1:$http",
    "logAddress": "${logAddress:-$standinAddress}", "workerAddress": "$standinAddress",
    "seeds": [${seedsOfRegion[$2]}], "peerKey": "$peerKey"${5:+, $5}
}
JSON
    fi
    "$build/flamingo-agentd" --settings "$workDir/$name.json" 2>> "$workDir/$name.log" &
    pidOf[$name]=$!
}

# Starts two regions as the installation has them today, each with one entry (entry-v, entry-t) and two
# agents, and waits until each entry is connected to the agents of its region.
startSmallInstallation() {
    startStandin
    startEntry entry-v vestland bergen-1
    startEntry entry-t trondelag trondheim-1
    startAgent worker-v1 vestland bergen-1 rack-1
    startAgent worker-v2 vestland bergen-1 rack-1
    startAgent worker-t1 trondelag trondheim-1 rack-2
    startAgent worker-t2 trondelag trondheim-1 rack-2
    waitFor 15 targetsConnected entry-v 2 vestland
    waitFor 15 targetsConnected entry-t 2 trondelag
}

# Succeeds when the entry lists at least COUNT targets of REGION as connected and not lost.
targetsConnected() { # ENTRY COUNT REGION
    [ "$(curl -fsS "http://${httpAddressOf[$1]}/v1/targets" \
        | jq "[.targets[] | select(.region == \"$3\" and .connected and (.lost | not))] | length")" -ge "$2" ]
}

signalProcess() { # NAME SIGNAL
    kill "-$2" "${pidOf[$1]}"
}

# Sends SIGTERM and requires exit status 0 within SECONDS.
stopGracefully() { # NAME [SECONDS]
    local name=$1 pid=${pidOf[$1]} end=$((SECONDS + ${2:-15})) status=0
    kill -TERM "$pid"
    while kill -0 "$pid" 2>/dev/null; do
        [ "$SECONDS" -lt "$end" ] || fail "$name did not stop after SIGTERM"
        sleep 0.05
    done
    wait "$pid" || status=$?
    unset "pidOf[$name]"
    [ "$status" -eq 0 ] || fail "$name ended with status $status after SIGTERM"
}

killProcess() { # NAME
    kill -KILL "${pidOf[$1]}"
    wait "${pidOf[$1]}" 2>/dev/null || true
    unset "pidOf[$1]"
}

submit() { # ENTRY JSON
    curl -sS --max-time 60 -X POST "http://${httpAddressOf[$1]}/v1/jobs" -d "$2"
}

setFaults() { # JSON
    curl -fsS -X POST "http://$standinAddress/faults" -d "$1" > /dev/null
}

runCount() { # JOB_PATTERN: prints the number of runs that the workers counted for all matching jobs
    curl -fsS "http://$standinAddress/runs" \
        | jq "[to_entries[] | select(.key | test(\"$1\")) | .value] | add // 0"
}

runCountWithout() { # JOB_ID...: prints the number of runs that the workers counted for all other jobs
    curl -fsS "http://$standinAddress/runs" \
        | jq '[to_entries[] | select(.key | IN($ARGS.positional[]) | not) | .value] | add // 0' --args "$@"
}

expectEqual() { # DESCRIPTION ACTUAL EXPECTED
    [ "$2" = "$3" ] || fail "$1: expected '$3', got '$2'"
    echo "ok: $1"
}

runCountReaches() { # COUNT JOB_PATTERN
    [ "$(runCount "$2")" -ge "$1" ]
}

postTableEdit() { # ENTRY CHANGE_JSON: submits an edit based on the entry's current table version
    local version
    version=$(curl -fsS "http://${httpAddressOf[$1]}/v1/table" | jq .version)
    curl -fsS --max-time 30 -X POST "http://${httpAddressOf[$1]}/v1/table" \
        -d "{\"baseVersion\":$version,\"author\":\"test\",\"change\":$2}"
}

tableEditSucceeds() { # ENTRY ORGANISATION
    [ "$(postTableEdit "$1" "{\"organisations\":[{\"name\":\"$2\",\"homeRegion\":\"vestland\"}]}" \
        | jq -r .verdict)" = ran ]
}

# Adds the organisations lots and archive, both without guarantees.
createOrganisations() { # ENTRY
    [ "$(postTableEdit "$1" '{"organisations":[{"name":"lots","homeRegion":"vestland","weight":4},
        {"name":"archive","homeRegion":"vestland","weight":1}]}' | jq -r .verdict)" = ran ] \
        || fail "the edit that adds the organisations was not accepted"
}

sameTableVersion() { # succeeds when entry-v and entry-t have the same table version
    local v t
    v=$(curl -fsS "http://${httpAddressOf[entry-v]}/v1/table" | jq .version)
    t=$(curl -fsS "http://${httpAddressOf[entry-t]}/v1/table" | jq .version)
    [ "$v" = "$t" ]
}

# Succeeds when AGENTS own all 16 ranges of the region and each owner has read back from the log the
# first Clean record that it wrote for the range.
rangesReady() { # REGION AGENTS...
    local region=$1 name
    shift
    for name in "$@"; do
        curl -fsS "http://${httpAddressOf[$name]}/v1/dump"
    done | jq -se "[.[] | .node.owner.ranges[] | select(.cleanRead)] | length == 16"
}
