#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the project's programs: stand-ins in Python 3 with
# its standard library alone. There is nothing to compile; this checks that they can be read and started.
set -eu
cd "$(dirname "$0")"
python3 - lib-2/standins.py [6-9]/case.py 1[0-9]/case.py <<'PY'
import glob, sys
for pattern in sys.argv[1:]:
    for path in sorted(glob.glob(pattern)):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
        print("read", path)
PY
