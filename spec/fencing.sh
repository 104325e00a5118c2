#!/usr/bin/env bash
# Model-checks spec/fencing.pml: the model must hold, and each of its mutations
# must violate an assertion.
set -euo pipefail
cd "$(dirname "$0")"

work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# verify NAME [FLAG...] prints the number of assertion violations found.
verify() {
  local dir="$work/$1"
  mkdir "$dir"
  cp fencing.pml "$dir"
  (
    cd "$dir"
    spin -a "${@:2}" fencing.pml >/dev/null
    gcc -O2 -w -DSAFETY -DMEMLIM=2048 -o pan pan.c
    ./pan -m200000 -w24 >out 2>&1 || true
    if grep -q 'max search depth too small\|out of memory\|reached memory limit' out; then
      printf 'search of %s is incomplete\n' "$1" >&2
      exit 1
    fi
    if grep -q 'errors: 0' out; then
      echo 0
    else
      grep -c 'assertion violated' out
    fi
  )
}

errors="$(verify unmutated)"
if [ "$errors" != 0 ]; then
  printf 'fencing.pml: %s errors\n' "$errors"
  exit 1
fi
for mutation in NO_WAIT_AFTER_ACQUIRE TERM_FROM_REPLY SEND_UNTIL_EXPIRY; do
  errors="$(verify "$mutation" "-D$mutation")"
  if [ "$errors" = 0 ]; then
    printf 'fencing.pml: mutation %s is not detected\n' "$mutation"
    exit 1
  fi
done
printf 'fencing.pml: holds; each mutation fails\n'
