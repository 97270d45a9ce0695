#!/usr/bin/env bash
# Checks formatting, generated code and clang-tidy. Usage: scripts/lint.sh [BUILD_DIR] [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
mapfile -t sources < <(find include src apps platform tests bench -name '*.hpp' -o -name '*.cpp' | grep -v /generated/ | sort)
clang-format --dry-run --Werror "${sources[@]}"
scripts/generate_wire.sh --check
if [ $# -gt 0 ]; then
    units=("$@")
else
    mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
fi
printf '%s\0' "${units[@]}" | xargs -0 -n 1 -P "$(nproc)" scripts/tidy.sh "$build"
