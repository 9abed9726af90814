"""Errors of system calls that tell of this machine, not of the peer: no descriptor, memory, port or route.

They last for a moment. What they keep from being done is tried again, and no server is blamed for them.
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


def is_local_error(err: BaseException | None) -> bool:
    """Whether an error tells of this machine."""
    return isinstance(err, OSError) and err.errno in LOCAL_ERRNOS
