#!/bin/sh
# Builds the stand-ins of review/11 to review/15: they are Python sources of the standard library.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q review/standins-3
for case in review/11 review/12 review/13 review/14 review/15; do
    if [ -f "$case/case.py" ]; then python3 -m compileall -q "$case/case.py"; fi
done
