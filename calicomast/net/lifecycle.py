"""State machines of connections, attempts, requests, discovery calls and the process.

TRANSITIONS lists the states that may follow each state; any other transition violates an invariant, see
invariants.py. The values of the states are printed in log lines.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import TypeVar

from calicomast.net.invariants import MONITOR, Invariant


class ClientConnectionState(Enum):
    """State of a client's connection."""

    OPEN = "open"  # commands are read and answered
    CLOSING = "closing"  # still read and answered; closes once no command on it is pending or unread
    BROKEN = "broken"  # no further command can be parsed; pending commands have failed
    AWAITING_CLOSE = "ending"  # the last response is written; waits for the client to close
    DISCONNECTED = "left"  # the client has closed, or the gateway has dropped the connection
    CLOSED = "closed"


class ServerConnectionState(Enum):
    """State of a connection to a server."""

    CONNECTING = "connecting"
    IDLE = "resting"
    BUSY = "busy"  # an attempt is in flight on it
    CLOSED = "closed"


class AttemptState(Enum):
    """State of one attempt of a request at a server."""

    WAITING = "waiting"  # for a connection
    RUNNING = "running"  # written to a connection
    ENDED = "ended"


class RequestState(Enum):
    """State of a request that the gateway has accepted."""

    ACCEPTED = "taken"
    ANSWERED = "answered"  # has its final response, or its client has gone; attempts may still be in flight
    REMOVED = "forgotten"


class DiscoveryCallState(Enum):
    """State of one call to discovery."""

    REQUESTED = "asked"
    APPLYING = "applying"  # the server list that it received is being applied
    ENDED = "ended"


class ProcessState(Enum):
    """State of the gateway process."""

    SERVING = "serving"  # from the start on
    LINGERING = "lingering"  # after SIGTERM, while new connections are still accepted
    FINISHING = "finishing"  # no new connections; accepted requests are completed
    REFUSING = "refusing"  # commands that are still read are refused at once
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
            ClientConnectionState.AWAITING_CLOSE,
            ClientConnectionState.DISCONNECTED,
            ClientConnectionState.CLOSED,
        )
    ),
    ClientConnectionState.BROKEN: frozenset(
        (
            ClientConnectionState.AWAITING_CLOSE,
            ClientConnectionState.DISCONNECTED,
            ClientConnectionState.CLOSED,
        )
    ),
    ClientConnectionState.AWAITING_CLOSE: frozenset(
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
    """Returns the new state; records a violation that names `subject` if it may not follow the old one."""
    if new not in TRANSITIONS[old]:
        MONITOR.record_violation(
            Invariant.TRANSITION, f"{type(old).__name__} {old.value} -> {new.value} {subject}"
        )
    return new
