#!/bin/sh
# Builds what the cases 6 to 10 start beside the platform's proxy (which the deploy file's `build` makes): the hosted
# service, with the project's own stand-ins. A folder from another kind of machine is made anew.
set -eu
cd "$(dirname "$0")/.."
if ! .venv-hosted/bin/python -c 'import fastapi, httptools, msgspec, numpy, uvicorn, uvloop, standins' 2>/dev/null; then
    python3 -m venv --clear .venv-hosted
    .venv-hosted/bin/pip -q --disable-pip-version-check install -e '.[hosted]'
fi
.venv-hosted/bin/python -m compileall -q notchflow standins review
