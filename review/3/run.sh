#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
case=$(basename "$PWD")
export RECORD="$PWD/record.txt" ROOT="$PWD/../.." TROUBLE="${TROUBLE:-1}"
RUN=$(sed -n 's/^run *= *"\(.*\)"$/\1/p' ../../deploy/balancer.toml)
export RUN
[ -n "$RUN" ] && [ -x "../bin/$case" ] || { echo "build first: the deploy file's build and review/build.sh"; exit 2; }
exec timeout -k 5 110 "../bin/$case"
