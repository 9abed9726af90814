"""HTTP connections: where a response ends, which responses are errors, and when a connection is reused."""

import asyncio
import socket
import struct

import pytest
from netkit import StubListener, on_loop

from calicomast.net.http import HttpConnection, StatusError

OK = b"HTTP/1.1 200 OK\r\n"
WITH_LENGTH = OK + b"Content-Length: 4\r\n\r\nbody"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"


class ScriptedServer(StubListener):
    """Answers each request with the next of some responses, and then may end or reset the connection.

    Each response is a pair: its bytes, and "end", "reset" or "" for a connection that stays open.
    """

    def __init__(self, *responses):
        super().__init__()
        self.responses, self.requests = list(responses), []

    async def serve(self, reader, writer):
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.requests.append((id(writer), head))
            text, then = self.responses.pop(0)
            writer.write(text)
            await writer.drain()
            if then == "end":
                return
            if then == "reset":
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                writer.transport.abort()
                return


async def get(server, connection=None):
    """Sends a request, by default on a new connection; returns the connection and the body."""
    connection = connection or HttpConnection("127.0.0.1", server.port, 1000)
    return connection, await connection.get("/v1/endpoints?index=1&wait=1")


@pytest.mark.parametrize(
    "text",
    [
        WITH_LENGTH,
        CHUNKED,
        b"HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH,
        WITH_LENGTH.replace(b"Content-L", b"cONTENT-l"),
    ],
)
@on_loop
async def test_complete_response_is_returned_and_its_connection_reused(text):
    async with ScriptedServer((text, ""), (text, "")) as server:
        connection, body = await get(server)
        assert body == b"body" and connection.reusable
        assert (await get(server, connection))[1] == b"body"
        (first, head), (second, _) = server.requests
        assert first == second and head.startswith(b"GET /v1/endpoints?index=1&wait=1 HTTP/1.1\r\nHost: 127.")
        connection.close()


@on_loop
async def test_body_without_length_ends_at_end_of_stream_but_not_at_reset():
    text = OK + b"\r\nbody"
    async with ScriptedServer((text, "end"), (text, "reset")) as server:
        connection, body = await get(server)
        assert body == b"body" and not connection.reusable
        with pytest.raises(ConnectionError):
            await get(server)


@pytest.mark.parametrize(
    "text, then, error",
    [
        (b"nonsense\r\n\r\n", "", ValueError),
        (OK + b"Content-Length: x\r\n\r\n", "", ValueError),
        (OK + b"Content-Length: 9\r\n\r\nbody", "end", ConnectionError),
        (b"", "end", ConnectionError),
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "", StatusError),
        (b"HTTP/1.1 100 Continue\r\n\r\n", "end", StatusError),
        (OK + b"Content-Length: 9999\r\n\r\n" + b"x" * 1001, "", ValueError),
        (OK + b"\r\n" + b"x" * 1001, "", ValueError),
    ],
)
@on_loop
async def test_malformed_or_incomplete_response_raises_and_closes_the_connection(text, then, error):
    async with ScriptedServer((text, then)) as server:
        connection = HttpConnection("127.0.0.1", server.port, 1000)
        with pytest.raises(error):
            await connection.get("/")
        assert connection.transport.is_closing() != connection.reusable


@pytest.mark.parametrize("extra", [b"noise", WITH_LENGTH, b"\0"])
@on_loop
async def test_connection_is_closed_after_bytes_behind_the_response(extra):
    async with ScriptedServer((WITH_LENGTH + extra, "")) as server:
        connection, body = await get(server)
        assert body == b"body"
        while not connection.transport.is_closing():
            await asyncio.sleep(0)
        assert not connection.reusable


@on_loop
async def test_cancelled_request_closes_its_connection():
    async with ScriptedServer((OK, "")) as server:
        connection = HttpConnection("127.0.0.1", server.port, 1000)
        request = asyncio.create_task(connection.get("/"))
        while not server.requests:
            await asyncio.sleep(0)
        request.cancel()
        await asyncio.wait([request])
        assert connection.transport.is_closing() and not connection.reusable


@on_loop
async def test_refused_connection_raises_oserror():
    async with ScriptedServer() as server:
        port = server.port
    with pytest.raises(OSError):
        await HttpConnection("127.0.0.1", port, 1000).get("/")
