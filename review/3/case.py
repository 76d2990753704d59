"""A long answer must reach a client that reads slowly, also where its connection ends with it."""

from __future__ import annotations

import asyncio
import socket
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    Connection,
    Discovery,
    Message,
    Node,
    Proxy,
    Record,
    answer,
    request,
    request_class,
    run_case,
    small_settings,
)

NODES = 4
CLIENTS = 32
BODY_BYTES = [(3 << 20) + n * (128 << 10) for n in range(CLIENTS)]  # of the answer to each client
PIECE = 64 << 10
DEADLINE_S = 3.0
READ_BYTES_PER_S = 256e3  # four times the least rate that the pages name for a client that sends
RECEIVE_BUFFER = 64 << 10


class Play:
    """One play: what each client got of its answer."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.results: Counter[str] = Counter()

    async def serve(self, node: Node, connection: Connection, got: Message) -> None:
        """A node with long values, as fast as it is read."""
        self.record.add(f"{node.name}: runs {got.path}, call {got.headers['x-call-id']}")
        connection.writer.write(answer(b"v" * BODY_BYTES[int(got.headers["x-call-id"], 16)]))
        try:
            await connection.writer.drain()
            self.record.add(f"{node.name}: call {got.headers['x-call-id']} written whole")
        except ConnectionError:
            self.record.add(f"{node.name}: call {got.headers['x-call-id']} broken off")

    async def client(self, port: int, number: int) -> None:
        """A client that reads a long value at a steady rate, or at full speed, on its own connection."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", port))
        call_id = f"{number:016x}"
        head_sent = request("GET", call_id, call_id, "read", DEADLINE_S, "Connection: close\r\n")
        self.record.add(f"client {number}: asks for {call_id}, call {call_id}")
        await loop.sock_sendall(sock, head_sent)
        began, size, head, error = loop.time(), 0, b"", ""
        want: int | None = None
        try:
            while want is None or size < want:
                data = await asyncio.wait_for(loop.sock_recv(sock, PIECE), 15.0)
                if not data:
                    error = "end"
                    break
                if want is None:
                    head += data
                    at = head.find(b"\r\n\r\n")
                    if at < 0:
                        continue
                    size, want = len(head) - at - 4, BODY_BYTES[number]
                    self.record.add(f"client {number}: head {head[:at]!r}")
                else:
                    size += len(data)
                if TROUBLE:
                    await asyncio.sleep(max(0.0, size / READ_BYTES_PER_S - (loop.time() - began)))
        except (ConnectionError, TimeoutError) as problem:
            error = repr(problem)
        sock.close()
        whole = size == BODY_BYTES[number]
        self.results["whole" if whole else "cut off"] += 1
        self.record.add(
            f"client {number}: {size} of {BODY_BYTES[number]} after {loop.time() - began:.2f} s {error}"
        )


async def play(record: Record) -> int:
    """Lets clients read long values, and counts the answers that end early."""
    state = Play(record)
    nodes = [Node(f"s-{i}", state.serve) for i in range(NODES)]
    for node in nodes:
        await node.start()
    discovery = Discovery([node.entry() for node in nodes])
    await discovery.start()
    proxy = Proxy(record, discovery, small_settings([request_class("read", "repeatable", DEADLINE_S * 1e3)]))
    try:
        await proxy.start()
        await asyncio.gather(*(state.client(proxy.port, i) for i in range(CLIENTS)))
    finally:
        proxy.end()
    record.add(f"answers: {dict(state.results)}")
    print(f"{CLIENTS} long answers: {dict(state.results)}")
    return BROKEN if state.results["cut off"] else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
