#!/bin/sh
# Builds what the scripts of the cases start: the tier's roles, and the stand-ins (plain Python, compiled ahead).
set -e
cd "$(dirname "$0")/.."
make -s system
python3 -m compileall -q review/lib review/[0-9]*/
