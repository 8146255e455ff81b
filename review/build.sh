#!/bin/sh
# Compiles the stand-ins of the cases, which need the standard library of Python 3.11 only.
set -eu
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX=../target/review exec python3 -m compileall -q .
