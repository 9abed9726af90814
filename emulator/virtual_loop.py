"""An event loop in virtual time, for asyncio code that opens no sockets."""

from __future__ import annotations

import asyncio
from typing import Any


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances only when no callback is ready, and then jumps to the next timer.

    Raises AssertionError if there is neither a ready callback nor a timer, that is if the code would wait
    for ever.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now, select = 0.0, self._selector.select  # type: ignore[attr-defined]

        def advance(timeout: float | None = None) -> Any:
            assert timeout is not None, "deadlock: no callback is ready and no timer is scheduled"
            self.now += timeout
            return select(0)

        self._selector.select = advance  # type: ignore[attr-defined]

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.now
