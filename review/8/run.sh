#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/pistachiousher-edge ] || [ ! -x target/review-drill ]; then
  echo "build the deploy file's program and review/build-2.sh first" >&2
  exit 2
fi
exec target/review-drill -case evacuation -record review/8/record.txt
