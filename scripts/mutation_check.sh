#!/usr/bin/env bash
# Checks that at least one test fails for each deliberate fault in the decision cores.
# Builds with DAISYDOOR_MUTATIONS and runs the virtual-time tests with each fault until the first failure. Exits 1 if all
# tests pass with some fault.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build-mutations}
cmake -S . -B "$build" -G Ninja -DDAISYDOOR_MUTATIONS=ON >/dev/null
cmake --build "$build" --target unit_tests >/dev/null
mapfile -t faults < <(sed -n '/fault_names{/,/};/p' include/daisydoor/core/fault.hpp | grep -o '"[a-z_]*"' | tr -d '"' |
    grep -v '^none$')

run() {
    DAISYDOOR_FAULT=$1 timeout 300 "$build/tests/unit_tests" --gtest_filter="$filter" --gtest_brief=1 --gtest_fail_fast 2>/dev/null |
        sed -n 's/^\[  FAILED  \] \([A-Za-z0-9_./]*\).*/\1/p' | sort -u | head -3 | paste -sd' ' || true
}
# Golden files change with any behaviour, so only tests of a stated rule are run. Process tests take too long, and one
# shard of the random sessions is enough.
filter='-*process_test*:golden_*'
for shard in 1 2 3 4 5 6 7 8 9; do
    filter+=":*random_sessions*/$shard"
done
export -f run
export build filter

# The tests must pass without a fault; otherwise the failures below show nothing.
if [ -n "$(run none)" ]; then
    echo "tests fail without a fault: $(run none)"
    exit 1
fi
printf '%s\n' "${faults[@]}" | xargs -P "$(($(nproc) / 2))" -I{} bash -c 'echo "{} $(run {})"' | sort |
    awk '{ if (NF < 2) { print "NOT CAUGHT " $1; missed++ } else { name = $1; $1 = ""; print name ":" $0; caught++ } }
         END { print caught + 0 " passed, " missed + 0 " failed"; exit missed > 0 }'
