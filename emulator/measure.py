"""Measurements of a piece of Python: executed lines (fixed by the input), CPU time and memory."""

from __future__ import annotations

import gc
import sys
import time
import tracemalloc
from collections.abc import Callable
from types import FrameType
from typing import Any, TypeVar

T = TypeVar("T")

MEGABYTE = 1024 * 1024


def executed_lines(function: Callable[[], object]) -> int:
    """Lines of Python that a call executes, each turn of a loop or comprehension counted.

    It measures work without a clock: the same input gives the same count on any machine.
    """
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(before)
    return count


def cpu_seconds(function: Callable[[], T]) -> tuple[T, float]:
    """What a call returns, and the seconds of processor time that it took."""
    began = time.process_time()
    returned = function()
    return returned, time.process_time() - began


def memory_megabytes(function: Callable[[], T]) -> tuple[T, float, float]:
    """What a call returns, and by how many megabytes of Python objects the memory has grown at its end and at
    its peak."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        returned = function()
        gc.collect()
        after, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return returned, (after - before) / MEGABYTE, (peak - before) / MEGABYTE
