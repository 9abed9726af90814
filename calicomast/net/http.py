"""A connection to an HTTP/1.1 service, for one GET at a time: the whole body, or an error that says why not.

The parser is a library's. A client library as a whole takes more CPU to import than the rest of the program,
and where hundreds of processes start at once on few cores that decides how long a start takes.
"""

from __future__ import annotations

import asyncio

from httptools import HttpParserError, HttpResponseParser


class StatusError(Exception):
    """The answer's status is not 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class HttpConnection(asyncio.Protocol):
    """`free`: its last answer is whole, nothing lies behind it, and the service lets it be used again."""

    def __init__(self, host: str, port: int, most: int) -> None:
        self.host, self.port, self.most = host, port, most  # most: bytes of a body
        self.name = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.transport: asyncio.Transport | None = None
        self.waiting: asyncio.Future[bytes] | None = None
        self.parser = HttpResponseParser(self)
        self.body, self.sized, self.headed, self.heard = bytearray(), False, False, False
        self.free = False

    async def get(self, target: str) -> bytes:
        """Cancelled or failed, it leaves the connection closed."""
        loop = asyncio.get_running_loop()
        self.free = False
        try:
            if self.transport is None:
                await loop.create_connection(lambda: self, self.host, self.port)
            assert self.transport is not None
            self.parser = HttpResponseParser(self)
            self.body, self.sized, self.headed, self.heard = bytearray(), False, False, False
            self.waiting = loop.create_future()
            self.transport.write(
                f"GET {target} HTTP/1.1\r\nHost: {self.name}\r\nAccept: application/json\r\n\r\n".encode()
            )
            return await self.waiting
        finally:
            self.waiting = None
            if not self.free:
                self.close()

    def close(self) -> None:
        self.free = False
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.heard = True
        if self.waiting is None:  # nobody asked for it
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except HttpParserError as err:
            self.end(ValueError(f"no HTTP answer: {err}"))
            self.close()  # also where an answer was whole and noise came behind it

    def eof_received(self) -> None:
        if self.headed and not self.sized:
            self.end(None)  # a body of no stated length ends with the sending; a reset is no end
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.free = False
        self.end(exc if isinstance(exc, OSError) else ConnectionError("closed without a whole answer"))

    def end(self, error: Exception | None) -> None:
        if self.waiting is None or self.waiting.done():
            return
        status = self.parser.get_status_code()
        if error is None and status != 200:
            error = StatusError(status)
        if error is not None:
            self.waiting.set_exception(error)
        else:
            self.waiting.set_result(bytes(self.body))

    # What the parser finds

    def on_message_begin(self) -> None:
        self.body, self.sized, self.headed = bytearray(), False, False
        if self.waiting is None or self.waiting.done():  # an answer behind the answer
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.sized = self.sized or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        self.headed = True

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > self.most:
            self.end(ValueError("an answer without end"))
            self.close()

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if 100 <= status < 200:  # more is to come
            return
        self.free = self.parser.should_keep_alive() and not self.transport.is_closing()  # type: ignore
        self.end(None)
