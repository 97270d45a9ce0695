#!/usr/bin/env bash
# Installs what is needed, checks formatting and lint, builds, and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
scripts/packages.sh
cmake -S . -B "$build" -G Ninja
cmake --build "$build"
scripts/lint.sh "$build"
ctest --test-dir "$build" --output-on-failure -j "$(nproc)"
