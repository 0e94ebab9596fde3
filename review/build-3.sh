#!/bin/sh
# Builds the stand-ins that the scripts review/11 to review/15 start. They are Python
# modules and use the libraries of the build of the deploy file only.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q standins review/rig_3
