#!/usr/bin/env bash
# Rewrites the golden files of recorded sessions with the output of the current build. Review the diff before
# committing it.
set -euo pipefail
cd "$(dirname "$0")/.."
DAISYDOOR_UPDATE_GOLDEN=1 "${1:-build}/tests/unit_tests" --gtest_filter='golden_*'
git diff --stat -- tests/golden
