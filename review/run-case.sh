#!/usr/bin/env bash
# Runs the scenario of a case; exits with 1 if its rule was broken, 0 if it held, 2 if it could not run.
# usage: review/run-case.sh N   (TROUBLE=0: without the disruption; KEEP_LOGS=1: keeps the logs of the instances)
set -uo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/bin/catkinworksd ] || [ ! -x "review/bin/scenario-$1" ]; then
    echo "build first: the line build of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
timeout --signal=TERM --kill-after=3 115 "review/bin/scenario-$1" "review/$1"
code=$?
if [ $code -gt 2 ]; then
    echo "the scenario ended with $code" | tee -a "review/$1/record.txt" >&2
fi
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
