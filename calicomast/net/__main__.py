"""One real api gateway: `python -m calicomast.net`, with RELAY_CONFIG naming its configuration."""

from __future__ import annotations

import signal
import sys


class SighupCounter:
    """Counts SIGHUP from the first moment, when nothing can be made of it yet: its default is to end us."""

    def __init__(self) -> None:
        self.seen = 0
        signal.signal(signal.SIGHUP, self.note)

    def note(self, *_: object) -> None:
        self.seen += 1


if __name__ == "__main__":
    hangups = SighupCounter()
    from calicomast.net.program import main  # takes most of a start: not before signals are seen

    sys.exit(main(hangups))
