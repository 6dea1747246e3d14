#!/bin/bash
# For a fresh Debian system: installs the build dependencies, builds, and runs experiments/quickstart.toml.
set -euo pipefail
cd "$(dirname "$0")"
packages="g++ make cmake libboost-dev nlohmann-json3-dev libcli11-dev libspdlog-dev libfmt-dev libtomlplusplus-dev libxxhash-dev libpcg-cpp-dev"
# shellcheck disable=SC2086
if ! dpkg -s $packages >/dev/null 2>&1; then
  root=; [ "$(id -u)" -eq 0 ] || root=sudo
  $root apt-get update -qq
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive $root apt-get install -y -qq --no-install-recommends $packages
fi
cmake -B build -DCMAKE_BUILD_TYPE=Release -DMEADOWYARD_LAB=ON >/dev/null
cmake --build build -j"$(nproc)"
exec build/meadowyard-lab run experiments/quickstart.toml --html build/quickstart.html "$@"
