#!/usr/bin/env bash
# Measures an entry with 5,600 services and 62,000 hosts: instructions per datagram (callgrind) and resident memory.
# Fails if handling a datagram allocates memory.
# Usage: scripts/measure_entry.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
program=$build/bench/entry_cost
datagrams=10000
out=$(mktemp)
trap 'rm -f "$out"' EXIT
for mode in established open; do
    valgrind --tool=callgrind --instr-atstart=no --callgrind-out-file="$out" "$program" "$mode" 2>/dev/null
    total=$(awk '/^totals:/ {print $2}' "$out")
    if grep -qE '^c?fn=\([0-9]+\) (malloc|calloc|realloc)$' "$out"; then
        echo "$mode: a datagram allocates memory" >&2
        exit 1
    fi
    echo "$mode: $((total / datagrams)) instructions for each datagram"
done
"$program" memory
