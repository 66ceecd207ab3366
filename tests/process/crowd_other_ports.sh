#!/usr/bin/env bash
# Guards against a process that runs out of memory by what is sent to the addresses for hosts and workers.
set -euo pipefail
. tools/crowd.sh
crowdInit "$1" 21680
crowd "$internal" /v1/host-reports short 1040000
crowd "$heartbeats" /api/Instances.Heartbeat/i-x short 1040000
