#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain Python files; this only checks them.
set -eu
cd "$(dirname "$0")"
exec python3 -c "
import ast, pathlib
for path in [pathlib.Path('lab2.py'), *pathlib.Path('.').glob('[0-9]*/case.py')]:
    ast.parse(path.read_text())
"
