"""Errors of system calls that are caused by this machine: no free descriptor, memory, local port or route.

Such errors are temporary. The caller retries what failed and does not count the failure against the server.
"""

from __future__ import annotations

import errno

LOCAL_ERRNOS = frozenset(
    (
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)


def is_local_error(error: BaseException | None) -> bool:
    """Returns whether this machine caused an error, rather than the peer."""
    return isinstance(error, OSError) and error.errno in LOCAL_ERRNOS
