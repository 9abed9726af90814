"""Requests as clients send them: how a command is read, and what is kept of it until its answer."""

from __future__ import annotations

import asyncio
import re

from calicomast import interface as api
from calicomast.net.clients import ResponseSlot
from calicomast.net.framing import MAX_BODY_BYTES
from calicomast.net.lifecycle import RequestState, transition
from calicomast.net.server_connections import Attempt
from calicomast.rules import remaining_time_ms

MOST_LEFT = 3600.0  # s; a client that says it will wait for longer is in error
READ, WRITE = b"API.READ", b"API.WRITE"
TIME_FIELD = b",d="

# The protocol's forms: int() and float() take blanks, signs, `1_0`, `0x1` and more besides.
WHOLE, DECIMAL = re.compile(rb"[0-9]{1,9}"), re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
CUSTOMER, MOST_CUSTOMERS = re.compile(rb"[0-9a-fA-F]{16}"), 2**33
NAME = re.compile(rb"[!-~]{1,64}")  # ids and keys


class BadRequest(Exception):
    """Why a command cannot be taken."""


class ActiveRequest:
    """A request that was taken: where its answer goes, what goes to servers, and what is out for it.

    Attributes:
        deadline: on the monotonic clock, when the module is to be done with it.
        attempts_created: attempts that the module decided on; they are numbered in this order.
        attempts_written: those of them that were written.
    """

    __slots__ = (
        "id",
        "slot",
        "command",
        "deadline",
        "deadline_timer",
        "attempts_created",
        "attempts_written",
        "active_attempts",
        "state",
    )

    def __init__(self, id: str, slot: ResponseSlot, command: list[bytes], deadline: float) -> None:
        self.id, self.slot, self.command, self.deadline = id, slot, command, deadline
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.attempts_created = self.attempts_written = 0
        self.active_attempts: dict[int, Attempt] = {}
        self.state = RequestState.ACCEPTED

    @property
    def finished(self) -> bool:
        """Whether it has its final answer, or its client has gone."""
        return self.state is not RequestState.ACCEPTED

    def transition_to(self, state: RequestState) -> None:
        """Changes its state."""
        self.state = transition(self.state, state, self.id)

    def encode_command(self, left: float) -> bytes:
        """The command as the client sent it, but for `d`: how long this attempt is waited for, in seconds
        from now on."""
        terms = self.command[3]
        start, end = time_field(terms)
        told = b"%s%d%s" % (terms[:start], remaining_time_ms(left), terms[end:])
        parts = [*self.command[:3], told, *self.command[4:]]
        return b"*%d\r\n%s" % (len(parts), b"".join([encode_bulk_string(part) for part in parts]))


def time_field(terms: bytes) -> tuple[int, int]:
    """Where the value of `d` begins and ends in a request's terms."""
    start = (b"," + terms).index(TIME_FIELD) + len(TIME_FIELD) - 1
    end = terms.find(b",", start)
    return start, end if end >= 0 else len(terms)


def encode_bulk_string(data: bytes) -> bytes:
    """A bulk string on the wire."""
    return b"$%d\r\n%s\r\n" % (len(data), data)


def whole(text: bytes) -> int:
    """A whole number; raises ValueError."""
    if not WHOLE.fullmatch(text):
        raise ValueError("not a whole number")
    return int(text)


def decimal(text: bytes) -> float:
    """A decimal number; raises ValueError."""
    if not DECIMAL.fullmatch(text):
        raise ValueError("not a number")
    return float(text)


def validate_command(command: object) -> list[bytes]:
    """The command, if it is a request in its form; raises BadRequest."""
    if not isinstance(command, list) or {type(part) for part in command} - {bytes}:
        raise BadRequest("not an array of bulk strings")
    verb = command[0] if command else b""
    if verb not in (READ, WRITE):
        raise BadRequest("unknown command")
    if len(command) != 4 + (verb == WRITE):
        raise BadRequest("wrong number of arguments")
    if verb == WRITE and len(command[4]) > MAX_BODY_BYTES:
        raise BadRequest("body too long")
    return command


def parse_request(command: list[bytes], settings: api.Settings, spent: float) -> api.Request:
    """The request that a command in its form makes; raises BadRequest. `spent`: seconds of the client's time
    that are to be taken off."""
    verb, customer, name, terms = command[:4]
    pairs = [term.split(b"=", 1) for term in terms.split(b",")]
    try:
        fields = dict(pairs)
        cls = settings.classes.get(fields[b"c"].decode())
        plan = fields[b"t"].decode()
        left, units = whole(fields[b"d"]) / 1000, decimal(fields[b"units"])
        spread, first = whole(fields[b"spread"]), whole(fields[b"first"])
    except (KeyError, ValueError) as err:
        raise BadRequest("missing or odd field") from err
    if len(fields) != len(pairs):
        raise BadRequest("a field twice")
    if not (CUSTOMER.fullmatch(customer) and int(customer, 16) < MOST_CUSTOMERS and NAME.fullmatch(name)):
        raise BadRequest("odd customer or id")
    if cls is None or plan not in settings.plans:
        raise BadRequest("unknown class or plan")
    write = verb == WRITE
    keyless = cls.effect == "keyed" and not NAME.fullmatch(fields.get(b"k", b""))
    if write == (cls.effect == "safe") or keyless:
        raise BadRequest("class does not go with this command")
    gateways = settings.gateways
    if not (
        0 < units <= settings.max_request_units
        and 1 <= spread <= gateways
        and first < gateways
        and left <= MOST_LEFT
    ):
        raise BadRequest("field out of range")
    return api.Request(
        name.decode(),
        left - spent,
        customer.decode().lower(),
        plan,
        cls.name,
        units,
        first,
        spread,
        fields.get(b"r") == b"1",
        write,
    )
