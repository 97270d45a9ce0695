#!/usr/bin/env bash
# The stand-ins are Python scripts (python3 3.11 of Debian 12, standard library only): nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
python3 -m py_compile standins/*.py [1-5]/case.py
