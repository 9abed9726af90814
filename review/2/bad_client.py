"""A bad client: sends commands of negative length at full speed and reads what is sent to it.

Arguments: the port, the seconds for which it sends.
"""

from __future__ import annotations

import socket
import sys
import threading
import time

BLOCK = b"*-1\r\n" * 500  # hundreds of commands at once


def read_all(sock: socket.socket) -> None:
    """Reads until the connection ends."""
    try:
        while sock.recv(1 << 20):
            pass
    except OSError:
        pass


def main() -> None:
    """Sends until its time is over, and connects again where the gateway closes."""
    port, until = int(sys.argv[1]), time.monotonic() + float(sys.argv[2])
    sent = 0
    while time.monotonic() < until:
        sock = socket.create_connection(("127.0.0.1", port), timeout=30)
        reader = threading.Thread(target=read_all, args=(sock,), daemon=True)
        reader.start()
        try:
            while time.monotonic() < until:
                sock.sendall(BLOCK)
                sent += 500
        except OSError:
            time.sleep(0.05)
        sock.close()
    print(sent)


if __name__ == "__main__":
    main()
