#!/usr/bin/env bash
# Runs all tests with the race detector in a seeded order. Tests listed in KNOWN-RED.txt are left out and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${SEED:-1}
red=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' -)
skip=()
if [ -n "$red" ]; then
  echo "left out, see KNOWN-RED.txt: $red"
  skip=(-skip "^($red)\$")
fi
# The tests of memory bounds send crowds of clients to real processes, so they run apart from all others.
mapfile -t packages < <(go list ./... | grep -v '/e2e/memory$')
go test -race -shuffle="$seed" -timeout 8m "${skip[@]}" "${packages[@]}"
exec go test -race -shuffle="$seed" -timeout 8m "${skip[@]}" ./e2e/memory
