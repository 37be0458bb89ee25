#!/usr/bin/env bash
# Prepares the stand-ins of review/11 to review/15. They are Python files that use the standard
# library only; the programs under test are built by the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "needs Python 3.11"; exit 1; }
python3 - <<'PY'
import ast
import glob

for path in [*sorted(glob.glob("standins-3/**/*.py", recursive=True)), *sorted(glob.glob("1[1-5]/play.py"))]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
    print("ready:", path)
PY
