"""Measurements of Python code: executed lines (which the input determines), CPU time and memory."""

from __future__ import annotations

import gc
import sys
import time
import tracemalloc
from collections.abc import Callable
from types import FrameType
from typing import Any, TypeVar

T = TypeVar("T")

MEGABYTE = 1024 * 1024  # bytes


def executed_lines(function: Callable[[], object]) -> int:
    """Counts the lines of Python that a call executes, including each iteration of a loop or comprehension.

    The count measures work without a clock: the same input gives the same count on any machine.
    """
    count = 0

    def trace(frame: FrameType, event: str, argument: Any) -> Any:
        nonlocal count
        count += event == "line"
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(previous)
    return count


def cpu_seconds(function: Callable[[], T]) -> tuple[T, float]:
    """Calls a function; returns its result and the CPU time in seconds that it used."""
    started_at = time.process_time()
    returned = function()
    return returned, time.process_time() - started_at


def memory_megabytes(function: Callable[[], T]) -> tuple[T, float, float]:
    """Calls a function; returns its result and the growth of Python's memory in megabytes.

    The first number is the growth after the call, the second the growth at the peak during the call.
    """
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
