#!/bin/sh
# Checks the stand-ins and the cases: they need Python 3.11 and its standard
# library only, so that there is nothing else to build.
cd "$(dirname "$0")/.." || exit 1
exec python3 -B - review/*.py review/*/*.py <<'EOF'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), 'Python 3.11 is needed'
for name in sys.argv[1:]:
    compile(Path(name).read_text(), name, 'exec')
EOF
