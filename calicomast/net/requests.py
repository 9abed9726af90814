"""Parsing of client commands into requests, and the state of a request until its final response."""

from __future__ import annotations

import asyncio
import re

from calicomast import interface as api
from calicomast.net.attempt import Attempt
from calicomast.net.framing import MAX_BODY_BYTES
from calicomast.net.lifecycle import AttemptState, RequestState, transition
from calicomast.net.pending_commands import ResponseSlot
from calicomast.rules import remaining_time_ms

MAX_REMAINING_TIME = 3600.0  # seconds; a client that claims to wait longer is in error
READ, WRITE = b"API.READ", b"API.WRITE"
DEADLINE_FIELD = b",d="  # the field of a request with the client's remaining time in milliseconds

# Stricter than int() and float(), which also accept whitespace, signs, `1_0`, `0x1` and other forms that the
# protocol doesn't have.
INTEGER_PATTERN = re.compile(rb"[0-9]{1,9}")
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
TENANT_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
TENANT_LIMIT = 2**33  # tenant numbers are below this
MAX_FIELDS = 64  # the protocol has eight; splitting a list takes time and memory for each of its fields
NAME_PATTERN = re.compile(rb"[!-~]{1,64}")  # request ids and idempotency keys


class BadRequest(Exception):
    """Raised for a command that is not a valid request; the message is sent to the client."""


class ActiveRequest:
    """An accepted request: its response slot, its command and its attempts at servers.

    Attributes:
        command: the client's command, sent to servers with its deadline rewritten.
        command_bytes: total size of the parts of the command.
        deadline: time on the monotonic clock by which the policy has to finish the request.
        deadline_timer: fails the request if the policy has not finished it in time.
        window_timer: see RetryWindowTimers.
        attempts_created: attempts that the policy has decided on, which are numbered in this order.
        attempts_written: attempts whose command was written to a server.
        active_attempts: attempts without a result, by number.
        write_times: clock time of the write of each attempt that may have been executed, by number; empty
            if the class is safe to repeat.
    """

    __slots__ = (
        "id",
        "slot",
        "command",
        "command_bytes",
        "deadline",
        "deadline_timer",
        "window_timer",
        "attempts_created",
        "attempts_written",
        "active_attempts",
        "write_times",
        "service_class",
        "state",
    )

    def __init__(
        self,
        id: str,
        slot: ResponseSlot,
        command: list[bytes],
        deadline: float,
        service_class: api.ServiceClass,
    ) -> None:
        self.id, self.slot, self.command, self.deadline = id, slot, command, deadline
        self.service_class = service_class
        self.command_bytes = sum([len(part) for part in command])
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.window_timer: asyncio.TimerHandle | None = None
        self.attempts_created = self.attempts_written = 0
        self.active_attempts: dict[int, Attempt] = {}
        self.write_times: dict[int, float] = {}
        self.state = RequestState.ACCEPTED

    @property
    def finished(self) -> bool:
        """Whether the request has its final response, or its client has disconnected."""
        return self.state is not RequestState.ACCEPTED

    def transition_to(self, state: RequestState) -> None:
        """Changes the state, and checks that the transition is allowed."""
        self.state = transition(self.state, state, self.id)

    def cancel_timers(self) -> None:
        """Cancels all timers of the request."""
        for timer in (self.deadline_timer, self.window_timer):
            if timer is not None:
                timer.cancel()
        self.deadline_timer = self.window_timer = None

    def waiting_attempts(self) -> list[Attempt]:
        """Returns the attempts that wait for a connection."""
        return [attempt for attempt in self.active_attempts.values() if attempt.state is AttemptState.WAITING]

    def write_times_beside(self, number: int) -> list[float]:
        """Returns when the attempts other than `number` that may have been executed were written."""
        return [written_at for other, written_at in self.write_times.items() if other != number]

    def encode_command(self, remaining: float) -> bytes:
        """Encodes the client's command with `d` replaced by the remaining time.

        `remaining` is the time in seconds for which the gateway waits for this attempt.
        """
        encoded_fields = self.command[3]
        start, end = locate_deadline(encoded_fields)
        rewritten = b"%s%d%s" % (encoded_fields[:start], remaining_time_ms(remaining), encoded_fields[end:])
        parts = [*self.command[:3], rewritten, *self.command[4:]]
        return b"*%d\r\n%s" % (len(parts), b"".join([encode_bulk_string(part) for part in parts]))


def locate_deadline(encoded_fields: bytes) -> tuple[int, int]:
    """Returns the start and end of the value of `d` in a request's encoded fields."""
    start = (b"," + encoded_fields).index(DEADLINE_FIELD) + len(DEADLINE_FIELD) - 1
    end = encoded_fields.find(b",", start)
    return start, end if end >= 0 else len(encoded_fields)


def encode_bulk_string(data: bytes) -> bytes:
    """Encodes a RESP bulk string."""
    return b"$%d\r\n%s\r\n" % (len(data), data)


def parse_integer(text: bytes) -> int:
    """Parses a non-negative integer; raises ValueError."""
    if not INTEGER_PATTERN.fullmatch(text):
        raise ValueError("not an integer")
    return int(text)


def parse_decimal(text: bytes) -> float:
    """Parses a non-negative decimal number; raises ValueError."""
    if not DECIMAL_PATTERN.fullmatch(text):
        raise ValueError("not a decimal number")
    return float(text)


def validate_command(command: object) -> list[bytes]:
    """Returns the command if it has the form of a request; raises BadRequest if not."""
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


def parse_request(command: list[bytes], settings: api.Settings, elapsed: float) -> api.Request:
    """Parses a command that validate_command() accepted; raises BadRequest.

    `elapsed` is the time in seconds to subtract from the client's remaining time.
    """
    verb, tenant, request_id, encoded_fields = command[:4]
    if encoded_fields.count(b",") >= MAX_FIELDS:
        raise BadRequest("too many fields")
    pairs = [field.split(b"=", 1) for field in encoded_fields.split(b",")]
    try:
        fields = dict(pairs)
        service_class = settings.classes.get(fields[b"c"].decode())
        plan = fields[b"t"].decode()
        remaining, units = parse_integer(fields[b"d"]) / 1000, parse_decimal(fields[b"units"])
        spread, first = parse_integer(fields[b"spread"]), parse_integer(fields[b"first"])
    except (KeyError, ValueError) as err:
        raise BadRequest("missing or odd field") from err
    if len(fields) != len(pairs):
        raise BadRequest("a field twice")
    if not (
        TENANT_PATTERN.fullmatch(tenant)
        and int(tenant, 16) < TENANT_LIMIT
        and NAME_PATTERN.fullmatch(request_id)
    ):
        raise BadRequest("odd customer or id")
    if service_class is None or plan not in settings.plans:
        raise BadRequest("unknown class or plan")
    is_write = verb == WRITE
    missing_key = service_class.effect == "keyed" and not NAME_PATTERN.fullmatch(fields.get(b"k", b""))
    if is_write == (service_class.effect == "safe") or missing_key:
        raise BadRequest("class does not go with this command")
    gateways = settings.gateways
    if not (
        0 < units <= settings.max_request_units
        and 1 <= spread <= gateways
        and first < gateways
        and remaining <= MAX_REMAINING_TIME
    ):
        raise BadRequest("field out of range")
    return api.Request(
        request_id.decode(),
        remaining - elapsed,
        tenant.decode().lower(),
        plan,
        service_class.name,
        units,
        first,
        spread,
        fields.get(b"r") == b"1",
        is_write,
    )
