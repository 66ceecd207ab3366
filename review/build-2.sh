#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases 6 to 10 into review/build-2/. The build of the
# deploy file must have run before: its libraries in target/ are used.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build-2
flags=(-std=c++17 -O1 -Wall -Wextra -DH2O_USE_EPOLL=1 -I.)
packages=(libh2o-evloop openssl absl_strings prometheus-cpp-core)
read -ra compile <<< "$(pkg-config --cflags "${packages[@]}")"
read -ra link <<< "$(pkg-config --libs "${packages[@]}")"
libraries=(target/libflamingo-net.a target/libflamingo-json.a "${link[@]}" -pthread)
g++ "${flags[@]}" "${compile[@]}" review/rig-2/worker.cc "${libraries[@]}" -o review/build-2/worker &
g++ "${flags[@]}" "${compile[@]}" review/rig-2/cases.cc review/rig-2/rig.cc standin/keyed_store.cc \
    "${libraries[@]}" -o review/build-2/cases
wait $!
