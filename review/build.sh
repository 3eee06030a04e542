#!/bin/sh
# Compiles the stand-ins of the review's scripts; they need nothing but Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
