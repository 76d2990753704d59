"""What the kernel holds for the socket of a transport, asked without reading from it."""

from __future__ import annotations

import asyncio
import fcntl
import select
import struct
import termios

QUEUE_SIZE = struct.Struct("i")  # the result of TIOCOUTQ, tcp(7)


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


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Returns the number of bytes written to the transport that its peer has not acknowledged."""
    buffered = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None:
        return buffered
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(QUEUE_SIZE.size))
    except OSError:  # not every kind of socket tells it
        return buffered
    return buffered + int(QUEUE_SIZE.unpack(queued)[0])
