#!/usr/bin/env bash
# Measures routing and keeping: real processes on loopback play the same
# traces over the baselines and the project's policy, at three loads and under
# faults. It ends only the processes that it started, by their IDs.
#
#   experiments/context.sh [-quick|-full] [-out folder] [-only pattern] [-loads "0.60 0.85"]
#
# A run is named trace-load-fault-policy; -only keeps those that match. The
# reports, a table (table.md) and plots go to the folder (out/context).
set -euo pipefail
cd "$(dirname "$0")/.."

mode=full
out=out/context
only=.
loads=
while [ $# -gt 0 ]; do
  case "$1" in
    -quick) mode=quick ;;
    -full) mode=full ;;
    -out) out="$2"; shift ;;
    -only) only="$2"; shift ;;
    -loads) loads="$2"; shift ;;
    *) echo "unknown argument $1" >&2; exit 2 ;;
  esac
  shift
done

readonly ENTRIES=4 ENGINES=6 STORES=2 ENGINE_BLOCKS=64
# The order trace's returns are not foreseeable one by one, so its stores hold
# most of what may come back; those of the history trace hold a part.
readonly ORDER_STORE_BLOCKS=500 HISTORY_STORE_BLOCKS=120
readonly BLOCK_BYTES=65536 LINK_RATE=4194304 PREFILL_RATE=8000
# Length of the traces, their warm-up and the time of faults; seconds. The
# rooms of the history trace need a longer warm-up: all their histories are
# computed once in it.
order_times=(36 18 24)
history_times=(42 26 32)

mkdir -p "$out" bin
rm -f "$out"/*.json
go build -o bin/ ./cmd/...

url() { printf 'http://127.0.0.1:%d' "$1"; }
join() { local IFS=,; printf '%s' "$*"; }

# run_case TRACE LOAD FAULT POLICY KEEPING BASE_PORT starts the processes,
# plays the trace and ends the processes.
run_case() {
  local trace=$1 load=$2 fault=$3 policy=$4 keeping=$5 base=$6
  local name="$trace-$load-$fault-$policy"
  local store_blocks=$ORDER_STORE_BLOCKS
  local times=("${order_times[@]}")
  if [ "$trace" = history ]; then
    store_blocks=$HISTORY_STORE_BLOCKS
    times=("${history_times[@]}")
  fi
  local duration=${times[0]} warmup=${times[1]} fault_at=${times[2]}
  local dir
  local pids=() entry_pids=() store_pids=() callers=() backends=() peers=() stores=() engine_flags=()
  dir="$(mktemp -d)"
  local control weights
  control="$(url $((base + 1)))" weights="$(url $((base + 2)))"
  mkdir "$dir/control"
  bin/galena-control -insecure-loopback -instance control-1 -failure-domain domain-1 -listen "127.0.0.1:$((base + 1))" \
    -metrics-listen "127.0.0.1:$((base + 3))" -data-dir "$dir/control" 2>"$dir/control.log" & pids+=($!)
  for i in $(seq $ENTRIES); do
    callers+=("$(url $((base + 10 + i)))") backends+=("$(url $((base + 20 + i)))") peers+=("$(url $((base + 30 + i)))")
  done
  for i in $(seq $ENTRIES); do
    bin/galena-entry -insecure-loopback -instance "entry-$i" -failure-domain "domain-$i" -environment experiment -control "$control" \
      -listen "127.0.0.1:$((base + 10 + i))" -backend-listen "127.0.0.1:$((base + 20 + i))" \
      -peer-listen "127.0.0.1:$((base + 30 + i))" -peers "$(join "${peers[@]}")" \
      -metrics-listen "127.0.0.1:$((base + 40 + i))" -keeping "$keeping" -log-level warn 2>"$dir/entry-$i.log" & entry_pids+=($!)
  done
  case "$fault" in
    events_late) engine_flags=(-event-delay 5s -event-loss 0.1) ;;
    load_lag) engine_flags=(-report-lag 2s) ;;
  esac
  for i in $(seq $ENGINES); do
    local kind=prometheus-engine
    [ $((i % 3)) = 0 ] && kind=json-engine
    bin/galena-standin -role engine -instance "engine-$i" -failure-domain "domain-$((i % 4 + 1))" -kind "$kind" \
      -deployment experiment -listen "127.0.0.1:$((base + 50 + i))" -entries "$(join "${backends[@]}")" \
      -cache-blocks $ENGINE_BLOCKS -block-bytes $BLOCK_BYTES \
      -prefill-rate $PREFILL_RATE -log-level warn "${engine_flags[@]}" 2>"$dir/engine-$i.log" & pids+=($!)
  done
  for i in $(seq $STORES); do
    stores+=("$(url $((base + 70 + i)))")
    bin/galena-standin -role store -instance "store-$i" -failure-domain "domain-$i" \
      -listen "127.0.0.1:$((base + 70 + i))" -entries "$(join "${backends[@]}")" \
      -link-rate $LINK_RATE -capacity $((store_blocks * BLOCK_BYTES)) 2>"$dir/store-$i.log" & store_pids+=($!)
  done
  bin/galena-standin -role weights -instance weights -failure-domain domain-1 -listen "127.0.0.1:$((base + 2))" \
    -entries "$(join "${backends[@]}")" 2>"$dir/weights.log" & pids+=($!)
  if [ "$fault" = weight_swap ]; then
    bin/galena-steward -insecure-loopback -instance steward-1 -failure-domain domain-1 -environment experiment -control "$control" \
      -entries "$(join "${backends[@]}")" -metrics-listen "127.0.0.1:$((base + 5))" 2>"$dir/steward.log" & pids+=($!)
  fi
  local flags=(-control "$control" -entries "$(join "${callers[@]}")" -stores "$(join "${stores[@]}")" -weight-store "$weights"
    -trace "$trace" -policy "$policy" -keeping "$keeping" -load "$load" -fault "$fault" -engines $ENGINES
    -prefill-rate $PREFILL_RATE -engine-blocks $ENGINE_BLOCKS -store-blocks $store_blocks -block-bytes $BLOCK_BYTES
    -link-rate $LINK_RATE -duration "${duration}s" -warmup "${warmup}s" -fault-at "${fault_at}s")
  # What was started here ends here, however the run ends.
  trap 'kill -KILL "${pids[@]}" "${entry_pids[@]}" "${store_pids[@]}" 2>/dev/null || true' EXIT
  sleep 1
  bin/galena-load -apply "${flags[@]}"
  sleep 2
  bin/galena-load "${flags[@]}" -out "$out/$name.json" | tail -n 1 &
  local load_pid=$!
  case "$fault" in
    store_dead) sleep $fault_at; kill -KILL "${store_pids[0]}" ;;
    entry_killed) sleep $fault_at; kill -KILL "${entry_pids[0]}" ;;
  esac
  wait "$load_pid" || echo "run $name failed" >&2
  kill -KILL "${pids[@]}" "${entry_pids[@]}" "${store_pids[@]}" 2>/dev/null || true
  trap - EXIT
  wait "${pids[@]}" "${entry_pids[@]}" "${store_pids[@]}" 2>/dev/null || true
  if [ -n "${KEEP_LOGS:-}" ]; then mkdir -p "$out/logs"; cp -r "$dir" "$out/logs/$name"; fi
  rm -rf "$dir"
}

# case_if plays a run if -only asks for it.
case_if() {
  if [[ "$1-$2-$3-$4" =~ $only ]]; then run_case "$@"; fi
}

# both plays the two users' traces beside each other.
both() {
  case_if order "$1" "$2" "$3" "$4" 21000 &
  local order=$!
  case_if history "$1" "$2" "$3" "$4" 22000 &
  wait "$order" $!
}

if [ -z "$loads" ]; then
  loads='0.60 0.85 1.05'
  if [ "$mode" = quick ]; then loads=0.85; fi
fi
faults=(store_dead store_full link_tenth events_late load_lag entry_killed weight_swap)
if [ "$mode" = quick ]; then faults=(store_dead link_tenth); fi
for load in $loads; do
  both "$load" none round_robin recency
  both "$load" none cost saving
  both "$load" none least_load recency
  both "$load" none prefix_affinity recency
done
for fault in "${faults[@]}"; do
  both 0.85 "$fault" prefix_affinity recency
  both 0.85 "$fault" cost saving
done
bin/galena-load -table "$out" | tee "$out/table.md"
