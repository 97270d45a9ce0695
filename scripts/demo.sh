#!/usr/bin/env bash
# Installs the required packages, builds, and runs a small fleet with stand-ins for less than a minute.
# Exits 0 only if no request was lost, run twice, broken or misrouted; the last line of the output has the counts.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
scripts/packages.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target daisydoor standin_demo standin_platform standin_fabric standin_target \
    standin_callers
TMPDIR=$(mktemp -d)
export TMPDIR
driver=
# The driver stops its processes when it exits, whatever the reason.
cleanup() {
    if [ -n "$driver" ]; then
        kill "$driver" 2>/dev/null || true
        wait "$driver" 2>/dev/null || true
    fi
    rm -rf "$TMPDIR"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
"$build/tests/standins/standin_demo" --binaries "$build" "$@" &
driver=$!
status=0
wait "$driver" || status=$?
driver=
exit "$status"
