#!/bin/bash
# Builds the stand-ins that the scripts start, into review/bin/.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -trimpath -o review/bin/rig ./review/rig
