#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python modules without dependencies, so that a
# look at their syntax is all there is to do.
cd "$(dirname "$0")/.." || exit 2
exec python3 -c 'import ast, pathlib
for pattern in ("lib/*.py", "6/system.py", "*/case.py"):
    for path in sorted(pathlib.Path("review").glob(pattern)):
        ast.parse(path.read_text(), str(path))'
