#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: plain Python, so this only compiles them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q rig
