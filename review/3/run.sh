#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/trial ] && [ -x target/pistachiousher-edge ] || { echo "not built: run the build line of deploy/system.toml and review/build.sh"; exit 2; }
exec target/review/trial drain-beside-evacuation review/3
