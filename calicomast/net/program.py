"""The gateway process: logging, signals, start-up, shutdown and reloading of the configuration."""

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

STEPS_PER_TURN = 4  # steps of reading the configuration in one turn of the event loop
MAX_LINES_PER_SECOND = 5  # log lines
ADDRESS_IN_USE_TIMEOUT = 5.0  # seconds for which listening is retried while the address is in use
LOCAL_ERROR_TIMEOUT = 20.0  # seconds for which the start is retried after local errors, e.g. out of memory
START_RETRY_INTERVAL = 0.05  # seconds
RELOAD_RETRY_DELAYS = (0.1, 0.2, 0.4, 0.8)  # seconds before each retry of a reload that failed


class RateLimitFilter(logging.Filter):
    """Limits the log to MAX_LINES_PER_SECOND.

    CPU time is limited, and an error that repeats must not spend it on logging.
    """

    def __init__(self) -> None:
        """Starts with an empty count."""
        super().__init__()
        self.current_second, self.remaining, self.dropped = 0, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether a record is logged; the first one of a second says how many were dropped before."""
        if int(record.created) != self.current_second:
            if self.dropped:
                record.msg = f"({self.dropped} lines dropped) {record.msg}"
            self.current_second, self.remaining, self.dropped = int(record.created), MAX_LINES_PER_SECOND, 0
        self.remaining -= 1
        self.dropped += self.remaining < 0
        return self.remaining >= 0


class SighupCounter(Protocol):
    """The count of SIGHUP signals that the entry point keeps."""

    count: int  # since the start of the process


async def serve(config: Config, sighups: SighupCounter, handled_sighups: int) -> None:
    """Runs one gateway until SIGTERM or SIGINT.

    Args:
        handled_sighups: the count of SIGHUP signals when reading of the configuration began; a later signal
            makes it be read again.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    service = GatewayService(config)
    reloader = Reloader(service)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    loop.add_signal_handler(signal.SIGUSR1, service.log_counts)
    if sighups.count > handled_sighups:
        reloader.reload()
    port = await start_service(service, stop_requested)
    if port is None:
        return
    gc.freeze()  # objects made at start-up live as long as the process: no collection needs to scan them
    logging.getLogger(__name__).info("%s listens on %s:%d", config.name, config.listen[0], port)
    await stop_requested.wait()
    await service.stop()


async def start_service(service: GatewayService, stop_requested: asyncio.Event) -> int | None:
    """Starts the gateway and returns its port, or None if a stop was requested before it could listen.

    Listening is retried while the address is in use, as a previous process may still be ending, and after
    local errors. Raises OSError for other errors, and for these when their time is over.
    """
    await service.start()
    started_at = time.monotonic()
    while not stop_requested.is_set():
        try:
            return await service.listen()
        except OSError as err:
            timeout = (
                LOCAL_ERROR_TIMEOUT
                if is_local_error(err)
                else ADDRESS_IN_USE_TIMEOUT
                if err.errno == errno.EADDRINUSE
                else 0.0
            )
            if time.monotonic() > started_at + timeout:
                raise
            reason = "in use" if err.errno == errno.EADDRINUSE else err.strerror
            logging.getLogger(__name__).warning("cannot listen, retrying: %s", reason)
            await asyncio.sleep(START_RETRY_INTERVAL)
    return None


def read_initial_config(sighups: SighupCounter) -> Config:
    """Reads the configuration at start-up and retries for LOCAL_ERROR_TIMEOUT after local errors.

    Raises ConfigError if the configuration is invalid or still cannot be read then.
    """
    deadline = time.monotonic() + LOCAL_ERROR_TIMEOUT
    while True:
        try:
            return read_config(reload=sighups.count > 0)
        except ConfigError as err:
            if not is_local_error(err.__cause__) or time.monotonic() > deadline:
                raise
            time.sleep(START_RETRY_INTERVAL)


class Reloader:
    """Reads the configuration again on SIGHUP and passes it to the gateway.

    A long file is read in steps, between which the event loop goes on. After a SIGHUP in the meantime it is
    read once more as soon as the reading in progress has ended: if each signal began the reading again, none
    would end while signals follow quickly. The current configuration stays in force if the new one cannot be
    used.
    """

    def __init__(self, service: GatewayService) -> None:
        """Reads nothing until the first reload."""
        self.service = service
        self.steps: Generator[None, None, Config] | None = None  # of the reading in progress
        self.signalled_again = False  # a SIGHUP came during that reading
        self.retry_timer: asyncio.TimerHandle | None = None
        self.retry_count = 0

    def reload(self) -> None:
        """Handles SIGHUP. A configuration that takes at most STEPS_PER_TURN steps is in force on return."""
        self.retry_count = 0
        if self.steps is None:
            self.start_reading()
        else:
            self.signalled_again = True

    def start_reading(self) -> None:
        """Reads the file from its beginning."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        self.steps = read_config_incrementally(reload=True, keep_servers=False)
        self.continue_reading(self.steps)

    def continue_reading(self, steps: Generator[None, None, Config]) -> None:
        """Does the next steps of the reading in progress."""
        try:
            for _ in range(STEPS_PER_TURN):
                next(steps)
        except StopIteration as end:
            self.steps = None
            self.service.reload(end.value)
        except ConfigError as err:
            self.steps = None
            logging.getLogger(__name__).error("the current configuration stays in force: %s", err)
            if not self.signalled_again:
                self.schedule_retry()
        else:
            asyncio.get_running_loop().call_soon(self.continue_reading, steps)
        if self.steps is None and self.signalled_again:
            self.signalled_again = False
            self.start_reading()

    def schedule_retry(self) -> None:
        """Schedules another reading of a file that could not be used, as no other SIGHUP will follow.

        The file may be half written, or the system short of descriptors for a moment.
        """
        if self.retry_count < len(RELOAD_RETRY_DELAYS):
            delay = RELOAD_RETRY_DELAYS[self.retry_count]
            self.retry_count += 1
            self.retry_timer = asyncio.get_running_loop().call_later(delay, self.start_reading)


def main(sighups: SighupCounter) -> int:
    """Runs the gateway process and returns its exit status: 0, or 2 after an error, which stderr names."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    logging.getLogger().handlers[0].addFilter(RateLimitFilter())
    try:
        handled_sighups = sighups.count
        uvloop.run(serve(read_initial_config(sighups), sighups, handled_sighups))
    except (ConfigError, OSError) as err:
        print(f"calicomast: {err}", file=sys.stderr)
        return 2
    return 0
