"""A second answer that comes some milliseconds late must not be taken for the answer to the next request."""

from __future__ import annotations

import asyncio
import random
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
    Relay,
    answer,
    read_answer,
    request,
    request_class,
    run_case,
    small_settings,
)

NODES = 8  # half of them in the other data centre
ONE_WAY_S = 0.007  # to the other data centre
CLIENTS = 16
PLAY_S = 60.0
PAUSE_S = 0.01  # of a client between an answer and its next request, in the mean
DEADLINE_S = 1.0
WORK_S = 0.005
PAID_SHARE = 0.5
REJECTED_SHARE = 0.1  # turned away as the queue is full
SECOND_ANSWER_SHARE, SECOND_ANSWER_AFTER_S = 0.04, 0.003
SEED = 7


class Play:
    """One play: what the nodes made for each request, and what the clients got."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.random = random.Random(SEED)
        self.answers: Counter[int] = Counter()
        self.second_answers = 0
        self.foreign: list[str] = []
        self.lost = 0
        self.ran: set[str] = set()
        self.paid: dict[str, list[str]] = {}  # by call: the nodes that have run the payment

    async def serve(self, node: Node, connection: Connection, got: Message) -> None:
        """A node: its answer names the request. A few answers come twice, if nothing else has come since."""
        call_id = got.headers["x-call-id"]
        if self.random.random() < REJECTED_SHARE:
            self.record.add(f"{node.name}: turns away {got.path}, call {call_id}")
            connection.writer.write(answer(b"", "503 Service Unavailable", "X-Rejected: 1\r\n"))
            return
        await asyncio.sleep(WORK_S)
        if got.line.startswith("PUT"):
            self.paid.setdefault(call_id, []).append(node.name)
        self.record.add(f"{node.name}: has run {got.line.split()[0]} {got.path}, call {call_id}")
        self.ran.add(call_id)
        body = f"value of {got.path} for {call_id} by {node.name}".encode()
        connection.writer.write(answer(body))
        if TROUBLE and self.random.random() < SECOND_ANSWER_SHARE:
            asyncio.get_running_loop().call_later(
                SECOND_ANSWER_AFTER_S, self.answer_again, node, connection, connection.begun, call_id, body
            )

    def answer_again(self, node: Node, connection: Connection, begun: int, call_id: str, body: bytes) -> None:
        """Writes the answer once more, unless anything else has come on the connection."""
        if connection.begun == begun and not connection.writer.transport.is_closing():
            self.second_answers += 1
            self.record.add(f"{node.name}: a second answer to call {call_id}")
            connection.writer.write(answer(body))

    async def client(self, port: int, number: int) -> None:
        """A client that reads keys, and pays at times, one request after the other."""
        draw = random.Random(f"{SEED} {number}")
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        until = asyncio.get_running_loop().time() + PLAY_S
        n = 0
        while asyncio.get_running_loop().time() < until:
            n += 1
            key, call_id = f"{draw.randrange(200):016x}", f"{number:08x}{n:08x}"
            if draw.random() < PAID_SHARE:
                self.record.add(f"client {number}: pays for {key}, call {call_id}")
                writer.write(request("PUT", key, call_id, "pay", DEADLINE_S, "Content-Length: 1\r\n") + b"p")
            else:
                self.record.add(f"client {number}: reads {key}, call {call_id}")
                writer.write(request("GET", key, call_id, "read", DEADLINE_S))
            got = await read_answer(reader, DEADLINE_S + 1.0)
            if got is None:
                self.lost += 1
                self.record.add(f"client {number}: call {call_id} has no answer")
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                continue
            self.answers[got.status] += 1
            text = got.body.decode("latin-1")
            self.record.add(f"client {number}: call {call_id} answered {got.status} {text}")
            if got.status == 200 and not text.startswith(f"value of /api/{key} for {call_id} "):
                ran = "had run" if call_id in self.ran else "had not run"
                self.foreign.append(f"call {call_id} for {key}, which {ran}, was served with '{text}'")
            await asyncio.sleep(draw.expovariate(1 / PAUSE_S))
        writer.close()


async def play(record: Record) -> int:
    """Lets clients ask nodes that answer twice at times, and compares what ran and what they got."""
    state = Play(record)
    nodes = [Node(f"s-{i}", state.serve, zone="ab"[i % 2]) for i in range(NODES)]
    relays = []
    for node in nodes:
        await node.start()
        if node.zone == "b":
            relay = Relay(node.port, ONE_WAY_S)
            await relay.start()
            node.listed_port = relay.port
            relays.append(relay)
    discovery = Discovery([node.entry() for node in nodes])
    await discovery.start()
    classes = [
        request_class("read", "repeatable", DEADLINE_S * 1e3),
        request_class("pay", "once", DEADLINE_S * 1e3),
    ]
    proxy = Proxy(record, discovery, small_settings(classes))
    try:
        await proxy.start()
        await asyncio.gather(*(state.client(proxy.port, i) for i in range(CLIENTS)))
    finally:
        proxy.end()
    for text in state.foreign:
        record.add(f"foreign: {text}")
    twice = {call_id: names for call_id, names in state.paid.items() if len(names) > 1}
    for call_id, names in twice.items():
        record.add(f"payment {call_id}, asked for once, ran {len(names)} times, at {' and '.join(names)}")
    summary = (
        f"{sum(state.answers.values())} requests, {state.second_answers} second answers; {len(state.paid)} "
        f"payments, {len(twice)} ran twice; {len(state.foreign)} requests served with the answer to another; "
        f"answers {dict(state.answers)}, without an answer {state.lost}"
    )
    record.add(summary)
    print(summary)
    if not state.answers[200] or (TROUBLE and not state.second_answers):
        return NOT_RUN
    return BROKEN if twice or state.foreign else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
