#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# With TROUBLE=0 the script does the same without the disruption.
exec python3 "$(dirname "$0")/case.py"
