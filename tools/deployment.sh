# Functions that run an example deployment on loopback; sourced by demo.sh and faults.sh.
# BIN is the directory of the installed programs, RATE the requests per second, SECONDS_EACH the
# duration of the load in seconds, PER_REGION the number of entry hosts in each region (1 or 2),
# SEED the seed of the load.
BIN=${BIN:-.venv/bin}
BASE_PORT=${BASE_PORT:-21000}
RATE=${RATE:-100}
SECONDS_EACH=${SECONDS_EACH:-10}
SEED=${SEED:-1}
PER_REGION=${PER_REGION:-2}
failed=0
platform=
declare -A daemons=()
declare -A targets=()

say() { printf '%s\n' "$*"; }

fault() {
    say "FAULT $*"
    failed=1
}

# Starts a program in the background with its output in a file; sets `started` to its process id.
start() {
    local log=$1
    shift
    "$@" >>"$log" 2>&1 &
    started=$!
}

start_daemon() {
    start "$dir/$1.log" "$BIN/dotterelstandd" --settings "$dir/$1.toml"
    daemons[$1]=$started
}

start_targets() {
    start "$dir/targets-$1.log" "$BIN/python" -m dotterelstand.standin.targets \
        --file "$dir/targets.json" --group "$1" --mean_ms 10 --seed "$SEED"
    targets[$1]=$started
}

# Waits for a process that is stopping, and reports a fault if its exit code is not 0.
expect_clean_end() {
    wait "$2"
    local code=$?
    [ "$code" -eq 0 ] || fault "$1 ended with code $code"
}

stop_daemons() {
    local name
    for name in "${!daemons[@]}"; do kill -TERM "${daemons[$name]}"; done
    for name in "${!daemons[@]}"; do expect_clean_end "$name" "${daemons[$name]}"; done
    daemons=()
}

stop_helpers() {
    local group
    for group in "${!targets[@]}"; do kill -TERM "${targets[$group]}"; done
    for group in "${!targets[@]}"; do expect_clean_end "$group" "${targets[$group]}"; done
    targets=()
    kill -TERM "$platform"
    expect_clean_end platform "$platform"
    platform=
}

# Ends the remaining processes by id when the script exits early.
cleanup() {
    local pid
    for pid in "${daemons[@]}" "${targets[@]}" $platform; do kill -TERM "$pid" 2>/dev/null; done
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# Repeats a command until it succeeds, for at most the given number of seconds.
retry() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$end" ]; then return 1; fi
        sleep 0.2
    done
}

tool() { "$BIN/dotterelstand" "$@" --settings "$dir/tool.toml"; }

# Starts the platform, the targets and the entry hosts of an example and accepts its document.
# Sets `dir` to the directory of its settings, logs and reports.
start_deployment() {
    local name=$1 base=$2 out=$3 group section settings
    dir=$out/$name
    rm -rf "$dir"
    mkdir -p "$dir"
    "$BIN/python" -m dotterelstand.standin.loopback --example "examples/$name" --out "$dir" \
        --base_port "$base" --per_region "$PER_REGION" >"$dir/loopback.txt" || return 1
    start "$dir/platform.log" "$BIN/dotterelstand-platform" --port "$base"
    platform=$started
    for group in $("$BIN/python" -c 'import json, sys; print(*json.load(open(sys.argv[1])))' \
        "$dir/targets.json"); do
        start_targets "$group"
    done
    for settings in "$dir"/entry-*.toml; do start_daemon "$(basename "$settings" .toml)"; done
    say ""
    say "== $name: $(cat "$dir/loopback.txt") in ${#targets[@]} processes," \
        "${#daemons[@]} entry hosts in 3 regions, $RATE requests a second for" \
        "$SECONDS_EACH s, seed $SEED"
    retry 20 tool section show || {
        fault "the store does not answer"
        return 1
    }
    for section in $(cat "examples/$name/document/order.txt"); do
        tool section accept "$section" "$dir/document/$section.toml" || return 1
    done
    retry 20 "$BIN/python" -m dotterelstand.standin.ready \
        --hosts "$(cat "$dir/control.txt")" --targets "$(cat "$dir/targets.txt")" || {
        fault "the entry hosts or the targets did not become ready"
        return 1
    }
    tool status || failed=1
    say ""
}

# Runs the load tool with the mix of an example; its exit code is not 0 on violations.
run_load() {
    "$BIN/dotterelstand-load" --entries "$(cat "$dir/entries.txt")" \
        --targets "$(cat "$dir/targets.txt")" --mix "examples/$1/load.toml" \
        --rate "$RATE" --seconds "$SECONDS_EACH" --seed "$SEED" --out "$dir/load.json"
}

# Stops everything and prints the report.
finish_deployment() {
    tool budgets --json >"$dir/budgets.json" || failed=1
    tool histogram --plot "$dir/latency.png" >"$dir/histogram.txt" || failed=1
    stop_daemons
    "$BIN/python" -m dotterelstand.standin.demoreport \
        --load "$dir/load.json" --budgets "$dir/budgets.json" --logs "$dir" || failed=1
    stop_helpers
}
