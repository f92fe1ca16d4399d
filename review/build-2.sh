#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are plain Python files that need
# only the standard library; the project's own programs come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q lib-2
for case in 6 7 8 9 10; do
    if [ -f "$case/case.py" ]; then
        python3 -m compileall -q "$case"
    fi
done
test -d ../target/deps/coltsfoothead || {
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 1
}
