#!/bin/sh
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../.venv/bin/python ] || { echo "could not run: build as deploy/balancer.toml says first"; exit 2; }
exec ../../.venv/bin/python case.py
