#!/usr/bin/env bash
# Regenerates src/sycamorecroft/rpc/generated from src/sycamorecroft/rpc/peer.proto.
# Requires grpcio-tools: pip install -e '.[generate]'
set -euo pipefail
cd "$(dirname "$0")/.."
out=src/sycamorecroft/rpc/generated
"${PYTHON:-.venv/bin/python}" -m grpc_tools.protoc -I src/sycamorecroft/rpc \
    --python_out="$out" --pyi_out="$out" --grpc_python_out="$out" peer.proto
sed -i 's/^import peer_pb2 as/from sycamorecroft.rpc.generated import peer_pb2 as/' \
    "$out/peer_pb2_grpc.py"
