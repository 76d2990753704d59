#!/bin/sh
# Builds what the cases start beside the proxy: the stand-ins are Python files that need the standard library alone.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q standins/ports.py review/support.py review/*/case.py
