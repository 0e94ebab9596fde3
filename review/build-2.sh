#!/bin/sh
# Builds what the scripts in review/6 to review/10 start, after the build of the deploy
# file, which installs the nodes and the libraries into target/deps.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q standins review/rig_2 review/6 review/7 review/8 review/9 \
    review/10 || exit 1
# The stand-ins of the project and the rig need no library beyond these.
python3 -c 'import sycamorecroft.node.main, standins.platform_http, review.rig_2.site'
