#!/usr/bin/env bash
# Case 5; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption.
set -uo pipefail
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../run-case.sh" 5
