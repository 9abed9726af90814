"""States of connections, attempts, requests, calls to discovery and the process, and the changes among them.

Each table names the states that may follow one; any other change is a violation, see invariants.py.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import TypeVar

from calicomast.net.invariants import MONITOR, Invariant


class ClientState(Enum):
    """A client's connection."""

    OPEN = "open"  # read and answered
    CLOSING = "closing"  # still read and answered; closes once nothing on it is in work or unread
    BROKEN = "broken"  # what comes cannot be read any more; what is in work is failed
    ENDING = "ending"  # the last answer is written; it waits for the client's end
    LEFT = "left"  # the client has gone, or the connection was given up
    CLOSED = "closed"


class ServerState(Enum):
    """A connection to a server."""

    CONNECTING = "connecting"
    RESTING = "resting"
    BUSY = "busy"  # an attempt is out on it
    CLOSED = "closed"


class AttemptState(Enum):
    """One attempt of a request at a server."""

    WAITING = "waiting"  # for a connection
    RUNNING = "running"  # handed to a connection
    ENDED = "ended"


class RequestState(Enum):
    """A request that was taken on."""

    TAKEN = "taken"
    ANSWERED = "answered"  # finally, or its client has gone; attempts of it may still be out
    FORGOTTEN = "forgotten"


class CallState(Enum):
    """One call to discovery."""

    ASKED = "asked"
    APPLYING = "applying"  # its list is being put in force
    ENDED = "ended"


class ProcessState(Enum):
    """The gateway as a whole."""

    SERVING = "serving"  # from the start on
    LINGERING = "lingering"  # after SIGTERM, while connections still come
    FINISHING = "finishing"  # none come; what was taken is finished
    REFUSING = "refusing"  # what is still read is refused at once
    ENDED = "ended"


State = TypeVar("State", bound=Enum)

TRANSITIONS: Mapping[Enum, frozenset[Enum]] = {
    ClientState.OPEN: frozenset(
        (ClientState.CLOSING, ClientState.BROKEN, ClientState.LEFT, ClientState.CLOSED)
    ),
    ClientState.CLOSING: frozenset(
        (ClientState.BROKEN, ClientState.ENDING, ClientState.LEFT, ClientState.CLOSED)
    ),
    ClientState.BROKEN: frozenset((ClientState.ENDING, ClientState.LEFT, ClientState.CLOSED)),
    ClientState.ENDING: frozenset((ClientState.LEFT, ClientState.CLOSED)),
    ClientState.LEFT: frozenset((ClientState.CLOSED,)),
    ClientState.CLOSED: frozenset(),
    ServerState.CONNECTING: frozenset((ServerState.BUSY, ServerState.RESTING, ServerState.CLOSED)),
    ServerState.RESTING: frozenset((ServerState.BUSY, ServerState.CLOSED)),
    ServerState.BUSY: frozenset((ServerState.RESTING, ServerState.CLOSED)),
    ServerState.CLOSED: frozenset(),
    AttemptState.WAITING: frozenset((AttemptState.RUNNING, AttemptState.ENDED)),
    AttemptState.RUNNING: frozenset((AttemptState.ENDED,)),
    AttemptState.ENDED: frozenset(),
    RequestState.TAKEN: frozenset((RequestState.ANSWERED,)),
    RequestState.ANSWERED: frozenset((RequestState.FORGOTTEN,)),
    RequestState.FORGOTTEN: frozenset(),
    CallState.ASKED: frozenset((CallState.APPLYING, CallState.ENDED)),
    CallState.APPLYING: frozenset((CallState.ENDED,)),
    CallState.ENDED: frozenset(),
    ProcessState.SERVING: frozenset((ProcessState.LINGERING,)),
    ProcessState.LINGERING: frozenset((ProcessState.FINISHING,)),
    ProcessState.FINISHING: frozenset((ProcessState.REFUSING,)),
    ProcessState.REFUSING: frozenset((ProcessState.ENDED,)),
    ProcessState.ENDED: frozenset(),
}


def change(old: State, new: State, subject: object = "") -> State:
    """The new state; one that may not follow the old one is a violation, told with `subject`."""
    if new not in TRANSITIONS[old]:
        MONITOR.violated(Invariant.TRANSITION, f"{type(old).__name__} {old.value} -> {new.value} {subject}")
    return new
