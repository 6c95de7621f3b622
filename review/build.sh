#!/usr/bin/env bash
# Checks and compiles the stand-ins and scripts of the review; they need only Python's library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q *.py [1-5]
