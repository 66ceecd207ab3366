# Functions for tests that run the programs of the platform as processes on loopback: the stand-in of
# the store, entries, agents and the stand-ins of their workers. Source tools/cluster.sh first and
# call clusterInit; its cleanup ends the processes.
#
# Entry N has the address 127.0.N.1, host N 127.0.N.2 and the store 127.0.0.1, with the same ports.

declare -A lifeOf # number of starts of each worker

startProcess() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >> "$workDir/$name.log" 2>&1 &
    pidOf[$name]=$!
}

platformInit() { # PORT ENTRIES
    firstPort=$1
    entryCount=$2
    storeAddress="127.0.0.1:$((firstPort + 5))"
    storeControl="127.0.0.1:$((firstPort + 6))"
    seeds=$(for i in $(seq "$entryCount"); do printf '%s127.0.%s.1:%s' "${comma:-}" "$i" "$firstPort"; comma=,; done)
    startProcess store "$build/platform-store" "--listen=$storeAddress" "--control=$storeControl"
    waitFor 10 curl -fsS -o /dev/null "http://$storeControl/"
}

appendOperatorRecord() { # KEY VALUE
    curl -fsS -o /dev/null -X POST "http://$storeControl/append?Topic=keyed.op&Key=$1" -d "$2"
}

# One queue, /q/ on host h.example, of priority 1, with the API key "secret".
configure() { # VERSION [FIELDS]: further fields of the configuration, as JSON
    appendOperatorRecord config "$(jq -cn --argjson version "$1" --argjson more "${2:-"{}"}" '{Version: $version,
        Routes: [{Name: "r", Hostname: "h.example", PathPrefix: "/q/", TargetLatencyMs: 1000, Priority: 1,
            Service: "s", MaxAttempts: 2, Stretch: 2}],
        Services: [{Name: "s"}], Limits: {MaxBodyBytes: 262144},
        Tenants: [{Name: "t", ApiKeys: ["secret"]}]} + $more')"
}

writeSettings() { # NAME IP [LINES]
    cat > "$workDir/$1.settings" <<END
Node=$1
Ip=$2
InternalPorts=$firstPort,$((firstPort + 1))
platform.Address=$storeAddress
Seeds=$seeds
Bounds.StopMs=200
${3:-}
END
}

startSchedulerEntry() { # NUMBER [LINES]
    writeSettings "entry-$1" "127.0.$1.1" "Listen.Front=127.0.$1.1:$((firstPort + 2))
Listen.Ready=127.0.$1.1:$((firstPort + 3))
${2:-}"
    startProcess "entry-$1" "$build/flamingo-schedulerd" "--settings=$workDir/entry-$1.settings"
}

startHostAgent() { # NUMBER DATA_CENTRE [LINES]
    writeSettings "agent-$1" "127.0.$1.2" "Zone=$2
Listen.Control=127.0.$1.2:$((firstPort + 3))
app=127.0.$1.2:$((firstPort + 4))
Service=s
${3:-}"
    startProcess "agent-$1" "$build/flamingo-hostagentd" "--settings=$workDir/agent-$1.settings"
}

startWorker() { # NUMBER
    lifeOf[$1]=$((${lifeOf[$1]:-0} + 1))
    startProcess "worker-$1" "$build/platform-worker" "--id=w$1-${lifeOf[$1]}" \
        "--listen=127.0.$1.2:$((firstPort + 4))" "--agent=127.0.$1.2:$((firstPort + 3))"
}

startedRuns() { # NUMBER: of the host
    grep -c ' start ' "$workDir/worker-$1.log" || true
}

startedAtLeast() { # NUMBER RUNS
    [ "$(startedRuns "$1")" -ge "$2" ]
}

entryReady() { # NUMBER
    curl -fsS -o /dev/null --max-time 2 "http://127.0.$1.1:$((firstPort + 3))/api/readiness"
}

# Prints the number of the entry that leads; fails when there is none.
leadingEntry() {
    local i
    for i in $(seq "$entryCount"); do
        curl -fsS --max-time 2 "http://127.0.$i.1:$((firstPort + 1))/state" 2> /dev/null \
            | jq -e '.epoch > 0' > /dev/null && echo "$i" && return
    done
    return 1
}

callEntry() { # NUMBER METHOD PATH [BODY]: prints the status
    curl -sS -o "$workDir/answer" -w '%{http_code}' --max-time 5 -X "$2" -H 'Host: h.example' \
        -H 'Authorization: Bearer secret' "http://127.0.$1.1:$((firstPort + 2))$3" ${4:+-d "$4"}
}

jobIs() { # NUMBER ID STATE
    [ "$(callEntry "$1" GET "/q/$2")" = 200 ] && jq -e ".State == \"$3\"" "$workDir/answer" > /dev/null
}
