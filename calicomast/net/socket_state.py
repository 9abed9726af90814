"""What the system knows of a connected socket: unread input, unsent output, and the end of the other side."""

from __future__ import annotations

import fcntl
import select
import socket
import struct
import sys
import termios

C_INT_BYTES = 4  # size of the number that an ioctl call fills in
TCP_INFO_STATE = struct.Struct("B")  # the beginning of struct tcp_info
TCP_INFO_QUEUED = struct.Struct("24xI")  # its tcpi_unacked, the length of the accept queue if it listens
TCP_LISTEN_STATE = 10  # of enum tcp_state in the Linux headers
DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def unread_bytes(descriptor: int) -> int:
    """Returns how many received bytes have not been read. Raises OSError."""
    return query_count(descriptor, termios.FIONREAD)


def unacknowledged_bytes(descriptor: int) -> int:
    """Returns how many bytes of the send queue the other side has not acknowledged; a FIN counts as one.

    Returns 0 if the socket is closed or the system cannot tell.
    """
    try:
        return query_count(descriptor, termios.TIOCOUTQ)
    except (OSError, ValueError):
        return 0


def query_count(descriptor: int, request: int) -> int:
    """Returns the number that an ioctl request gives. Raises OSError, or ValueError for no descriptor."""
    return int.from_bytes(fcntl.ioctl(descriptor, request, bytes(C_INT_BYTES)), sys.byteorder)


def accept_queue_length(listening: socket.socket) -> int | None:
    """Returns how many connections wait in the accept queue, or None if the system does not tell."""
    try:
        info = listening.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_QUEUED.size)
        (state,), (queued,) = TCP_INFO_STATE.unpack_from(info), TCP_INFO_QUEUED.unpack_from(info)
    except (OSError, struct.error):
        return None
    return queued if state == TCP_LISTEN_STATE else None


def connection_waits(listening: socket.socket) -> bool:
    """Whether the accept queue of a listening socket holds a connection."""
    poll = select.poll()
    poll.register(listening, select.POLLIN)
    return bool(poll.poll(0))


def disconnect_events(descriptor: int) -> int:
    """Returns which of DISCONNECT_EVENTS the socket reports now; 0 while the other side has not closed.

    It tells so even if unread bytes precede the other side's FIN.
    """
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return sum(events & DISCONNECT_EVENTS for _, events in poll.poll(0))
