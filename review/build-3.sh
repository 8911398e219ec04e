#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They use the standard library only. Their folder is named platform
# since a test of the project wants the names of the platform in such folders only.
set -euo pipefail
cd "$(dirname "$0")/stand3/platform"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../../../target/review-3/stand3 .
