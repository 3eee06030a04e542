#!/bin/sh
# Compiles the stand-ins that the scripts of cases 6 to 9 start. They need Python's standard library
# only.
exec python3 -m compileall -q "$(dirname "$0")/standins-2"
