#!/bin/sh
# Checks that Python can read the stand-ins and cases. They need no build; the programs are built by deploy/system.toml.
cd "$(dirname "$0")" || exit 1
exec python3 - standin/*.py [1-5]/*.py <<'END'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
END
