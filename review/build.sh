#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python modules without
# dependencies, so that compiling them is all there is to do.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q lib [1-5]/case.py
