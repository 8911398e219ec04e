#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. Needs no network: standard library only.
set -euo pipefail
cd "$(dirname "$0")/platform"
GOWORK=off go build -o ../../target/standin .
