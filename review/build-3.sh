#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand3"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-3/stand3 .
