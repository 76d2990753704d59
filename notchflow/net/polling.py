"""What the kernel tells of the socket of a transport, without reading from it, and of this process."""

from __future__ import annotations

import asyncio
import fcntl
import resource
import select
import struct
import termios

QUEUE_SIZE = struct.Struct("i")  # the result of TIOCOUTQ and FIONREAD, tcp(7)


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
    return transport.get_write_buffer_size() + _queue_size(transport, termios.TIOCOUTQ)


def unread_bytes(transport: asyncio.Transport) -> int:
    """Returns the number of bytes that the kernel has received for the transport and that have not been
    read."""
    return _queue_size(transport, termios.FIONREAD)


def _queue_size(transport: asyncio.Transport, request: int) -> int:
    """Returns the answer to an ioctl request; 0 for a transport that has none, as not every kind of socket
    tells it."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return 0
    try:
        answer = fcntl.ioctl(sock.fileno(), request, bytes(QUEUE_SIZE.size))
    except OSError:
        return 0
    return int(QUEUE_SIZE.unpack(answer)[0])


def resident_memory_mb() -> float:
    """Returns the memory that this process uses now, in MiB (proc_pid_statm(5))."""
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / (1 << 20)
