"""An incremental reader for a JSON object that yields the items of one array in it one at a time.

A server list may be longer than the memory that a gateway has to spare, and reading it in one go would block
the event loop for long. The values themselves are decoded by the standard library.
"""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Generator, Iterator
from typing import Any

MAX_VALUE_CHARACTERS = 1024 * 1024  # longest item or member; a longer one is taken to be endless
BATCH_END_CANDIDATES = (
    3  # closing braces tried as end of a batch: the list's, the enclosing object's, a nested one
)
WHITESPACE = re.compile(r"[ \t\n\r]*")
VALUE_KINDS = {"[": "a list", "{": "an object", '"': "a string"}

_NEED_MORE_DATA = object()  # yielded in place of an item when the text so far has been used up
_decode = json.JSONDecoder().raw_decode


class JsonArrayReader:
    """Reads one JSON object from chunks of bytes.

    The parser is a chain of generators. They yield items, and `_NEED_MORE_DATA` where the text ends before
    the next value is complete; `feed` resumes them with more text.

    Args:
        path: names of members, from the outermost object to the array whose items are yielded.

    Attributes:
        members: the other members of the object at each level of the path.
        array_found: whether the array has been reached.
    """

    def __init__(self, path: tuple[str, ...]) -> None:
        self.members: list[dict[str, Any]] = [{} for _ in path]
        self.array_found = False
        self._path, self._text, self._position, self._final = path, "", 0, False
        self._utf8_decoder = codecs.getincrementaldecoder("utf-8")()
        self._parser = self._parse_document()

    def feed(self, data: bytes, final: bool = False) -> Iterator[Any]:
        """Yields the items that this chunk completes.

        Args:
            data: the next bytes of the text.
            final: whether no more bytes follow.

        Raises:
            ValueError: the text is not a JSON object, or it ends early.
        """
        self._text = self._text[self._position :] + self._utf8_decoder.decode(data, final)
        self._position, self._final = 0, final
        for item in self._parser:
            if item is _NEED_MORE_DATA:
                return
            yield item

    def _need_more_data(self) -> object:
        """Returns the marker to yield in order to wait for text; raises ValueError if no more may come."""
        if self._final:
            raise ValueError("Expecting more data: the text ends early")
        if len(self._text) - self._position > MAX_VALUE_CHARACTERS:
            raise ValueError("a value exceeds the length limit")
        return _NEED_MORE_DATA

    def _parse_document(self) -> Generator[Any, None, None]:
        """Parses the object and the white space behind it."""
        yield from self._parse_object(0)
        while True:
            self._position = WHITESPACE.match(self._text, self._position).end()  # type: ignore[union-attr]
            if self._position < len(self._text):
                raise ValueError("extra data after the object")
            if self._final:
                return
            yield _NEED_MORE_DATA

    def _peek(self) -> Generator[Any, None, str]:
        """Skips white space and returns the next character without consuming it."""
        while True:
            self._position = WHITESPACE.match(self._text, self._position).end()  # type: ignore[union-attr]
            if self._position < len(self._text):
                return self._text[self._position]
            yield self._need_more_data()

    def _expect(self, expected: str) -> Generator[Any, None, None]:
        """Consumes one given character; raises ValueError if another one comes."""
        found = yield from self._peek()
        if found != expected:
            kinds = (VALUE_KINDS.get(expected, repr(expected)), VALUE_KINDS.get(found, repr(found)))
            raise ValueError("Expecting {}, found {}".format(*kinds))
        self._position += 1

    def _at_end(self, end: str) -> Generator[Any, None, bool]:
        """Consumes the comma or closing character after a value; returns whether it was the closing one."""
        found = yield from self._peek()
        if found != end and found != ",":
            raise ValueError(f"Expecting ',' or {end!r}, found {found!r}")
        self._position += 1
        return found == end

    def _parse_value(self) -> Generator[Any, None, Any]:
        """Decodes and returns one value of any type."""
        yield from self._peek()
        while True:
            try:
                value, end = _decode(self._text, self._position)
            except RecursionError as err:
                raise ValueError("too many nested levels") from err
            except ValueError:
                yield self._need_more_data()
                continue
            if end < len(self._text):  # a number at the end of the text may continue in the next chunk
                self._position = end
                return value
            yield self._need_more_data()

    def _parse_object(self, depth: int) -> Generator[Any, None, None]:
        """Parses the object at one level of the path and stores its members other than the next level."""
        yield from self._expect("{")
        if (yield from self._peek()) == "}":
            self._position += 1
            return
        while True:
            key = yield from self._parse_value()
            if not isinstance(key, str):
                raise ValueError("Expecting the name of a member")
            yield from self._expect(":")
            if key != self._path[depth]:
                self.members[depth][key] = yield from self._parse_value()
            elif depth + 1 < len(self._path):
                yield from self._parse_object(depth + 1)
            else:
                yield from self._parse_array()
            if (yield from self._at_end("}")):
                return

    def _parse_array(self) -> Generator[Any, None, None]:
        """Parses the array at the end of the path and yields its items."""
        yield from self._expect("[")
        self.array_found = True
        if (yield from self._peek()) == "]":
            self._position += 1
            return
        while True:
            items = self._decode_batch()
            if items:
                yield from items
            else:
                yield (yield from self._parse_value())
            if (yield from self._at_end("]")):
                return

    def _decode_batch(self) -> list[Any]:
        """Decodes the complete items that come next in the text together, which takes half the time.

        Text that decodes as a list of values when put between brackets is a list of values: no other meaning
        is possible for its last characters. The result is empty where no batch is found at once.
        """
        end = len(self._text)
        for _ in range(BATCH_END_CANDIDATES):
            end = self._text.rfind("}", self._position, end)
            if end < 0:
                break
            try:
                items = json.loads(f"[{self._text[self._position : end + 1]}]")
            except (ValueError, RecursionError):
                continue
            self._position = end + 1
            return items
        return []
