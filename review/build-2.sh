#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: plain Python of the standard library, which is only compiled.
cd "$(dirname "$0")" || exit 1
exec ../.venv/bin/python -m compileall -q second 6 7 8 9 10
