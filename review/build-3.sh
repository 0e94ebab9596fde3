#!/bin/sh
# Builds the stand-ins that the scripts review/11 to review/15 start. They are Python
# modules and use the libraries of the build of the deploy file only.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q standins review/rig_3 review/11 review/12 review/13 review/14 \
    review/15
python3 -c 'import sycamorecroft.node.main, standins.platform_http, review.rig_3.workers'
