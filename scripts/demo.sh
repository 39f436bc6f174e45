#!/usr/bin/env bash
# Builds everything and shows requests, bookings and gangs in both deployments. Exit status 0: every outcome was as expected.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
exec build/bin/demo
