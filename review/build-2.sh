#!/bin/sh
# Builds the stand-ins of the second review: plain Python of the standard library.
# Needs no network. The nodes come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
if ! [ -d target/deps/rattanfork_adapter ]; then
    echo "build the deploy file first" >&2
    exit 1
fi
python3 - review/standins-2/*.py review/[4-6]/*.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, "rb") as source:
        compile(source.read(), path, "exec")
PY
