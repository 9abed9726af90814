"""Runs the case in a folder; an error before the case begins is no result either: 2."""

from __future__ import annotations

import os
import runpy
import sys
import traceback

script = os.path.join(sys.argv[1], "case.py")
sys.argv = [script]
try:
    runpy.run_path(script, run_name="__main__")
except BaseException:
    traceback.print_exc()
    os._exit(2)
