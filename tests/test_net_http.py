"""One GET at a time: where an answer ends, and what is none."""

import asyncio
import socket
import struct

import pytest
from netkit import StubListener, on_loop

from calicomast.net.http import HttpConnection, StatusError

OK = b"HTTP/1.1 200 OK\r\n"
SIZED = OK + b"Content-Length: 4\r\n\r\nbody"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"


class Script(StubListener):
    """Answers the n-th request with the n-th of some texts and then does what stands behind it."""

    def __init__(self, *answers):
        super().__init__()
        self.answers, self.asked = list(answers), []

    async def serve(self, reader, writer):
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.asked.append((id(writer), head))
            text, then = self.answers.pop(0)
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


async def get(script, conn=None):
    conn = conn or HttpConnection("127.0.0.1", script.port, 1000)
    return conn, await conn.get("/v1/endpoints?index=1&wait=1")


@pytest.mark.parametrize(
    "text",
    [SIZED, CHUNKED, b"HTTP/1.1 100 Continue\r\n\r\n" + SIZED, SIZED.replace(b"Content-L", b"cONTENT-l")],
)
@on_loop
async def test_a_whole_answer_is_given_and_its_connection_used_again(text):
    async with Script((text, ""), (text, "")) as script:
        conn, body = await get(script)
        assert body == b"body" and conn.free
        assert (await get(script, conn))[1] == b"body"
        (first, head), (second, _) = script.asked
        assert first == second and head.startswith(b"GET /v1/endpoints?index=1&wait=1 HTTP/1.1\r\nHost: 127.")
        conn.close()


@on_loop
async def test_a_body_of_no_stated_length_ends_with_the_sending_and_not_with_a_reset():
    text = OK + b"\r\nbody"
    async with Script((text, "end"), (text, "reset")) as script:
        conn, body = await get(script)
        assert body == b"body" and not conn.free
        with pytest.raises(ConnectionError):
            await get(script)


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
async def test_what_is_no_whole_answer_is_an_error_and_ends_the_connection(text, then, error):
    async with Script((text, then)) as script:
        conn = HttpConnection("127.0.0.1", script.port, 1000)
        with pytest.raises(error):
            await conn.get("/")
        assert conn.transport.is_closing() != conn.free


@pytest.mark.parametrize("more", [b"noise", SIZED, b"\0"])
@on_loop
async def test_after_more_than_an_answer_a_connection_is_not_used_again(more):
    async with Script((SIZED + more, "")) as script:
        conn, body = await get(script)
        assert body == b"body"
        while not conn.transport.is_closing():
            await asyncio.sleep(0)
        assert not conn.free


@on_loop
async def test_a_call_that_is_given_up_ends_its_connection():
    async with Script((OK, "")) as script:
        conn = HttpConnection("127.0.0.1", script.port, 1000)
        call = asyncio.create_task(conn.get("/"))
        while not script.asked:
            await asyncio.sleep(0)
        call.cancel()
        await asyncio.wait([call])
        assert conn.transport.is_closing() and not conn.free


@on_loop
async def test_nobody_there_is_an_error():
    async with Script() as script:
        port = script.port
    with pytest.raises(OSError):
        await HttpConnection("127.0.0.1", port, 1000).get("/")
