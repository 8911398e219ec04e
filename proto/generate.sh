#!/usr/bin/env bash
# Regenerates sycapb from the schema files. Needs protoc and the three generators of docs/DESIGN.md on PATH.
set -euo pipefail
cd "$(dirname "$0")"
out=../sycapb
rm -f "$out"/*.pb.go "$out"/*.connect.go
common=(--go_out="$out/.." --go_opt=module=sycamorespread.dev)
protoc "${common[@]}" call.proto server.proto peer.proto member.proto oper.proto stand.proto
protoc --connect-go_out="$out/.." --connect-go_opt=module=sycamorespread.dev,package_suffix= \
  call.proto server.proto oper.proto stand.proto
protoc --go-drpc_out="$out/.." --go-drpc_opt=module=sycamorespread.dev peer.proto
