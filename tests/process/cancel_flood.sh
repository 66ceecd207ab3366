#!/usr/bin/env bash
# Guards against entries that run out of memory, a job log that fills up, and callers of other
# organisations that cannot cancel, because one API key cancels unknown ids without end. Prints the
# answers, the appends of the entries and their peak memory.
set -euo pipefail
. tools/cluster.sh
. tools/platform_cluster.sh
clusterInit "$1" 0
requests=${REQUESTS:-4240}
clients=16
limit=4000      # early cancellations of one organisation
overshoot=100   # requests under way when the limit is reached
memoryMb=64
platformInit 21700 2
configure 1 '{"Tenants": [{"Name": "t", "ApiKeys": ["secret"]}, {"Name": "u", "ApiKeys": ["other"]}]}'
startSchedulerEntry 1
startSchedulerEntry 2
startHostAgent 3 north
startWorker 3
waitFor 30 entryReady 1
waitFor 30 entryReady 2
waitFor 30 leadingEntry

appends() { # ENTRY
    curl -fsS "http://127.0.$1.1:$((firstPort + 1))/metrics" \
        | awk '/^flamingo_store_append_seconds_count/ {sum += $NF} END {print sum + 0}'
}

peakKb() { # ENTRY
    awk '/VmHWM/ {print $2}' "/proc/${pidOf[entry-$1]}/status"
}

work='{"TaskSpec":"600000","Steps":[{"Count":1,"Cpu":1000,"MemMb":100,"EstimateMs":600000}]}'
expectEqual "submission" "$(callEntry 1 POST /q/00000000000000aa "$work")" 200
before=$(($(appends 1) + $(appends 2)))
memoryBefore="$(peakKb 1) $(peakKb 2)"
began=$(date +%s%N)
for client in $(seq "$clients"); do
    front="127.0.$((client % 2 + 1)).1:$((firstPort + 2))"
    last=$((10000 + requests / clients - 1))
    curl -sS --globoff -g -o /dev/null -w '%{http_code}\n' -X DELETE -H 'Host: h.example' \
        -H 'Authorization: Bearer secret' \
        --config <(for i in $(seq 10000 "$last"); do
            printf 'url = "http://%s/q/000000000%02d%s"\noutput = /dev/null\n' "$front" "$client" "$i"
        done) > "$workDir/statuses-$client" &
    waits+=($!)
done
for process in "${waits[@]}"; do
    wait "$process"
done
tookMs=$((($(date +%s%N) - began) / 1000000))
echo "answers in $tookMs ms: $(sort "$workDir"/statuses-* | uniq -c | awk '{printf "%s times %s  ", $1, $2}')"
echo "appends of the entries: $(($(appends 1) + $(appends 2) - before))"
echo "peak memory of the entries in kB: before $memoryBefore, after $(peakKb 1) $(peakKb 2)"

unknown=$(cat "$workDir"/statuses-* | grep -c '^410$' || true)
tooMany=$(cat "$workDir"/statuses-* | grep -c '^429$' || true)
expectEqual "answers 410 and 429" "$((unknown + tooMany))" "$requests"
[ "$unknown" -le $((limit + overshoot)) ] || fail "$unknown ids were cancelled, the limit is $limit"
for entry in 1 2; do
    [ "$(peakKb "$entry")" -le $((memoryMb * 1024)) ] || fail "entry $entry used $(peakKb "$entry") kB"
done
expectEqual "cancellation of a known job" "$(callEntry 2 DELETE /q/00000000000000aa)" 200
waitFor 5 jobIs 1 00000000000000aa cancelled
status=$(curl -sS -o /dev/null -w '%{http_code}' -X DELETE -H 'Host: h.example' \
    -H 'Authorization: Bearer other' "http://127.0.1.1:$((firstPort + 2))/q/00000000000000bb")
expectEqual "cancellation by another organisation" "$status" 410

# The next leader takes them over.
leader=$(leadingEntry)
killProcess "entry-$leader"
other=$((3 - leader))
waitFor 10 entryReady "$other"
expectEqual "submission of an id that was cancelled before the change of the leader" \
    "$(callEntry "$other" POST /q/00000000000000bb "$work")" 200
expectEqual "submission of an id that the same organisation has cancelled" \
    "$(callEntry "$other" POST /q/0000000000110000 "$work")" 410
