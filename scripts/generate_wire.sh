#!/usr/bin/env bash
# Regenerates the committed FlatBuffers headers from the schemas. With --check, changes nothing and fails if they
# differ.
set -euo pipefail
cd "$(dirname "$0")/.."
out=include/daisydoor/wire/generated
if [ "${1:-}" = "--check" ]; then
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
fi
flatc --cpp --cpp-std c++17 --scoped-enums --gen-object-api --gen-mutable -o "$out" schemas/data.fbs schemas/peer.fbs schemas/relay.fbs
if [ "${1:-}" = "--check" ]; then
  diff -r "$out" include/daisydoor/wire/generated
fi
