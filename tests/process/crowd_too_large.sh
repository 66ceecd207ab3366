#!/usr/bin/env bash
# Guards against a process that runs out of memory, because clients announce or send bodies far over the limit.
set -euo pipefail
. tools/crowd.sh
crowdInit "$1" 21620
crowd "$front" /q/0123456789abcdef announced 64000000
crowd "$front" /q/0123456789abcdef short 1040000
crowd "$front" /q/0123456789abcdef unbounded 64000000 60
