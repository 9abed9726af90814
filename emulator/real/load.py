"""A client that sends requests at a constant rate and records the latency of each response."""

from __future__ import annotations

import asyncio
from time import monotonic

import hiredis
from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1  # lower end of the histogram
MAX_LATENCY_US = 10_000_000  # upper end of the histogram
SIGNIFICANT_DIGITS = 3  # precision of the histogram
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p99_9": 99.9}
TENANTS = 500  # tenants among which the requests are distributed
DEADLINE_MS = 1500
START_DELAY = 0.1  # seconds until the first request
# Seconds by which a request may be sent late, as the timers of the loop have a resolution of milliseconds.
TIMER_TOLERANCE = 0.003
RESPONSE_TIMEOUT = 5.0  # seconds
SPREAD = 2  # gateways that receive the requests of one tenant


class LoadError(Exception):
    """A response is missing. The message gives the reason."""


def encode_command(number: int, deadline_ms: int, plan: str, tenants: int = TENANTS) -> bytes:
    """Encodes one read request in the protocol of the clients."""
    fields = f"c=fetch,t={plan},d={deadline_ms},units=1,spread={SPREAD},first=0"
    parts = ["API.READ", f"{number % tenants:016x}", f"r{number}", fields]
    return (f"*{len(parts)}\r\n" + "".join(f"${len(part)}\r\n{part}\r\n" for part in parts)).encode()


class Client:
    """A connection that carries one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.parser = reader, writer, hiredis.Reader()

    async def request(self, command: bytes) -> object:
        """Sends a command and returns the response.

        Raises LoadError if the connection is closed or no response arrives within RESPONSE_TIMEOUT.
        """
        self.writer.write(command)
        while (response := self.parser.gets()) is False:
            try:
                async with asyncio.timeout(RESPONSE_TIMEOUT):
                    data = await self.reader.read(65536)
            except TimeoutError as err:
                raise LoadError("no response in time") from err
            if not data:
                raise LoadError("the connection was closed without a response")
            self.parser.feed(data)
        return response


class Latencies:
    """Histogram of the latencies of successful requests, in microseconds.

    Attributes:
        not_served: number of responses without a value.
    """

    def __init__(self) -> None:
        self.histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.not_served = 0

    def record(self, seconds: float, response: object) -> None:
        """Records one response and its latency in seconds."""
        served = isinstance(response, bytes) or (isinstance(response, list) and bool(response))
        self.not_served += not served
        if served:
            self.histogram.record_value(max(MIN_LATENCY_US, round(1e6 * seconds)))

    def at_percentile(self, percentile: float) -> float:
        """Returns the latency in microseconds at a percentile (0 to 100)."""
        return float(self.histogram.get_value_at_percentile(percentile))


async def send_at_constant_rate(
    port: int, rate: float, seconds: float, connections: int, plan: str, tenants: int = TENANTS
) -> Latencies:
    """Sends `rate` requests per second over several connections for `seconds` and returns the latencies.

    The latency of a request that was delayed by a late response on its connection counts from its scheduled
    time, which avoids coordinated omission.
    """
    latencies = Latencies()
    clients = [Client(*await asyncio.open_connection("127.0.0.1", port)) for _ in range(connections)]
    start, total = monotonic() + START_DELAY, int(rate * seconds)

    async def run_client(first_number: int, client: Client) -> None:
        for number in range(first_number, total, connections):
            scheduled_at = start + number / rate
            await asyncio.sleep(max(0.0, scheduled_at - monotonic()))
            sent_at = monotonic()
            measured_from = scheduled_at if sent_at - scheduled_at > TIMER_TOLERANCE else sent_at
            response = await client.request(encode_command(number, DEADLINE_MS, plan, tenants))
            latencies.record(monotonic() - measured_from, response)

    try:
        await asyncio.gather(
            *(run_client(first_number, client) for first_number, client in enumerate(clients))
        )
    finally:
        for client in clients:
            client.writer.close()
    return latencies
