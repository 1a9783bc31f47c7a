#!/bin/sh
# Builds what the scripts of this review start, after the build of the deploy
# file: the stand-ins are Python of the standard library, so that they are only
# checked to compile.  No network is needed.
set -e
cd "$(dirname "$0")"
for source in lab2.py slow2.py [6-9]/case.py 10/case.py; do
    [ -f "$source" ] || continue
    python3 -S -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
