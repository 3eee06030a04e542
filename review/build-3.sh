#!/bin/sh
# Builds the stand-ins of the third review. They need only Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins-3
