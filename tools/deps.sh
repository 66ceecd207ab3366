#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need; does nothing when all are installed.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache pkg-config clang-format clang-tidy jq curl flatbuffers-compiler
    libh2o-evloop-dev libssl-dev libflatbuffers-dev prometheus-cpp-dev libabsl-dev
    libgoogle-glog-dev libcpputest-dev librapidcheck-dev nlohmann-json3-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "deps: installing ${missing[*]}"
if [ "$(id -u)" -ne 0 ]; then
    echo "deps: not root; run as root or install these packages: ${missing[*]}" >&2
    exit 1
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" > /dev/null
