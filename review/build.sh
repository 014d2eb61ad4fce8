#!/usr/bin/env bash
# Builds what the scripts start. The stand-ins are Python modules without dependencies, so "building" them means to
# compile them once; this fails if Python is missing or too old. The router is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import py_compile, sys, pathlib, tempfile
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
with tempfile.TemporaryDirectory() as folder:
    for source in sorted(pathlib.Path(".").glob("*/*.py")):
        py_compile.compile(str(source), cfile=f"{folder}/{source.stem}.pyc", doraise=True)
CHECK
