"""An event loop in virtual time, for asyncio code that opens no sockets."""

from __future__ import annotations

import asyncio
from typing import Any


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose clock stands still but where nothing is left to do: it then goes on to the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self.now, select = 0.0, self._selector.select  # type: ignore[attr-defined]

        def go_on(timeout: float | None = None) -> Any:
            assert timeout is not None, "nothing is left that could happen"
            self.now += timeout
            return select(0)

        self._selector.select = go_on  # type: ignore[attr-defined]

    def time(self) -> float:
        """Seconds of virtual time."""
        return self.now
