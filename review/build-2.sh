#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the program of the deploy file: callers, workers and the
# project's stand-ins of the platform, all in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/cmd/case2
