#!/usr/bin/env bash
# Guards against a limit that refuses a single request of legal size in calm.
set -euo pipefail
. tools/crowd.sh
crowdInit "$1" 21700
# A body of exactly the legal size: a job with spaces behind it.
job='{"TaskSpec":"50","Steps":[{"Count":1,"Cpu":1000,"MemMb":100,"Gpus":1,"EstimateMs":50}]}'
{ printf "%s" "$job"; head -c $((legalBytes - ${#job})) /dev/zero | tr "\0" " "; } > "$workDir/body"
for id in 00000000000000a1 00000000000000a2; do
    expectEqual "status of a body of $legalBytes bytes" \
        "$(curl -sS -o /dev/null -w "%{http_code}" --max-time 10 -X POST -H "Host: h.example" \
            -H "Authorization: Bearer secret" "http://$front/q/$id" --data-binary "@$workDir/body")" 200
    waitFor 20 jobIs 1 "$id" completed
done
printf " " >> "$workDir/body"
expectEqual "status of a body of one byte more" \
    "$(curl -sS -o /dev/null -w "%{http_code}" --max-time 10 -X POST -H "Host: h.example" -H "Expect:" \
        -H "Authorization: Bearer secret" "http://$front/q/00000000000000a3" --data-binary "@$workDir/body")" 413
expectEqual "state of the job that was refused" "$(callEntry 1 GET /q/00000000000000a3)" 410
checkBounds entry-1 "after single requests"
