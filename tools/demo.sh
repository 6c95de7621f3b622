#!/usr/bin/env bash
# Runs both example deployments on loopback and prints the measurements; exits with 1 if a check
# failed. Uses about 400 ports from BASE_PORT on; deployment.sh lists the other variables.
set -u
cd "$(dirname "$0")/.."
. tools/deployment.sh
OUT=out/demo

run_deployment() {
    start_deployment "$1" "$2" "$OUT" || return 1
    run_load "$1" || failed=1
    finish_deployment
}

run_deployment asante-boakye "$BASE_PORT" || failed=1
cleanup
run_deployment styrkeloft $((BASE_PORT + 200)) || failed=1
say ""
if [ "$failed" -ne 0 ]; then
    say "The demo FAILED; the logs are in $OUT."
    exit 1
fi
say "Every answer was correct, nothing ran twice, and every process stopped cleanly."
say "Reports, logs and plots are in $OUT."
