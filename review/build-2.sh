#!/usr/bin/env bash
# Build the stand-ins that the scripts of review/6 and later start.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
GOWORK=off go build -buildvcs=false -o ../../target/review-2 .
