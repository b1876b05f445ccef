#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. They are Python 3 alone, so this checks that they compile.
set -e
cd "$(dirname "$0")"
command -v python3 > /dev/null
for file in stand-in-2/*.py [0-9]*/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
