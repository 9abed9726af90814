"""Reads a JSON object piece by piece: the items of one array in it are handed out one at a time.

A list of servers may be longer than the memory that a gateway has to spare, and reading it whole would hold
the loop for long. The values themselves are decoded by the standard library.
"""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Generator, Iterator
from typing import Any

LONGEST_VALUE = 1024 * 1024  # characters of one item or member; what is longer has no end
BATCH_TRIES = 3  # ends that are tried for a batch: of the list, of the object around it, of a nested one
SPACE = re.compile(r"[ \t\n\r]*")
KINDS = {"[": "a list", "{": "an object", '"': "a string"}

_MORE = object()  # given in place of an item: nothing more can be made of the text so far
_decode = json.JSONDecoder().raw_decode


class JsonArrayReader:
    """Reads one JSON object.

    Args:
        path: names of members, from the outermost object to the array whose items are handed out.

    Attributes:
        members: the other members of the object at each level of the path.
        found: whether the array has been met.
    """

    def __init__(self, path: tuple[str, ...]) -> None:
        self.members: list[dict[str, Any]] = [{} for _ in path]
        self.found = False
        self._path, self._text, self._at, self._last = path, "", 0, False
        self._characters = codecs.getincrementaldecoder("utf-8")()
        self._parser = self._whole()

    def feed(self, data: bytes, final: bool = False) -> Iterator[Any]:
        """The items that this piece makes whole. `final`: nothing comes behind it. Raises ValueError where
        the text is no such object, or ends early."""
        self._text = self._text[self._at :] + self._characters.decode(data, final)
        self._at, self._last = 0, final
        for item in self._parser:
            if item is _MORE:
                return
            yield item

    def _more(self) -> object:
        if self._last:
            raise ValueError("Expecting more: the text ends early")
        if len(self._text) - self._at > LONGEST_VALUE:
            raise ValueError("a value without end")
        return _MORE

    def _whole(self) -> Generator[Any, None, None]:
        yield from self._object(0)
        while True:
            self._at = SPACE.match(self._text, self._at).end()  # type: ignore[union-attr]
            if self._at < len(self._text):
                raise ValueError("more behind the object")
            if self._last:
                return
            yield _MORE

    def _peek(self) -> Generator[Any, None, str]:
        """The next character that is no space."""
        while True:
            self._at = SPACE.match(self._text, self._at).end()  # type: ignore[union-attr]
            if self._at < len(self._text):
                return self._text[self._at]
            yield self._more()

    def _expect(self, wanted: str) -> Generator[Any, None, None]:
        found = yield from self._peek()
        if found != wanted:
            kinds = (KINDS.get(wanted, repr(wanted)), KINDS.get(found, repr(found)))
            raise ValueError("Expecting {}, found {}".format(*kinds))
        self._at += 1

    def _ends(self, end: str) -> Generator[Any, None, bool]:
        """Goes past what follows a value: whether that is the end, else it is a comma."""
        found = yield from self._peek()
        if found != end and found != ",":
            raise ValueError(f"Expecting ',' or {end!r}, found {found!r}")
        self._at += 1
        return found == end

    def _value(self) -> Generator[Any, None, Any]:
        yield from self._peek()
        while True:
            try:
                value, end = _decode(self._text, self._at)
            except RecursionError as err:
                raise ValueError("too many levels") from err
            except ValueError:
                yield self._more()
                continue
            if end < len(self._text):  # else a number may go on
                self._at = end
                return value
            yield self._more()

    def _object(self, depth: int) -> Generator[Any, None, None]:
        yield from self._expect("{")
        if (yield from self._peek()) == "}":
            self._at += 1
            return
        while True:
            key = yield from self._value()
            if not isinstance(key, str):
                raise ValueError("Expecting the name of a member")
            yield from self._expect(":")
            if key != self._path[depth]:
                self.members[depth][key] = yield from self._value()
            elif depth + 1 < len(self._path):
                yield from self._object(depth + 1)
            else:
                yield from self._array()
            if (yield from self._ends("}")):
                return

    def _array(self) -> Generator[Any, None, None]:
        yield from self._expect("[")
        self.found = True
        if (yield from self._peek()) == "]":
            self._at += 1
            return
        while True:
            items = self._batch()
            if items:
                yield from items
            else:
                yield (yield from self._value())
            if (yield from self._ends("]")):
                return

    def _batch(self) -> list[Any]:
        """The whole items that lie next in the text, decoded together, which takes half the time. What reads
        as a list of values between brackets is one: none of its last characters can mean anything else. Empty
        where that is not seen at once."""
        end = len(self._text)
        for _ in range(BATCH_TRIES):
            end = self._text.rfind("}", self._at, end)
            if end < 0:
                break
            try:
                items = json.loads(f"[{self._text[self._at : end + 1]}]")
            except (ValueError, RecursionError):
                continue
            self._at = end + 1
            return items
        return []
