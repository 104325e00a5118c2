#!/usr/bin/env bash
# Measures a weight swap of 12 servers under the order trace at 70 % load, with
# real processes on loopback: once undisturbed, and once with the steward killed
# in the middle. It ends only the processes that it started, by their IDs.
#
#   experiments/swap.sh [-out folder] [-seeds "1 2 3"] [-load 0.7]
#
# Every third engine ignores fencing numbers and the weight version that a run
# is sent with. The reports and a summary (summary.txt) go to the folder
# (out/swap).
set -euo pipefail
cd "$(dirname "$0")/.."

out=out/swap
seeds="1 2 3"
load=0.7
while [ $# -gt 0 ]; do
  case "$1" in
    -out) out="$2" ;;
    -seeds) seeds="$2" ;;
    -load) load="$2" ;;
    *) echo "unknown argument $1" >&2; exit 2 ;;
  esac
  shift 2
done

readonly ENTRIES=4 ENGINES=12 STORES=2 BASE=23000 DURATION=50 WARMUP=12 SWAP_AT=25 KILL_AFTER=1
readonly CONTROL="http://127.0.0.1:$((BASE + 1))" WEIGHTS="http://127.0.0.1:$((BASE + 2))"
mkdir -p "$out" bin
go build -o bin/ ./cmd/...

urls() { # urls FIRST COUNT
  local list=()
  for i in $(seq "$2"); do list+=("http://127.0.0.1:$(($1 + i))"); done
  local IFS=,
  printf '%s' "${list[*]}"
}
readonly CALLERS="$(urls $((BASE + 10)) $ENTRIES)" BACKENDS="$(urls $((BASE + 20)) $ENTRIES)"
readonly PEERS="$(urls $((BASE + 30)) $ENTRIES)" STORE_URLS="$(urls $((BASE + 80)) $STORES)"

start_steward() { # start_steward NUMBER FOLDER
  bin/galena-steward -insecure-loopback -instance "steward-$1" -failure-domain "domain-$1" -environment experiment \
    -control "$CONTROL" -entries "$PEERS" -metrics-listen "127.0.0.1:$((BASE + 5 + $1))" >"$2/steward-$1.log" 2>&1 &
  pids+=($!)
}

pids=()
end_all() {
  if [ ${#pids[@]} -gt 0 ]; then
    kill -KILL "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
  fi
  pids=()
}
trap end_all EXIT

# run_case NAME SEED KILL plays one trace.
run_case() {
  local name=$1 seed=$2 kill_steward=$3 dir
  pids=()
  dir="$(mktemp -d)"
  mkdir "$dir/control"
  bin/galena-control -insecure-loopback -instance control-1 -failure-domain domain-1 -listen "127.0.0.1:$((BASE + 1))" \
    -metrics-listen "127.0.0.1:$((BASE + 3))" -data-dir "$dir/control" >"$dir/control.log" 2>&1 & pids+=($!)
  for i in $(seq $ENTRIES); do
    bin/galena-entry -insecure-loopback -instance "entry-$i" -failure-domain "domain-$i" -environment experiment \
      -control "$CONTROL" -listen "127.0.0.1:$((BASE + 10 + i))" -backend-listen "127.0.0.1:$((BASE + 20 + i))" \
      -peer-listen "127.0.0.1:$((BASE + 30 + i))" -peers "$PEERS" -metrics-listen "127.0.0.1:$((BASE + 40 + i))" \
      -log-level warn >"$dir/entry-$i.log" 2>&1 & pids+=($!)
  done
  for i in $(seq $ENGINES); do
    local kind=(-kind prometheus-engine)
    if [ $((i % 3)) = 0 ]; then kind=(-kind json-engine -checks-fencing=false -ignores-version); fi
    bin/galena-standin -role engine -instance "engine-$i" -failure-domain "domain-$((i % 4 + 1))" "${kind[@]}" \
      -deployment experiment -listen "127.0.0.1:$((BASE + 50 + i))" -entries "$BACKENDS" \
      -prefill-rate 8000 -log-level warn >"$dir/engine-$i.log" 2>&1 & pids+=($!)
  done
  for i in $(seq $STORES); do
    bin/galena-standin -role store -instance "store-$i" -failure-domain "domain-$i" -listen "127.0.0.1:$((BASE + 80 + i))" \
      -entries "$BACKENDS" -link-rate 4194304 -capacity 13107200 \
      >"$dir/store-$i.log" 2>&1 & pids+=($!)
  done
  bin/galena-standin -role weights -instance weights -failure-domain domain-1 -listen "127.0.0.1:$((BASE + 2))" \
    -entries "$BACKENDS" >"$dir/weights.log" 2>&1 & pids+=($!)
  start_steward 1 "$dir"
  local first=${pids[-1]}
  local flags=(-control "$CONTROL" -entries "$CALLERS" -stores "$STORE_URLS" -weight-store "$WEIGHTS" -trace order
    -load "$load" -fault weight_swap -engines $ENGINES -seed "$seed"
    -duration "${DURATION}s" -warmup "${WARMUP}s" -fault-at "${SWAP_AT}s")
  sleep 1
  bin/galena-load -apply "${flags[@]}"
  sleep 3
  start_steward 2 "$dir"
  sleep 2
  bin/galena-load "${flags[@]}" -out "$out/$name.json" >"$dir/load.txt" 2>&1 & local load_pid=$!
  if [ "$kill_steward" = yes ]; then
    sleep $((SWAP_AT + KILL_AFTER))
    kill -KILL "$first"
  fi
  wait "$load_pid" || { echo "run $name failed: $(tail -n 1 "$dir/load.txt")" >&2; }
  wrong=0
  for i in $(seq $ENTRIES); do
    n="$(curl -s "http://127.0.0.1:$((BASE + 40 + i))/metrics" | awk '/^galena_entry_wrong_version_runs_total/ {n += $2} END {print n + 0}')"
    wrong=$((wrong + n))
  done
  if [ -e "$out/$name.json" ]; then summarize "$name" "$wrong" | tee -a "$out/summary.txt"; fi
  end_all
  rm -rf "$out/logs-$name"
  mv "$dir" "$out/logs-$name"
}

# summarize NAME WRONG prints one run's figures.
summarize() {
  python3 - "$out/$1.json" "$1" "$2" <<'PY'
import json, sys
path, name, wrong = sys.argv[1:]
report = json.load(open(path))
swap = report["swap"]
limit = 12 * 0.5 / 2
print(f"{name}: swap {swap['seconds']:.2f} s, {swap['seconds'] / limit:.2f} times the limit; "
      f"lowest serving {swap['lowest_serving']}; runs on a wrong version {wrong}; outcomes {report['outcomes']}")
for phase in ("before", "during", "after"):
    part = swap[phase]
    for kind, c in sorted(part["classes"].items()):
        print(f"  {phase:6} {kind:5} n {c['count']:5} p50 {c['p50_ms']:7.0f} ms p95 {c['p95_ms']:7.0f} ms; outcomes {part['outcomes']}; versions {part['versions']}")
PY
}

rm -f "$out/summary.txt"
for seed in $seeds; do
  run_case "swap-$seed" "$seed" no
  run_case "killed-$seed" "$seed" yes
done
