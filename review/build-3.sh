#!/usr/bin/env bash
# Prepares the stand-ins of the scripts under review/11 to review/15. They are Python programs that use only the standard
# library, so that there is nothing to compile; checks that the interpreter takes them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
