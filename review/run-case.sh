#!/usr/bin/env bash
# run-case.sh CASE FOLDER: runs one case from the repository's root. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/sycd ] || [ ! -x target/standin ]; then
  echo "target/sycd or target/standin is missing: run the build of deploy/system.toml and review/build.sh" >&2
  exit 2
fi
exec env TROUBLE="${TROUBLE:-1}" target/standin "$1" "$2"
