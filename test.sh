#!/usr/bin/env bash
# Runs all tests with the race detector. Tests listed in KNOWN-RED.txt are skipped by
# name and printed.
set -euo pipefail
cd "$(dirname "$0")"
skip=""
if [ -f KNOWN-RED.txt ]; then
  names=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | sort -u)
  if [ -n "$names" ]; then
    echo "known red, not run:"
    echo "$names"
    skip="^($(echo "$names" | paste -sd'|'))\$"
  fi
fi
exec go test -race -count=1 -timeout 40m ${skip:+-skip "$skip"} ./...
