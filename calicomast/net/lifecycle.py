"""States of connections, attempts, requests, calls to discovery and the process, and the changes among them.

Each table names the states that may follow one; any other change is a violation, see invariants.py.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import TypeVar

from calicomast.net.invariants import MONITOR, Invariant


class ClientConnectionState(Enum):
    """A client's connection."""

    OPEN = "open"  # read and answered
    CLOSING = "closing"  # still read and answered; closes once nothing on it is in work or unread
    BROKEN = "broken"  # what comes cannot be read any more; what is in work is failed
    ENDING = "ending"  # the last answer is written; it waits for the client's end
    DISCONNECTED = "left"  # the client has gone, or the connection was given up
    CLOSED = "closed"


class ServerConnectionState(Enum):
    """A connection to a server."""

    CONNECTING = "connecting"
    IDLE = "resting"
    BUSY = "busy"  # an attempt is out on it
    CLOSED = "closed"


class AttemptState(Enum):
    """One attempt of a request at a server."""

    WAITING = "waiting"  # for a connection
    RUNNING = "running"  # handed to a connection
    ENDED = "ended"


class RequestState(Enum):
    """A request that was taken on."""

    ACCEPTED = "taken"
    ANSWERED = "answered"  # finally, or its client has gone; attempts of it may still be out
    REMOVED = "forgotten"


class DiscoveryCallState(Enum):
    """One call to discovery."""

    REQUESTED = "asked"
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
    ClientConnectionState.OPEN: frozenset(
        (
            ClientConnectionState.CLOSING,
            ClientConnectionState.BROKEN,
            ClientConnectionState.DISCONNECTED,
            ClientConnectionState.CLOSED,
        )
    ),
    ClientConnectionState.CLOSING: frozenset(
        (
            ClientConnectionState.BROKEN,
            ClientConnectionState.ENDING,
            ClientConnectionState.DISCONNECTED,
            ClientConnectionState.CLOSED,
        )
    ),
    ClientConnectionState.BROKEN: frozenset(
        (ClientConnectionState.ENDING, ClientConnectionState.DISCONNECTED, ClientConnectionState.CLOSED)
    ),
    ClientConnectionState.ENDING: frozenset(
        (ClientConnectionState.DISCONNECTED, ClientConnectionState.CLOSED)
    ),
    ClientConnectionState.DISCONNECTED: frozenset((ClientConnectionState.CLOSED,)),
    ClientConnectionState.CLOSED: frozenset(),
    ServerConnectionState.CONNECTING: frozenset(
        (ServerConnectionState.BUSY, ServerConnectionState.IDLE, ServerConnectionState.CLOSED)
    ),
    ServerConnectionState.IDLE: frozenset((ServerConnectionState.BUSY, ServerConnectionState.CLOSED)),
    ServerConnectionState.BUSY: frozenset((ServerConnectionState.IDLE, ServerConnectionState.CLOSED)),
    ServerConnectionState.CLOSED: frozenset(),
    AttemptState.WAITING: frozenset((AttemptState.RUNNING, AttemptState.ENDED)),
    AttemptState.RUNNING: frozenset((AttemptState.ENDED,)),
    AttemptState.ENDED: frozenset(),
    RequestState.ACCEPTED: frozenset((RequestState.ANSWERED,)),
    RequestState.ANSWERED: frozenset((RequestState.REMOVED,)),
    RequestState.REMOVED: frozenset(),
    DiscoveryCallState.REQUESTED: frozenset((DiscoveryCallState.APPLYING, DiscoveryCallState.ENDED)),
    DiscoveryCallState.APPLYING: frozenset((DiscoveryCallState.ENDED,)),
    DiscoveryCallState.ENDED: frozenset(),
    ProcessState.SERVING: frozenset((ProcessState.LINGERING,)),
    ProcessState.LINGERING: frozenset((ProcessState.FINISHING,)),
    ProcessState.FINISHING: frozenset((ProcessState.REFUSING,)),
    ProcessState.REFUSING: frozenset((ProcessState.ENDED,)),
    ProcessState.ENDED: frozenset(),
}


def transition(old: State, new: State, subject: object = "") -> State:
    """The new state; one that may not follow the old one is a violation, told with `subject`."""
    if new not in TRANSITIONS[old]:
        MONITOR.record_violation(
            Invariant.TRANSITION, f"{type(old).__name__} {old.value} -> {new.value} {subject}"
        )
    return new
