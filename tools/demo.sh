#!/usr/bin/env bash
# Runs both example deployments on loopback and prints what was measured.
# Usage: tools/demo.sh [BASE_PORT]; about 400 ports from BASE_PORT on are used.
# BIN is the directory of the installed programs, RATE the requests a second, SECONDS_EACH the
# length of the load on each deployment, PER_REGION the entry hosts in each region (1 or 2).
set -u
cd "$(dirname "$0")/.."
BIN=${BIN:-.venv/bin}
BASE_PORT=${1:-${BASE_PORT:-21000}}
RATE=${RATE:-100}
SECONDS_EACH=${SECONDS_EACH:-10}
SEED=${SEED:-1}
PER_REGION=${PER_REGION:-2}
OUT=out/demo
failed=0
daemons=()
helpers=()

say() { printf '%s\n' "$*"; }

# Starts a program in the background with its output in a file; sets `started` to its process id.
start() {
    local log=$1
    shift
    "$@" >"$log" 2>&1 &
    started=$!
}

# Sends SIGTERM to the processes with the given ids and reports each that does not end with 0.
stop() {
    local pid
    for pid in "$@"; do kill -TERM "$pid" 2>/dev/null; done
    for pid in "$@"; do
        wait "$pid"
        local code=$?
        if [ "$code" -ne 0 ]; then
            say "FAULT process $pid ended with code $code"
            failed=1
        fi
    done
}

cleanup() {
    local pid
    for pid in ${daemons[@]+"${daemons[@]}"} ${helpers[@]+"${helpers[@]}"}; do
        kill -TERM "$pid" 2>/dev/null
    done
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# Repeats a command until it succeeds, for at most the given seconds.
retry() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then return 1; fi
        sleep 0.2
    done
}

run_deployment() {
    local name=$1 base=$2 sections=$3 dir=$OUT/$1 group section settings
    local tool=("$BIN/dotterelstand")
    local tool_options=(--settings "$dir/tool.toml")
    daemons=()
    helpers=()
    rm -rf "$dir"
    mkdir -p "$dir"
    "$BIN/python" -m dotterelstand.standin.loopback \
        --example "examples/$name" --out "$dir" --base_port "$base" \
        --per_region "$PER_REGION" >"$dir/loopback.txt" || return 1
    start "$dir/platform.log" "$BIN/dotterelstand-platform" --port "$base"
    helpers+=("$started")
    for group in $("$BIN/python" -c 'import json, sys; print(*json.load(open(sys.argv[1])))' \
        "$dir/targets.json"); do
        start "$dir/targets-$group.log" "$BIN/python" -m dotterelstand.standin.targets \
            --file "$dir/targets.json" --group "$group" --mean_ms 10 --seed "$SEED"
        helpers+=("$started")
    done
    say ""
    say "== $name: $(cat "$dir/loopback.txt") in $((${#helpers[@]} - 1)) processes," \
        "$((3 * PER_REGION)) entry hosts in 3 regions, $RATE requests a second for $SECONDS_EACH s, seed $SEED"
    for settings in "$dir"/entry-*.toml; do
        start "${settings%.toml}.log" "$BIN/dotterelstandd" --settings "$settings"
        daemons+=("$started")
    done
    retry 20 "${tool[@]}" section show "${tool_options[@]}" || {
        say "FAULT the store does not answer"
        return 1
    }
    for section in $sections; do
        "${tool[@]}" section accept "$section" "$dir/document/$section.toml" \
            "${tool_options[@]}" || return 1
    done
    retry 20 "$BIN/python" -m dotterelstand.standin.ready \
        --hosts "$(cat "$dir/control.txt")" --targets "$(cat "$dir/targets.txt")" || {
        say "FAULT the entry hosts or the targets did not become ready"
        return 1
    }
    "${tool[@]}" status "${tool_options[@]}" || failed=1
    say ""
    "$BIN/dotterelstand-load" --entries "$(cat "$dir/entries.txt")" \
        --targets "$(cat "$dir/targets.txt")" --mix "examples/$name/load.toml" \
        --rate "$RATE" --seconds "$SECONDS_EACH" --seed "$SEED" --out "$dir/load.json" || failed=1
    "${tool[@]}" budgets --json "${tool_options[@]}" >"$dir/budgets.json" || failed=1
    "${tool[@]}" histogram --plot "$dir/latency.png" "${tool_options[@]}" \
        >"$dir/histogram.txt" || failed=1
    stop "${daemons[@]}"
    daemons=()
    "$BIN/python" -m dotterelstand.standin.demoreport \
        --load "$dir/load.json" --budgets "$dir/budgets.json" --logs "$dir" || failed=1
    stop "${helpers[@]}"
    helpers=()
}

run_deployment asante-boakye "$BASE_PORT" "platform pricing orders artwork" || failed=1
cleanup
run_deployment styrkeloft $((BASE_PORT + 200)) "platform programme booking video" || failed=1
say ""
if [ "$failed" -ne 0 ]; then
    say "The demo FAILED; the logs are in $OUT."
    exit 1
fi
say "Every answer was right, nothing ran twice, and every process stopped cleanly."
say "Reports, logs and plots are in $OUT."
