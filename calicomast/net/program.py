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

from calicomast.net.config import Config, ConfigError, read_config, read_config_incrementally
from calicomast.net.gateway import GatewayService
from calicomast.net.local_errors import is_local_error

STEPS_PER_TURN = 4  # of reading the configuration again
MOST_LINES = 5  # of the log in a second
IN_USE = 5.0  # s for which an address that is still in use is tried again
HINDERED = 20.0  # s for which a start is, where the system is short of descriptors or memory
START_PAUSE = 0.05  # s between tries
RELOAD_PAUSES = (0.1, 0.2, 0.4, 0.8)  # s between tries of a configuration that cannot be read


class RateLimitFilter(logging.Filter):
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


class SighupCounter(Protocol):
    seen: int  # how often SIGHUP came since the process began


async def serve(config: Config, hangups: SighupCounter, known: int) -> None:
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    node = GatewayService(config)
    reloader = Reloader(node)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    loop.add_signal_handler(signal.SIGUSR1, node.print_counts)
    if hangups.seen > known:  # since the configuration was read
        reloader.reload()
    port = await start_service(node, told)
    if port is None:
        return
    gc.freeze()  # what the start made stays for good: no collection need look at it again
    logging.getLogger(__name__).info("%s listens on %s:%d", config.name, config.listen[0], port)
    await told.wait()
    await node.stop()


async def start_service(node: GatewayService, told: asyncio.Event) -> int | None:
    """Starts it, at its address as soon as that is free: what had it before may be just ending. None where it
    was told to end before."""
    await node.start()
    began = time.monotonic()
    while not told.is_set():
        try:
            return await node.listen()
        except OSError as err:
            most = HINDERED if is_local_error(err) else IN_USE if err.errno == errno.EADDRINUSE else 0.0
            if time.monotonic() > began + most:
                raise
            reason = "in use" if err.errno == errno.EADDRINUSE else err.strerror
            logging.getLogger(__name__).warning("cannot listen yet, trying again: %s", reason)
            await asyncio.sleep(START_PAUSE)
    return None


def read_at_start(hangups: SighupCounter) -> Config:
    """The configuration; raises ConfigError where it cannot be used, or not be read for too long."""
    until = time.monotonic() + HINDERED
    while True:
        try:
            return read_config(reload=hangups.seen > 0)
        except ConfigError as err:
            if not is_local_error(err.__cause__) or time.monotonic() > until:
                raise
            time.sleep(START_PAUSE)


class Reloader:
    """Reads the configuration again on SIGHUP. A long file is read between other work; while that goes on,
    another SIGHUP begins it anew. One that cannot be used leaves the old configuration in force."""

    def __init__(self, node: GatewayService) -> None:
        self.node = node
        self.steps: Generator[None, None, Config] | None = None
        self.again: asyncio.TimerHandle | None = None
        self.tries = 0

    def reload(self) -> None:
        """The file was replaced. A short one is in force when this returns."""
        self.tries = 0
        self.begin()

    def begin(self) -> None:
        """Reads it from its beginning."""
        if self.again is not None:
            self.again.cancel()
            self.again = None
        self.steps = read_config_incrementally(reload=True, keep_servers=False)
        self.proceed(self.steps)

    def proceed(self, steps: Generator[None, None, Config]) -> None:
        """Does the next step, unless another reading has begun since."""
        if steps is not self.steps:
            return
        try:
            for _ in range(STEPS_PER_TURN):
                next(steps)
        except StopIteration as end:
            self.steps = None
            self.node.reload(end.value)
        except ConfigError as err:
            self.steps = None
            logging.getLogger(__name__).error("the old configuration stays: %s", err)
            self.schedule_retry()
        else:
            asyncio.get_running_loop().call_soon(self.proceed, steps)

    def schedule_retry(self) -> None:
        """The file may be just being written, or the system out of descriptors: nobody sends SIGHUP again."""
        if self.tries < len(RELOAD_PAUSES):
            pause = RELOAD_PAUSES[self.tries]
            self.tries += 1
            self.again = asyncio.get_running_loop().call_later(pause, self.begin)


def main(hangups: SighupCounter) -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(RateLimitFilter())
    try:
        known = hangups.seen
        uvloop.run(serve(read_at_start(hangups), hangups, known))
    except (ConfigError, OSError) as err:
        print(f"calicomast: {err}", file=sys.stderr)
        return 2
    return 0
