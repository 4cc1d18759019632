#!/usr/bin/env bash
# Builds the stand-ins and trials of the review. The daemon's program is built by the
# line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review/ ./review/trial
