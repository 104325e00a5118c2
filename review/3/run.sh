#!/bin/bash
# Plays the case; with TROUBLE=0 without its disruption. Before: the build line of deploy/system.toml, and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/rig ] && [ -x target/galena-gateway ] && [ -x target/galena-control ] || { echo "build first"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec review/bin/rig rollout review/3
