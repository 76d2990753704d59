"""Free ports on loopback."""

from __future__ import annotations

import socket


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens on, no two the same: all are held until all are known."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [int(s.getsockname()[1]) for s in sockets]
    for s in sockets:
        s.close()
    return ports
