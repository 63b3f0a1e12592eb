#!/bin/sh
# The stand-ins are plain Python and need no build; this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for folder in ("kit-2", "6", "7"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
