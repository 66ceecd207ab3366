# Functions of the tests crowd_*.sh: one entry, one agent and a crowd of clients that do not keep to
# the limits. Each process has to live, to stay within the memory of its machine and the number of
# descriptors of its settings, and to answer an ordinary request afterwards. No time and no share of
# served requests is checked.

memoryMb=32       # of the machine: Limits.MemoryMb of each process, and the bound of its memory
descriptors=512   # Limits.MaxFds of each process, and the bound of its open descriptors
connections=300   # of a crowd
legalBytes=262144 # the largest body that the configuration allows
limits="Limits.MemoryMb=$memoryMb
Limits.MaxFds=$descriptors"

crowdInit() { # BUILD PORT
    . tools/cluster.sh
    . tools/platform_cluster.sh
    clusterInit "$1" 0
    platformInit "$2" 1
    configure 1
    startSchedulerEntry 1 "$limits"
    startHostAgent 3 north "$limits"
    startWorker 3
    waitFor 30 entryReady 1
    waitFor 30 leadingEntry
    front="127.0.1.1:$((firstPort + 2))"
    internal="127.0.1.1:$firstPort"
    heartbeats="127.0.3.2:$((firstPort + 3))"
    jobNumber=0
}

openDescriptors() { # NAME
    find "/proc/${pidOf[$1]}/fd" -mindepth 1 2> /dev/null | wc -l
}

# Fails when the process has ended or has exceeded its bounds.
checkBounds() { # NAME WHEN
    local peakKb open
    kill -0 "${pidOf[$1]}" 2> /dev/null || fail "$1 ended $2"
    peakKb=$(awk '/VmHWM/ {print $2}' "/proc/${pidOf[$1]}/status")
    [ "$peakKb" -le $((memoryMb * 1024)) ] || fail "$1 used $((peakKb / 1024)) MB $2, allowed are $memoryMb"
    open=$(openDescriptors "$1")
    [ "$open" -le "$descriptors" ] || fail "$1 had $open descriptors open $2, allowed are $descriptors"
}

ordinaryJobIsServed() {
    jobNumber=$((jobNumber + 1))
    local id
    id=$(printf '%016x' "$jobNumber")
    [ "$(callEntry 1 POST "/q/$id" '{"TaskSpec":"50","Steps":[{"Count":1,"Cpu":1000,"MemMb":100,"Gpus":1,
        "EstimateMs":50}]}')" = 200 ] && waitFor 20 jobIs 1 "$id" completed
}

# Lets a crowd send, holds it for two seconds, and checks both processes while it is there and after.
crowd() { # ADDRESS PATH MODE BYTES [CONNECTIONS]
    local label="crowd $3 of ${5:-$connections} x $4 bytes at $1$2" feed="$workDir/feed"
    rm -f "$feed"
    mkfifo "$feed"
    sleep 1000 > "$feed" &
    pidOf[feed]=$!
    "$build/crowd" "--address=$1" "--path=$2" "--mode=$3" "--bytes=$4" "--connections=${5:-$connections}" \
        < "$feed" > "$workDir/crowd.out" 2> "$workDir/crowd.log" &
    pidOf[crowd]=$!
    waitFor 120 grep -q sent "$workDir/crowd.out"
    sleep 2
    checkBounds entry-1 "during the $label"
    checkBounds agent-3 "during the $label"
    killProcess crowd # before its input ends, which would end it too
    killProcess feed
    waitFor 30 ordinaryJobIsServed
    checkBounds entry-1 "after the $label"
    checkBounds agent-3 "after the $label"
    echo "ok: $label: entry $(awk '/VmHWM/ {print $2}' "/proc/${pidOf[entry-1]}/status") kB, agent" \
        "$(awk '/VmHWM/ {print $2}' "/proc/${pidOf[agent-3]}/status") kB at the peak"
}
