"""A keyed write whose cache node is replaced must not run in a second cell."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Connection,
    Discovery,
    Message,
    Node,
    Proxy,
    Record,
    answer,
    read_answer,
    request,
    request_class,
    run_case,
    small_settings,
)

NODES = 8  # two cells of four
CLIENTS = 24
WRITES_EACH = 24
DEADLINE_S = 0.75
WINDOW_MS = 750.0
WORK_S = 0.03
HANGS_AT_S, DRAINS_AFTER_S, REMOVED_AFTER_S, ENDS_AFTER_S = 0.6, 0.15, 0.3, 0.5


class Play:
    """One play: the nodes, what they ran, and what the clients were told."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.runs: dict[str, list[tuple[int, str, str]]] = {}  # by key: cell, node, call id
        self.hanging: set[str] = set()
        self.answers: Counter[int] = Counter()
        self.lost = 0

    async def serve(self, node: Node, connection: Connection, got: Message) -> None:
        """A node: runs a write unless its cell has run the key within the window, then answers."""
        key, call_id = got.headers["idempotency-key"], got.headers["x-call-id"]
        ran = self.runs.setdefault(key, [])
        if any(cell == node.cell for cell, _, _ in ran):
            self.record.add(f"{node.name} cell {node.cell}: repeat of {key} dropped, call {call_id}")
        else:
            ran.append((node.cell, node.name, call_id))
            self.record.add(f"{node.name} cell {node.cell}: runs {key}, call {call_id}")
        await asyncio.sleep(WORK_S)
        if node.name in self.hanging:
            await asyncio.sleep(60.0)
        connection.writer.write(answer(b"done"))

    async def client(self, port: int, number: int) -> None:
        """A client that writes one value after the other, each once."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for n in range(WRITES_EACH):
            key, call_id = f"k-{number}-{n}", f"{number:08x}{n:08x}"
            body = b"v"
            extra = f"Idempotency-Key: {key}\r\nContent-Length: {len(body)}\r\n"
            self.record.add(f"client {number}: writes {key}, call {call_id}")
            writer.write(request("PUT", f"{number:04x}{n:04x}", call_id, "set", DEADLINE_S, extra) + body)
            got = await read_answer(reader, DEADLINE_S + 1.0)
            self.record.add(f"client {number}: {key} answered {got.status if got else 'not at all'}")
            if got is None:
                self.lost += 1
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            else:
                self.answers[got.status] += 1
            await asyncio.sleep(0.05)
        writer.close()


async def play(record: Record) -> int:
    """Replaces one node under writes, and looks for a key that ran in two cells."""
    state = Play(record)
    nodes = [Node(f"s-{i}", state.serve, cell=1 - i % 2) for i in range(NODES)]
    for node in nodes:
        await node.start()
    discovery = Discovery([node.entry() for node in nodes])
    discovery.on_write = lambda listing: record.add(f"discovery writes {listing}")
    await discovery.start()
    set_class = request_class("set", "by_key", DEADLINE_S * 1e3, Group="cell", WindowMs=WINDOW_MS)
    proxy = Proxy(record, discovery, small_settings([set_class]))
    try:
        await proxy.start()
        clients = [asyncio.create_task(state.client(proxy.port, i)) for i in range(CLIENTS)]
        await asyncio.sleep(HANGS_AT_S)
        if TROUBLE:
            gone = nodes[0]
            record.add(f"{gone.name} hangs")
            state.hanging.add(gone.name)
            await asyncio.sleep(DRAINS_AFTER_S)
            await discovery.change(gone.entry("draining"))
            await asyncio.sleep(REMOVED_AFTER_S - DRAINS_AFTER_S)
            await discovery.change(gone.entry("removed"), whole=True)
            await asyncio.sleep(ENDS_AFTER_S - REMOVED_AFTER_S)
            record.add(f"{gone.name} ends")
            gone.die()
        await asyncio.gather(*clients)
    finally:
        proxy.end()
    twice = {key: ran for key, ran in state.runs.items() if len(ran) > 1}
    for key, ran in twice.items():
        record.add(f"{key} ran {len(ran)} times: {ran}")
    record.add(f"answers {dict(state.answers)}, without an answer {state.lost}")
    print(f"{len(state.runs)} keys, {len(twice)} ran in two cells; answers {dict(state.answers)}")
    if not state.answers[200]:
        return NOT_RUN
    return BROKEN if twice else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
