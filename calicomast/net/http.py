"""An HTTP/1.1 client connection that performs one GET request at a time.

The library httptools parses the responses. A complete HTTP client library takes more CPU time to import than
the rest of the program, and where hundreds of processes start at once on few cores, that decides how long a
start takes.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator

from httptools import HttpParserError, HttpResponseParser

MAX_BUFFERED = 256 * 1024  # bytes of a body that are buffered before reading from the socket is paused


class StatusError(Exception):
    """The response's status is not 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class HttpConnection(asyncio.Protocol):
    """A connection to one HTTP server, opened by its first request.

    Args:
        host: name or address of the server.
        port: TCP port of the server.
        max_body_bytes: a response with a longer body is an error.

    Attributes:
        reusable: whether the connection can carry another request. This requires that the last response is
            complete, that no bytes followed it, and that the server keeps the connection open.
        received_data: whether any bytes have arrived since the current request was sent.
    """

    def __init__(self, host: str, port: int, max_body_bytes: int) -> None:
        self.host = host
        self.port = port
        self.max_body_bytes = max_body_bytes
        self.host_header = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        self.transport: asyncio.Transport | None = None
        self.parser = HttpResponseParser(self)
        self.chunks: deque[bytes] = deque()  # parts of the body that the caller has not taken yet
        self.buffered_bytes = 0  # total length of `chunks`
        self.body_bytes = 0  # length of the body received so far
        self.reading_paused = False
        self.awaiting_response = False
        self.response_ended = False  # the response is complete or has failed
        self.error: Exception | None = None
        self.progress = asyncio.Event()  # set when a chunk arrives or the response ends
        self.has_body_length = False  # the response states a length or is chunked
        self.headers_received = False
        self.received_data = False
        self.reusable = False

    async def get(self, target: str) -> bytes:
        """Sends a GET request and returns the whole body.

        If it is cancelled or fails, the connection is closed.

        Raises:
            StatusError: the status is not 200.
            OSError: the connection failed or was closed before the response was complete.
            ValueError: the bytes received are not an HTTP response, or the body is too long.
        """
        return b"".join([chunk async for chunk in self.stream(target)])

    async def stream(self, target: str) -> AsyncIterator[bytes]:
        """Sends a GET request and yields the body in chunks as they arrive.

        Reading from the socket pauses while the caller does not take the chunks. If the caller stops early or
        the request fails, the connection is closed. Raises the same errors as `get`.
        """
        self.reusable = False
        try:
            if self.transport is None:
                await asyncio.get_running_loop().create_connection(lambda: self, self.host, self.port)
            self.send_request(target)
            while True:
                while self.chunks:
                    yield self.take_chunk()
                if self.response_ended:
                    break
                self.progress.clear()
                await self.progress.wait()
            if self.error is not None:
                raise self.error
        finally:
            self.awaiting_response = False
            if not self.reusable:
                self.close()

    def send_request(self, target: str) -> None:
        """Resets the state of the previous response and writes a GET request."""
        assert self.transport is not None
        self.parser = HttpResponseParser(self)
        self.chunks.clear()
        self.buffered_bytes = self.body_bytes = 0
        self.has_body_length = False
        self.headers_received = False
        self.received_data = False
        self.response_ended = False
        self.error = None
        self.awaiting_response = True
        request = f"GET {target} HTTP/1.1\r\nHost: {self.host_header}\r\nAccept: application/json\r\n\r\n"
        self.transport.write(request.encode())

    def take_chunk(self) -> bytes:
        """Removes and returns the oldest buffered chunk, and resumes reading once there is room again."""
        chunk = self.chunks.popleft()
        self.buffered_bytes -= len(chunk)
        if self.reading_paused and self.buffered_bytes <= MAX_BUFFERED and self.transport is not None:
            self.reading_paused = False
            self.transport.resume_reading()
        return chunk

    def close(self) -> None:
        """Closes the connection at once; unsent bytes are discarded."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport of the new connection; called by asyncio."""
        self.transport, self.reading_paused = transport, False  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Passes received bytes to the parser; closes the connection on bytes that no request asked for."""
        self.received_data = True
        if not self.awaiting_response:
            self.close()
            return
        try:
            self.parser.feed_data(data)
        except HttpParserError as err:
            self.end_response(ValueError(f"not an HTTP response: {err}"))
            self.close()  # needed as well if the response was complete and invalid bytes followed it

    def eof_received(self) -> None:
        """Handles the end of the server's sending; called by asyncio."""
        if self.headers_received and not self.has_body_length:
            self.end_response(None)  # a body without a stated length ends here; it does not end with a reset
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails a response that is still incomplete; called by asyncio."""
        self.reusable = False
        self.end_response(
            exc if isinstance(exc, OSError) else ConnectionError("closed before the response was complete")
        )

    def end_response(self, error: Exception | None) -> None:
        """Ends the response with an error, or successfully if there is none and the status is 200."""
        if not self.awaiting_response or self.response_ended:
            return
        status = self.parser.get_status_code()
        if error is None and status != 200:
            error = StatusError(status)
        self.response_ended, self.error = True, error
        self.progress.set()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Starts a response; closes the connection if it is one more than was requested."""
        self.has_body_length, self.headers_received = False, False
        if not self.awaiting_response or self.response_ended:
            self.close()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Notes whether the response states where its body ends."""
        self.has_body_length = self.has_body_length or name.lower() in (
            b"content-length",
            b"transfer-encoding",
        )

    def on_headers_complete(self) -> None:
        """Notes that the body follows."""
        self.headers_received = True

    def on_body(self, body: bytes) -> None:
        """Buffers a part of the body, and pauses reading if the caller does not keep up."""
        self.body_bytes += len(body)
        if self.body_bytes > self.max_body_bytes:
            self.end_response(ValueError("the response body exceeds the size limit"))
            self.close()
        elif not self.response_ended and self.parser.get_status_code() == 200:
            self.chunks.append(body)
            self.buffered_bytes += len(body)
            if self.buffered_bytes > MAX_BUFFERED and not self.reading_paused and self.transport is not None:
                self.reading_paused = True
                self.transport.pause_reading()
            self.progress.set()

    def on_message_complete(self) -> None:
        """Ends the response, unless it is an informational one that another response follows."""
        status = self.parser.get_status_code()
        if 100 <= status < 200:
            return
        self.reusable = self.parser.should_keep_alive() and not self.transport.is_closing()  # type: ignore
        self.end_response(None)
