#!/usr/bin/env bash
# Installs the package into .venv and runs the quick start.
# Usage: scripts/quick_start.sh [ondangwa|phalak] [--port-shift N]
set -euo pipefail
cd "$(dirname "$0")/.."
python="${PYTHON:-python3.11}"
command -v "$python" >/dev/null || python=python3
[ -x .venv/bin/python ] || "$python" -m venv .venv
.venv/bin/python -m pip install --quiet --disable-pip-version-check -e . \
    2> >(grep -v WARNING >&2)
exec env PYTHONPATH=src:. .venv/bin/python scripts/quick_start.py "$@"
