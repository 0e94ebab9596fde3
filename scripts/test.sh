#!/usr/bin/env bash
# Installs the package with its test dependencies into .venv, then runs the unit tests,
# property tests and behave features. The last line printed is "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
python="${PYTHON:-python3.11}"
command -v "$python" >/dev/null || python=python3
[ -x .venv/bin/python ] || "$python" -m venv .venv || exit 1
.venv/bin/python -m pip install --quiet --disable-pip-version-check -e '.[test]' \
    2> >(grep -v WARNING >&2) || exit 1
exec .venv/bin/python scripts/run_tests.py "$@"
