#!/usr/bin/env bash
# Measures the datagrams per second that one entry forwards on loopback, and the ratio to two minimal UDP relays: one
# with recvfrom/sendto, to which the goal of 0.6 refers, and one with recvmmsg/sendmmsg in batches of the entry's size.
# Usage: scripts/measure_rate.sh [BUILD_DIR [RUNS [SECONDS]]]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
runs=${2:-5}
seconds=${3:-2}
goal=0.6
# Loopback range derived from the process id, so that concurrent runs of the script do not collide.
prefix=127.$((64 + $$ / 250 % 64)).$((1 + $$ % 250))
folder=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$folder"
}
trap cleanup EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

start() {
    "$@" >>"$folder/log" 2>&1 &
    pids+=($!)
}

# Prints the sum of user and system CPU time of a process in clock ticks.
processor_ticks() {
    awk '{print $14 + $15}' "/proc/$1/stat"
}

declare -A address pid
names=(entry single batch)
load=$build/bench/udp_load
"$load" prepare "$folder" "$prefix"
start "$build/tests/standins/standin_platform" --listen "$prefix.2:5000" --control "$prefix.2:5001" \
    --folder "$folder/values"
start "$build/apps/daisydoor" --config "$folder/entry.yaml"
address[entry]=$prefix.3:7000
pid[entry]=${pids[-1]}
for mode in single batch; do
    [ "$mode" = single ] && address[$mode]=$prefix.4:7000 || address[$mode]=$prefix.4:7001
    start "$build/bench/udp_relay" "$mode" "${address[$mode]}" "$prefix.5:7100"
    pid[$mode]=${pids[-1]}
done

for ((i = 1; i <= runs; ++i)); do
    for name in "${names[@]}"; do
        before=$(processor_ticks "${pid[$name]}")
        if ! result=$("$load" run "$folder" "${address[$name]}" "$seconds"); then
            cat "$folder/log" >&2
            exit 1
        fi
        after=$(processor_ticks "${pid[$name]}")
        echo "$i $name $result $((after - before))" | tee -a "$folder/results" |
            awk '{printf "run %d %-6s %8d a second (sent %d, arrived %d, lost at the agent address %d, %d bytes)\n",
                  $1, $2, $5, $3, $4, $6, $7}'
    done
done

awk -v tick="$(getconf CLK_TCK)" -v goal="$goal" '
    function median(list, n,   i, j, t) {
        for (i = 2; i <= n; ++i)
            for (j = i; j > 1 && list[j - 1] > list[j]; --j) { t = list[j]; list[j] = list[j - 1]; list[j - 1] = t }
        return n % 2 ? list[(n + 1) / 2] : (list[n / 2] + list[n / 2 + 1]) / 2
    }
    # If nearly all sent datagrams arrive, the sender limits the rate, and the ratio is not meaningful.
    $4 > 0.95 * $3 { printf "run %d %s: not saturated, the sender limits the rate\n", $1, $2 }
    { rate[$1, $2] = $5; forwarded[$2] += $4 + $6; ticks[$2] += $8; n = $1 }
    END {
        split("entry single batch", names)
        for (k = 1; k <= 3; ++k) {
            for (i = 1; i <= n; ++i) list[i] = rate[i, names[k]]
            printf "%-6s median %d a second, %.2f us of processor time a datagram\n", names[k], median(list, n),
                ticks[names[k]] / tick * 1e6 / forwarded[names[k]]
        }
        for (k = 2; k <= 3; ++k) {
            for (i = 1; i <= n; ++i) list[i] = rate[i, "entry"] / rate[i, names[k]]
            result = median(list, n)
            printf "median ratio of entry to %s relay: %.2f (%.2f to %.2f)%s\n", names[k], result, list[1], list[n],
                k == 2 ? (result >= goal ? ", goal " goal " met" : ", goal " goal " missed") : ""
        }
    }' "$folder/results"
