#!/bin/sh
# The stand-ins are Python files on the standard library alone: nothing is compiled, they are only checked.
cd "$(dirname "$0")" && exec python3 -c 'import ast, pathlib; [ast.parse(p.read_text()) for p in pathlib.Path(".").rglob("*.py")]'
