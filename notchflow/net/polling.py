"""What the kernel holds for the socket of a transport, asked without reading from it."""

from __future__ import annotations

import asyncio
import select


def pending_events(transport: asyncio.Transport, events: int) -> int:
    """Returns which of these events (`select.POLLIN` and others) are pending on the transport's socket; 0 for
    a transport without a socket, which holds nothing back."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return 0
    poll = select.poll()
    poll.register(sock.fileno(), events)
    ready = poll.poll(0)
    return ready[0][1] if ready else 0
