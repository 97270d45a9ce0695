#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10. They are Python and need no build; the processes under test are those of the
# build command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.py [6-9]/*.py 10/*.py; do
    [ ! -e "$file" ] || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
python3 -B -c 'import sys; sys.path.insert(0, "standins-2"); import world'
