#!/usr/bin/env bash
# Runs an example deployment on loopback while entry hosts, targets and the store fail, and prints
# the measurements; exits with 1 if a check failed. NAME is asante-boakye or styrkeloft.
set -u
cd "$(dirname "$0")/.."
SECONDS_EACH=${SECONDS_EACH:-32}
. tools/deployment.sh
NAME=${NAME:-asante-boakye}
OUT=out/faults

# Waits until a time in seconds after the start of the load and prints the next step.
at() {
    local wait_s=$(($1 - (SECONDS - begin)))
    [ "$wait_s" -le 0 ] || sleep "$wait_s"
    shift
    say "$((SECONDS - begin)) s: $*"
}

fail_parts() {
    local hosts=("${!daemons[@]}") groups=("${!targets[@]}") one other
    one=$(printf '%s\n' "${hosts[@]}" | sort | sed -n 1p)
    other=$(printf '%s\n' "${hosts[@]}" | sort | sed -n 3p)
    at 3 "$one is replaced: SIGTERM, then a new process"
    kill -TERM "${daemons[$one]}"
    expect_clean_end "$one" "${daemons[$one]}"
    start_daemon "$one"
    at 9 "$other is killed and started again"
    kill -KILL "${daemons[$other]}"
    wait "${daemons[$other]}" 2>/dev/null
    start_daemon "$other"
    at 14 "the store hangs for 4 s"
    kill -STOP "$platform"
    at 18 "the store resumes"
    kill -CONT "$platform"
    one=$(printf '%s\n' "${groups[@]}" | sort | sed -n 1p)
    at 21 "the targets $one are killed and started again 2 s later"
    kill -KILL "${targets[$one]}"
    wait "${targets[$one]}" 2>/dev/null
    sleep 2
    start_targets "$one"
    other=$(printf '%s\n' "${groups[@]}" | sort | sed -n 9p)
    at 26 "the targets $other hang for 2 s"
    kill -STOP "${targets[$other]}"
    sleep 2
    kill -CONT "${targets[$other]}"
}

if start_deployment "$NAME" "$BASE_PORT" "$OUT"; then
    run_load "$NAME" &
    load=$!
    begin=$SECONDS
    fail_parts
    wait "$load" || failed=1
    say ""
    finish_deployment
else
    failed=1
fi
say ""
if [ "$failed" -ne 0 ]; then
    say "The run FAILED; the logs are in $OUT."
    exit 1
fi
say "Every answer was correct and nothing ran twice; planned stops were clean."
