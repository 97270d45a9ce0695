#!/usr/bin/env bash
# Runs clang-tidy on one file, unless it passed before with the same version, checks, command line and text with
# all that it includes.
# Usage: scripts/tidy.sh BUILD_DIR FILE
set -euo pipefail
build=$1
file=$2
cache=${TIDY_CACHE_DIR:-${XDG_CACHE_HOME:-$HOME/.cache}/daisydoor-tidy}
command=$(python3 - "$build" "$file" <<'PYTHON'
import json, os, shlex, sys
path = os.path.realpath(sys.argv[2])
for it in json.load(open(os.path.join(sys.argv[1], "compile_commands.json"))):
    if os.path.realpath(os.path.join(it["directory"], it["file"])) == path:
        words = shlex.split(it["command"])
        words = words[1:] if os.path.basename(words[0]) == "ccache" else words
        output = words.index("-o")
        print(shlex.join(words[:output] + [word for word in words[output + 2:] if word not in ("-c", path)]))
        break
PYTHON
)
key=
if [ -n "$command" ]; then
    preprocess="$command -E -CC $(printf '%q' "$file")"
    list_files="$command -M $(printf '%q' "$file")"
    # -CC keeps the comments, since a check may depend on them. The compiler can't paste some macros with comments: then the
    # included files stand for the text.
    text=$(eval "$preprocess" 2>/dev/null | sed "s|$PWD/||g" | sha256sum) ||
        text=$(eval "$list_files" | sed 's/^[^:]*://' | tr -s ' \\\n' '\n' | grep . | xargs sha256sum | cut -d' ' -f1 | sort | sha256sum)
    key=$({ clang-tidy --version; cat .clang-tidy; sed "s|$PWD/||g" <<<"$command"; echo "$text"; } | sha256sum | cut -d' ' -f1)
fi
if [ -n "$key" ] && [ -e "$cache/$key" ]; then
    exit 0
fi
clang-tidy --quiet -p "$build" "$file" 2>/dev/null
if [ -n "$key" ]; then
    mkdir -p "$cache"
    : >"$cache/$key"
fi
