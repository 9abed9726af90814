"""The process of one real api gateway: its log, its signals, its start and end."""

from __future__ import annotations

import asyncio
import errno
import gc
import logging
import signal
import sys
import time
from collections.abc import Generator
from typing import Protocol

import uvloop

from calicomast.net.config import Config, ConfigError, config_steps, read_config
from calicomast.net.gateway import GatewayNode

STEPS_AT_ONCE = 4  # of reading the configuration again
MOST_LINES = 5  # of the log in a second
IN_USE, IN_USE_PAUSE = 5.0, 0.05  # s for which an address that is still in use is tried again; between tries


class Seldom(logging.Filter):
    """A few lines a second: CPU is rationed, and trouble that repeats must not take it for logging."""

    def __init__(self) -> None:
        super().__init__()
        self.second, self.left, self.dropped = 0, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        if int(record.created) != self.second:
            if self.dropped:
                record.msg = f"({self.dropped} lines left out) {record.msg}"
            self.second, self.left, self.dropped = int(record.created), MOST_LINES, 0
        self.left -= 1
        self.dropped += self.left < 0
        return self.left >= 0


class Hangups(Protocol):
    seen: int  # how often SIGHUP came since the process began


async def serve(config: Config, hangups: Hangups, known: int) -> None:
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    node = GatewayNode(config)
    reloader = Reloader(node)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    if hangups.seen > known:  # since the configuration was read
        reloader.reload()
    port = await start(node)
    gc.freeze()  # what the start made stays for good: no collection need look at it again
    logging.getLogger(__name__).info("%s listens on %s:%d", config.name, config.listen[0], port)
    await told.wait()
    await node.stop()


async def start(node: GatewayNode) -> int:
    """Starts it, at its address as soon as that is free: what had it before may be just ending."""
    await node.start()
    until = time.monotonic() + IN_USE
    while True:
        try:
            return await node.listen()
        except OSError as err:
            if err.errno != errno.EADDRINUSE or time.monotonic() > until:
                raise
            logging.getLogger(__name__).warning("the address is in use, trying again")
            await asyncio.sleep(IN_USE_PAUSE)


class Reloader:
    """Reads the configuration again on SIGHUP. A long file is read between other work; while that goes on,
    another SIGHUP begins it anew. One that cannot be used leaves the old configuration in force."""

    def __init__(self, node: GatewayNode) -> None:
        self.node = node
        self.steps: Generator[None, None, Config] | None = None

    def reload(self) -> None:
        """The file was replaced. A short one is in force when this returns."""
        self.steps = config_steps(again=True, keep_known=False)
        self.proceed(self.steps)

    def proceed(self, steps: Generator[None, None, Config]) -> None:
        """Does the next step, unless another reading has begun since."""
        if steps is not self.steps:
            return
        try:
            for _ in range(STEPS_AT_ONCE):
                next(steps)
        except StopIteration as end:
            self.steps = None
            self.node.reload(end.value)
        except ConfigError as err:
            self.steps = None
            logging.getLogger(__name__).error("the old configuration stays: %s", err)
        else:
            asyncio.get_running_loop().call_soon(self.proceed, steps)


def main(hangups: Hangups) -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(Seldom())
    try:
        known = hangups.seen
        uvloop.run(serve(read_config(again=known > 0), hangups, known))
    except (ConfigError, OSError) as err:
        print(f"calicomast: {err}", file=sys.stderr)
        return 2
    return 0
