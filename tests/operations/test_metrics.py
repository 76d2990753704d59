"""The metrics, compared with what scripted peers saw."""

from __future__ import annotations

import asyncio
import os
import random
import re
from collections import Counter

from notchflow.operations.metrics import ProxyMetrics
from tests.rig import Client, HttpMessage, Rig, answer, run, wait_until

LINE = re.compile(r'svc_operations\{priority="(.+)",status="(\w+)"\} (\d+)')


def counts(text: str) -> dict[tuple[str, str], int]:
    return {(name, result): int(n) for name, result, n in LINE.findall(text)}


def test_every_class_is_there_from_the_start_and_labels_are_escaped() -> None:
    metrics = ProxyMetrics(["read", 'a "b"\\'])
    text = metrics.render({"registry_entries": 3})
    assert counts(text)["read", "fulfilled"] == 0
    assert 'priority="a \\"b\\"\\\\",status="relayed"} 0' in text
    assert "svc_registry_entries 3\n" in text and "svc_cfg_invalid 0\n" in text


def test_unknown_classes_share_one_count() -> None:
    metrics = ProxyMetrics(["read"])
    for number in range(100):
        metrics.begin_request(f"strange-{number}").end_request(503)
    assert metrics.classes["unknown"].throttled == 100 and len(metrics.classes) == 2


async def respond_by_key(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
    """A node whose kind of response depends on the key."""
    kind = int(seen.line.split()[1][-1], 16) % 8
    if kind == 0:
        writer.write(answer(b"no", "500 Broken"))
    elif kind == 1:
        writer.write(answer(b"", "503 Full", X_Rejected="1"))
    elif kind == 2:
        writer.transport.abort()
    elif kind == 3:
        writer.write(answer(b"x" * 200_000))
    elif kind == 4:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 100_000)
        await writer.drain()
        writer.transport.abort()
    elif kind == 5:
        await asyncio.sleep(0.08)
        writer.write(answer(b"late"))
    else:
        writer.write(answer(b"value"))


def test_every_request_is_counted_once_with_the_result_its_client_saw() -> None:
    """Covers fulfilled, shed, failed, cut-off and late requests and those of unknown classes.
    NOTCHFLOW_LONG=1 sends 100,000 requests, which takes some minutes."""
    clients, each = (20, 5_000) if os.environ.get("NOTCHFLOW_LONG") else (5, 100)

    async def test() -> None:
        draw, seen = random.Random(5), Counter[tuple[str, str]]()

        async def ask(client: Client, number: int) -> Client:
            cls = draw.choice(["read", "keyed", "once", "strange"])
            client.send(
                path=f"/api/{number:016x}", x_call_class=cls, x_call_id=f"{number:x}", x_budget="0.05"
            )
            got = await client.receive()
            result = (
                "faulted"
                if got is None or got.status not in (200, 503)
                else "fulfilled"
                if got.status == 200
                else "throttled"
            )
            seen["unknown" if cls == "strange" else cls, result] += 1
            if got is None or got.headers.get("connection") == "close":
                client.reset()
                return await rig.connect()
            return client

        async def one(start: int) -> None:
            client = await rig.connect()
            for number in range(start, start + each):
                client = await ask(client, number)

        async with Rig(respond_by_key, respond_by_key, respond_by_key) as rig:
            await asyncio.gather(*(one(100_000 * n) for n in range(1, clients + 1)))
            await wait_until(lambda: rig.host.metrics.open == 0)
            got = counts(rig.host.metrics_text())
            assert sum(seen.values()) == clients * each
            for (cls, result), number in seen.items():
                assert got[cls, result] == number, (cls, result)
            relayed = sum(n for (_, result), n in got.items() if result == "relayed")
            assert relayed == rig.forwarded_count
            assert sum(c.total for c in rig.host.metrics.classes.values()) == clients * each

    run(test(), 30 if each == 100 else 600)


def test_open_requests_and_those_whose_client_has_left() -> None:
    async def never_respond(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0)

    async def test() -> None:
        async with Rig(never_respond) as rig:
            clients = [await rig.connect() for _ in range(5)]
            for client in clients:
                client.send()
            await wait_until(lambda: rig.host.metrics.open == 5)
            assert "svc_open_requests 5\n" in rig.host.metrics_text()
            for client in clients:
                client.reset()
            await wait_until(lambda: rig.host.metrics.open == 0)
            assert "svc_departed 5\n" in rig.host.metrics_text()
            assert rig.host.metrics.classes["read"].faulted == 0

    run(test())


def samples(rig: Rig) -> str:
    return re.sub("# .*\n", "", rig.host.metrics_text())


def test_listed_and_avoided_nodes_are_counted() -> None:
    async def test() -> None:
        async with Rig(respond_by_key, respond_by_key, respond_by_key) as rig:
            assert "svc_registry_entries 3\n" in rig.host.metrics_text()
            _, writer = await rig.discovery_calls.get()
            writer.write(rig.list_answer(42, False, [rig.entry(0, phase="draining")]))
            _, writer = await rig.discovery_calls.get()
            assert "svc_registry_entries 3\n" in samples(rig) and "svc_out_of_rotation 1\n" in samples(rig)
            (age,) = re.findall(r"svc_registry_age_ms (\d+)\n", samples(rig))
            assert 0 <= int(age) < 10_000 and "svc_registry_failures 0\n" in samples(rig)
            writer.write(rig.list_answer(43, False, [rig.entry(0, phase="removed")]))
            await rig.discovery_calls.get()
            assert "svc_registry_entries 2\n" in samples(rig) and "svc_out_of_rotation 0\n" in samples(rig)

    run(test())
