"""Framing of RESP2 messages: how a message is cut into pieces on the way must not change what is read."""

import itertools
import random

import pytest

from calicomast.net.framing import NO_MESSAGE, FramingError, MessageFramer

MALFORMED = "malformed"
WRONG_LENGTHS = [
    b"*3\r\n$6\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"*3\r\n$4\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"*3\r\n$7\r\nvalue\r\n$-1\r\n$-1\r\n",
    b"*3\r\n$5\r\nvalue\r\n$-1\r\n$2\r\nab!\r\n",
    b"$6\r\nvalue\r\n\r\n",
    b"*2\r\n$8\r\nAPI.WRIT\r\n$5\r\nBODY\r\n*1\r\n$4\r\nPING\r\n",
]


def read_pieces(pieces):
    """Returns the messages, as texts, that a framer reads from a stream; MALFORMED where it raises."""
    framer, messages = MessageFramer(), []
    for piece in pieces:
        framer.feed(piece)
        try:
            while (message := framer.next_message()) is not NO_MESSAGE:
                messages.append(repr(message))  # error replies compare by identity
        except FramingError:
            return [*messages, MALFORMED]
    return messages


def cut_at(text, positions):
    """Returns a text in pieces, cut at these positions."""
    edges = [0, *sorted(positions), len(text)]
    return [text[start:end] for start, end in itertools.pairwise(edges)]


@pytest.mark.parametrize("text", WRONG_LENGTHS)
def test_wrong_bulk_length_is_detected_wherever_the_message_is_cut(text):
    # Guards against values of a wrong length that were served because their bytes came in several pieces.
    assert read_pieces([text]) == [MALFORMED]
    for count in (1, 2):
        for positions in itertools.combinations(range(1, len(text)), count):
            assert read_pieces(cut_at(text, positions)) == [MALFORMED], positions
    assert read_pieces(cut_at(text, range(1, len(text)))) == [MALFORMED]


def random_item(rng):
    """Returns an encoded bulk string or line; the length of some bulk strings is wrong."""
    value = bytes(rng.choices(b"ab\r\n$*+-:0123", k=rng.randrange(9)))
    wrong_by = rng.choice((0,) * 12 + (-2, -1, 1, 2, 6))
    bulk = b"$%d\r\n%s\r\n" % (max(0, len(value) + wrong_by), value)
    return rng.choice((bulk, bulk, bulk, b"$-1\r\n", b":7\r\n", b"+OK\r\n", b"-ERR no\r\n"))


def test_random_streams_are_read_alike_in_pieces_and_as_a_whole():
    # Guards against any check of the framing that depends on how a stream was cut into pieces.
    rng = random.Random(23)
    malformed = 0
    for _ in range(2000):
        text = b""
        for _ in range(rng.randrange(1, 4)):
            count = rng.randrange(1, 5)
            text += b"*%d\r\n" % count + b"".join(random_item(rng) for _ in range(count))
        whole = read_pieces([text])
        malformed += whole[-1:] == [MALFORMED]
        positions = rng.sample(range(1, len(text)), min(len(text) - 1, rng.randrange(1, 12)))
        assert read_pieces(cut_at(text, positions)) == whole, (text, positions)
    assert 300 < malformed < 1700  # both kinds of streams were tried
