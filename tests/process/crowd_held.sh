#!/usr/bin/env bash
# Guards against a process that runs out of memory or of connections, because clients hold requests without an end, or
# read no answers.
set -euo pipefail
. tools/crowd.sh
crowdInit "$1" 21660
crowd "$front" /q/0123456789abcdef silent 60000
crowd "$front" /q/0123456789abcdef silent 10 700
crowd "$front" /q/0123456789abcdef unread 0
