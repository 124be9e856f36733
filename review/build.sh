#!/usr/bin/env bash
# Build the stand-ins that the scripts of the review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off go build -buildvcs=false -o ../.bin/stand .
