"""RESP2 message framing: finds where each message ends and validates its lengths before hiredis parses it.

hiredis allocates the whole array for `*1000000000` at once, and freeing it takes a second of CPU. It also
doesn't check that CRLF follows a bulk string. It is therefore given only whole messages whose framing has
been validated here.
"""

from __future__ import annotations

from typing import Any

import hiredis

MAX_BODY_BYTES = 64 * 1024  # length of a value or body; set by the protocol
# Length of a message, framing included. It bounds the memory that a message without an end can fill.
MAX_MESSAGE_BYTES = MAX_BODY_BYTES + 4096
MAX_ARRAY_ITEMS = 64  # no message of the protocol has more than five
MAX_LINE_BYTES = 1024  # the longest lines are error lines that carry a load report
MAX_LENGTH_DIGITS = 9  # Python's int() would accept thousands
NO_MESSAGE: Any = object()  # more bytes are needed; None and False are valid messages


class FramingError(Exception):
    """Raised for bytes that are not a valid RESP message; the rest of the stream can't be parsed."""


class MessageParser:
    """Parses whole messages, one after another.

    A hiredis reader keeps the memory of a long message until the next one, so all connections share one.
    """

    def __init__(self) -> None:
        self._reader = hiredis.Reader()

    def parse(self, encoded: bytes) -> Any:
        """Parses one message, as `MessageFramer.next_message` does. Raises FramingError."""
        try:
            self._reader.feed(encoded)
            return self._reader.gets()
        except (hiredis.ProtocolError, MemoryError) as err:
            self._reader = hiredis.Reader()  # after an error a reader parses nothing more
            raise FramingError(str(err)) from err


parse_message = MessageParser().parse


class MessageFramer:
    """Splits a byte stream into RESP messages: simple lines, bulk strings, and arrays of both.

    Attributes:
        buffer: bytes received that are not part of a returned message.
        position: offset in `buffer` where the next item of the first message begins.
        items_left: items of the first message that have not been scanned yet.
    """

    __slots__ = ("buffer", "position", "items_left")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.position, self.items_left = 0, 1

    def feed(self, data: bytes | memoryview) -> None:
        """Appends received bytes to the buffer."""
        self.buffer += data

    def next_message(self) -> Any:
        """Returns the next message, or NO_MESSAGE if it is incomplete.

        An error reply is returned as a hiredis.ReplyError. Raises FramingError.
        """
        length = self.message_length()
        return parse_message(self.take(length)) if length else NO_MESSAGE

    def take(self, length: int) -> bytes:
        """Removes and returns the first message, whose length is known, without parsing it."""
        encoded = bytes(self.buffer[:length])
        self.skip(length)
        return encoded

    def skip(self, length: int) -> None:
        """Removes the first message, whose length is known."""
        del self.buffer[:length]
        self.position, self.items_left = 0, 1

    def message_length(self) -> int:
        """Returns the length of the first message in bytes, or 0 while it is incomplete. Raises FramingError.

        Scanning resumes where the last call stopped: only the bytes of an incomplete line are scanned again.
        """
        buffer = self.buffer
        available = len(buffer)
        while (start := self.position) <= available:
            # Checked here, and not behind the length, as the end of a bulk string can arrive in a later call.
            if start and not buffer.startswith(b"\r\n", start - 2):
                raise FramingError("no CRLF after a bulk string")
            if not self.items_left:
                return start
            if start == available:
                break
            type_byte, line_end = buffer[start], buffer.find(b"\r\n", start, start + MAX_LINE_BYTES)
            if type_byte not in b"$*+-:":
                raise FramingError("unknown type byte")
            if line_end < 0:
                if available - start >= MAX_LINE_BYTES:
                    raise FramingError("line too long")
                break
            self.position, self.items_left = line_end + 2, self.items_left - 1
            if type_byte in b"$*":
                # 42 is the code of "*", the type byte of an array.
                self.apply_length(type_byte == 42, buffer[start + 1 : line_end], start)
            if self.position > MAX_MESSAGE_BYTES:
                raise FramingError("message too long")
        return 0

    def apply_length(self, is_array: bool, digits: bytearray, start: int) -> None:
        """Applies the length of an array or a bulk string that begins at `start` in the buffer.

        Raises FramingError for a length that is malformed or too large, and for a nested array.
        """
        if digits == b"-1":
            return
        if not digits.isdigit() or len(digits) > MAX_LENGTH_DIGITS:
            raise FramingError("malformed length")
        length = int(digits)
        if not is_array:
            # A body slightly over its limit still fits, so that its command alone is rejected.
            if length > MAX_BODY_BYTES + MAX_LINE_BYTES:
                raise FramingError("bulk string too long")
            self.position += length + 2
        elif start or length > MAX_ARRAY_ITEMS:
            raise FramingError("nested array, or too many items")
        else:
            self.items_left += length
