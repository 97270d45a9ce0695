#!/usr/bin/env bash
# Installs the Debian 12 packages required for building and testing.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy valgrind libevent-dev libevhtp-dev libssl-dev
    libflatbuffers-dev flatbuffers-compiler prometheus-cpp-dev libcli11-dev libgoogle-glog-dev libyaml-cpp-dev
    libxxhash-dev nlohmann-json3-dev libgtest-dev libgmock-dev libbenchmark-dev python3 python3-matplotlib)
if dpkg-query -W "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q --no-install-recommends "${packages[@]}"
