#!/usr/bin/env bash
# Runs the soak test with injected faults of the relaying processes on this machine, JOBS seeds in parallel.
# Usage: scripts/soak.sh [FIRST_SEED [COUNT [SECONDS [JOBS]]]]
# Prints the output of each seed that fails, with its faults, and the totals of all seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
first=${1:-$RANDOM}
count=${2:-20}
seconds=${3:-15}
jobs=${4:-3}
build=${BUILD_DIR:-build}
folder=$(mktemp -d)
status=0
seq "$first" $((first + count - 1)) |
    xargs -P "$jobs" -I{} sh -c "$build/tests/standins/relay_soak --seed {} --seconds $seconds --binaries $build --folder $folder >$folder/{}.txt 2>&1 || echo {} >>$folder/failed" || status=1
failed=0
[ ! -s "$folder/failed" ] || failed=$(wc -l <"$folder/failed")
for it in $(cat "$folder/failed" 2>/dev/null || true); do
    cat "$folder/$it.txt"
done
grep -h '^seed' "$folder"/*.txt | awk '{a += $3; f += $5; r += $7; n += $9} END {print a " answered, " f " failed, " r " resets, " n " faults"}'
echo "$((count - failed)) passed, $failed failed"
if [ "$failed" -gt 0 ] || [ "$status" -ne 0 ]; then
    echo "logs are kept in $folder"
    exit 1
fi
rm -rf "$folder"
