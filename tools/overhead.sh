#!/usr/bin/env bash
# Starts a platform stand-in, targets and one daemon as processes, measures the daemon's overhead
# with dotterelstand.bench.overhead, and stops these processes.
# PROFILE=FILE writes a cProfile of the daemon to FILE.
set -eu
PYTHON=${PYTHON:-python3}
SECONDS_RUN=${SECONDS_RUN:-10}
RATE=${RATE:-150}
SEED=${SEED:-1}
DIR=$(mktemp -d)
PIDS=()
cleanup() {
    for pid in "${PIDS[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -r "$DIR"
}
trap cleanup EXIT

cat > "$DIR/entry.toml" <<TOML
[listen]
port = 18080
[peers]
port = 18090
[control]
port = 18070
[store]
url = "http://127.0.0.1:18060"
[targets]
sharing_hosts = 1
TOML

start() {
    "$@" > "$DIR/log.${#PIDS[@]}" 2>&1 &
    PIDS+=($!)
}
start "$PYTHON" -m dotterelstand.standin.platform --port 18060
for port in 19101 19102 19103; do
    start "$PYTHON" -m dotterelstand.standin.target --name "t$port" --port "$port" --slots 64 --mean_ms 0
done
sleep 1.5
BENCH=("$PYTHON" -m dotterelstand.bench.overhead)
"${BENCH[@]}" prepare http://127.0.0.1:18060 '"127.0.0.1:19101,127.0.0.1:19102,127.0.0.1:19103"'
PROFILER=()
if [ -n "${PROFILE:-}" ]; then
    PROFILER=(-m cProfile -o "$PROFILE")
fi
"$PYTHON" "${PROFILER[@]}" -m dotterelstand.process.main --settings "$DIR/entry.toml" > "$DIR/daemon.log" 2>&1 &
DAEMON=$!
PIDS+=("$DAEMON")
sleep 2
"${BENCH[@]}" added http://127.0.0.1:19101 http://127.0.0.1:18080 --rate "$RATE" --seconds "$SECONDS_RUN" --seed "$SEED"
# Processor time of the daemon varies less than latency on a machine with other load.
ticks() { awk '{ print $14 + $15 }' "/proc/$DAEMON/stat"; }
BEFORE=$(ticks)
"${BENCH[@]}" capacity http://127.0.0.1:18080 | tee "$DIR/capacity"
AFTER=$(ticks)
awk -v ticks=$((AFTER - BEFORE)) -v hz="$(getconf CLK_TCK)" -v seconds=5 \
    '/^capacity/ { printf "processor time per call %.0f us\n", ticks / hz / ($2 * seconds) * 1e6 }' \
    "$DIR/capacity"
kill -TERM "$DAEMON"
wait "$DAEMON" || true
tail -3 "$DIR/daemon.log" >&2
