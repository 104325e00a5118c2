#!/usr/bin/env bash
# Checks each model, and that each of its mutations is found to fail. A search
# that is not whole is a failure, but for a mutation in which it found a fault.
set -euo pipefail
cd "$(dirname "$0")"

readonly MEMORY_MB=1500
readonly DEPTH=200000

work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# search MODEL [FLAG...] prints "holds", "fails" or "unknown".
search() {
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
# mutation to fail. The mutations are searched side by side.
check() {
  local model="$1" mutation results
  shift
  results="$(mktemp -d "$work/XXXXXX")"
  # The flags of a model are words without spaces.
  # shellcheck disable=SC2086
  search $model >"$results/sound" &
  for mutation in "$@"; do
    # shellcheck disable=SC2086
    search $model "-D$mutation" >"$results/$mutation" &
  done
  wait
  if [ "$(cat "$results/sound")" != holds ]; then
    printf '%s: %s\n' "$model" "$(cat "$results/sound")"
    exit 1
  fi
  for mutation in "$@"; do
    if [ "$(cat "$results/$mutation")" != fails ]; then
      printf '%s: mutation %s is not found (%s)\n' "$model" "$mutation" "$(cat "$results/$mutation")"
      exit 1
    fi
  done
  printf '%s: holds; %d mutations fail\n' "$model" "$#"
}

check 'agreement -DTERMS=3 -DLEN=2 -DCRASHES=0' REPLACED_DISK_VOTES READ_WITHOUT_QUORUM READ_BEFORE_TERM ANY_LOG_WINS
check 'agreement -DTERMS=3 -DLEN=1 -DCRASHES=1' VOTE_NOT_PERSISTED LOG_NOT_PERSISTED
check 'agreement -DTERMS=4 -DLEN=1 -DCRASHES=0' COMMIT_OLD_TERM
check 'members -DTERMS=3' CHANGE_BEFORE_TERM
check 'members -DN=5 -DTERMS=2' TWO_AT_ONCE
check atmostonce DISPATCH_BEFORE_COMMIT UNKNOWN_RUNS_AGAIN LOST_BEGIN_RUNS_AGAIN BROKEN_IS_NOT_RUN RECORD_EXPIRES_EARLY ATTEMPT_NOT_COMPARED
check lease FROM_REPLY WALL_CLOCK NUMBER_FORGOTTEN NUMBER_NOT_CHECKED
