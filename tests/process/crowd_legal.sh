#!/usr/bin/env bash
# Guards against a process that runs out of memory, because many clients send large bodies of legal size at once.
set -euo pipefail
. tools/crowd.sh
crowdInit "$1" 21640
crowd "$front" /q/0123456789abcdef whole "$legalBytes"
crowd "$front" /q/0123456789abcdef short "$legalBytes"
crowd "$front" /q/0123456789abcdef pieces "$legalBytes"
