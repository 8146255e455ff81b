#!/bin/sh
# Compiles the stand-ins of the cases; they need the standard library of Python 3.11 only.
set -eu
cd "$(dirname "$0")"
exec python3 -m compileall -q .
