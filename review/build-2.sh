#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later: store, leafs and callers in one
# program, which starts the daemons that the deploy file's build has made.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-drill ./review/drill
