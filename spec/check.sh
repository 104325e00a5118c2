#!/usr/bin/env bash
# Model-checks each specification: the model must hold, and each mutation of it
# must violate an assertion. An incomplete search counts as a failure, unless it
# has already found the violation that a mutation must cause.
set -euo pipefail
cd "$(dirname "$0")"

readonly MEMORY_MB=1500
readonly DEPTH=1000000

work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# verify MODEL [FLAG...] prints "holds", "fails" or "unknown".
verify() {
  local dir
  dir="$(mktemp -d "$work/XXXXXX")"
  cp "$1.pml" "$dir"
  (
    cd "$dir"
    spin -a "${@:2}" "$1.pml" >/dev/null
    gcc -O1 -w -DSAFETY -DNOREDUCE -DMEMLIM=$MEMORY_MB -o pan pan.c
    ./pan -E -m$DEPTH -w22 >out 2>&1 || true
    if grep -q 'assertion violated' out; then
      echo fails
    elif grep -q 'max search depth too small\|out of memory\|reached memory limit' out || ! grep -q 'errors: 0' out; then
      echo unknown
    else
      echo holds
    fi
  )
}

# check "MODEL [FLAG...]" MUTATION... requires the model to hold and each
# mutation to fail. The model and its mutations are verified in parallel.
check() {
  local model="$1" mutation results
  shift
  results="$(mktemp -d "$work/XXXXXX")"
  # $model is split on purpose: no flag contains a space.
  # shellcheck disable=SC2086
  verify $model >"$results/unmutated" &
  for mutation in "$@"; do
    # shellcheck disable=SC2086
    verify $model "-D$mutation" >"$results/$mutation" &
  done
  wait
  if [ "$(cat "$results/unmutated")" != holds ]; then
    printf '%s: %s\n' "$model" "$(cat "$results/unmutated")"
    exit 1
  fi
  for mutation in "$@"; do
    if [ "$(cat "$results/$mutation")" != fails ]; then
      printf '%s: mutation %s is not detected (%s)\n' "$model" "$mutation" "$(cat "$results/$mutation")"
      exit 1
    fi
  done
  printf '%s: holds; %d mutations fail\n' "$model" "$#"
}

check 'agreement -DMAX_TERM=3 -DMAX_LOG_LEN=2 -DMAX_CRASHES=0' WIPED_REPLICA_VOTES READ_WITHOUT_QUORUM READ_BEFORE_TERM_COMMIT VOTE_IGNORES_LOG
check 'agreement -DMAX_TERM=3 -DMAX_LOG_LEN=1 -DMAX_CRASHES=1' VOTE_NOT_PERSISTED LOG_NOT_PERSISTED
check 'agreement -DMAX_TERM=4 -DMAX_LOG_LEN=1 -DMAX_CRASHES=0' COMMIT_EARLIER_TERM
check 'members -DMAX_TERM=3' CHANGE_BEFORE_TERM_COMMIT
check 'members -DN=5 -DMAX_TERM=2' REMOVE_TWO_AT_ONCE
check atmostonce DISPATCH_BEFORE_COMMIT RERUN_UNKNOWN RERUN_ABANDONED BROKEN_CONNECTION_IS_NOT_RUN RECORD_EXPIRES_EARLY ATTEMPT_NOT_CHECKED
check lease TERM_FROM_REPLY WALL_CLOCK_LOG_TIME FENCING_NUMBER_LOST FENCING_NUMBER_NOT_CHECKED
check permits AGE_FROM_RESPONSE ISSUE_AT_ONCE SHORT_DELAY NO_MAJORITY RESIGN_LATE
