#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python scripts without dependencies.
cd "$(dirname "$0")/.." || exit 2
exec python3 -c 'import ast, pathlib
for path in sorted(pathlib.Path("review").glob("lib2/*.py")) + sorted(pathlib.Path("review").glob("[0-9]*/case.py")):
    ast.parse(path.read_text(), str(path))'
