"""Entry point of the gateway process: `python -m calicomast.net`, configured by the file in RELAY_CONFIG."""

from __future__ import annotations

import signal
import sys


class SighupCounter:
    """Counts SIGHUP signals from the start of the process, before any of them can be handled.

    The default action of SIGHUP would end the process.
    """

    def __init__(self) -> None:
        """Installs the signal handler."""
        self.count = 0
        signal.signal(signal.SIGHUP, self.increment)

    def increment(self, *_: object) -> None:
        """Handles one SIGHUP."""
        self.count += 1


if __name__ == "__main__":
    sighups = SighupCounter()
    # This import takes most of the start-up time, so it comes after the signal handler is installed.
    from calicomast.net.program import main

    sys.exit(main(sighups))
