"""Commands of clients that were read and have no written response yet, and the memory that they take."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from calicomast.net.invariants import MONITOR, Invariant

if TYPE_CHECKING:
    from calicomast.net.client_connection import ClientConnection

# Memory of a pending command besides its bytes and its response: its slot, its place in the queues and the
# headers of these objects.
PENDING_COMMAND_BYTES = 256
FAILED_RESPONSE = b"-ERR failed\r\n"
BUSY = b"-BUSY\r\n"


class ResponseSlot:
    """Holds the response to one command, in the order of the commands of its connection.

    Attributes:
        connection: the connection that the command came on.
        received_at: the earliest time on the monotonic clock at which the command may have arrived.
        response: the encoded response, once there is one.
        refusals_behind: commands behind this one that were refused as too many were pending.
        active_request: the handler's state of the command while it is pending.
        expires_at: time on the monotonic clock after which the client no longer waits for the response.
        held_bytes: memory that is counted for it while its command is pending; 0 before and after.
    """

    __slots__ = (
        "held_bytes",
        "connection",
        "received_at",
        "response",
        "active_request",
        "expires_at",
        "refusals_behind",
    )

    def __init__(self, connection: ClientConnection, received_at: float = 0.0) -> None:
        self.connection = connection
        self.received_at = received_at
        self.expires_at = 0.0
        self.refusals_behind = self.held_bytes = 0
        self.response: bytes | None = None
        self.active_request: Any = None

    def reply(self, response: bytes) -> None:
        """Sets the response, which is written once those before it are; a second one is a violation."""
        if self.response is not None:
            MONITOR.record_violation(Invariant.SECOND_ANSWER, f"connection {self.connection.number}")
            return
        self.store(response)
        self.connection.flush()

    def store(self, response: bytes) -> None:
        """Sets the response without writing it."""
        self.response = response
        if self.held_bytes:
            self.hold(len(response))

    def hold(self, size: int) -> None:
        """Counts `size` more bytes of memory until `release`."""
        self.held_bytes += size
        self.connection.owner.pending_bytes += size

    def release(self) -> None:
        """Ends the counting of memory, as the command is no longer pending."""
        self.connection.owner.pending_bytes -= self.held_bytes
        self.held_bytes = 0


class QueuedCommand(NamedTuple):
    """A command that was read and not handed to the handler yet.

    It stays as it came until its turn: parsed, it may take many times the memory.

    Attributes:
        slot: takes its response.
        encoded: the command as it is on the wire.
    """

    slot: ResponseSlot
    encoded: bytes
