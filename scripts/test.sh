#!/usr/bin/env bash
# Installs the required packages, builds, checks formatting and lint, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
scripts/packages.sh
cmake -S . -B "$build" -G Ninja
cmake --build "$build"
scripts/lint.sh "$build"
ctest --test-dir "$build" --output-on-failure -j "$(nproc)"
