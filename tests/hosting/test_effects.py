"""The effect memory in a running service: repeated requests, crashes and damaged stores."""

from __future__ import annotations

import asyncio
import os
import random
import signal
from collections import Counter
from pathlib import Path

from standins.ports import free_ports
from tests.hosting.rig import HeldResponses, Service
from tests.rig import Client, HttpMessage, answer, run, serve_value, wait_until

EFFECTS_SECTION = "[effects]\nunsafe_s = 3600.0\nkeyed_s = 600.0\nsegment_mb = 0.25"
PAY = {"method": "POST", "path": "/orders/d1/pay", "body": b"due=1"}
KILLS = 100 if os.environ.get("NOTCHFLOW_LONG") else 6


async def pay(service: Service, key: str, client: Client | None = None, **more: object) -> HttpMessage:
    return await service.ask("alfa", client, **(PAY | {"key": key} | more))


async def send_unanswered_payment(service: Service, held: HeldResponses) -> Client:
    """A client whose payment is in hand at a node that does not answer."""
    client = await service.connect()
    client.writer.write(service.request("alfa", **PAY, key="o-1"))  # type: ignore[arg-type]
    await wait_until(lambda: held.requests)
    return client


def test_a_repeated_payment_gets_its_outcome_also_after_a_restart(tmp_path: Path) -> None:
    async def test() -> None:
        async with Service(tmp_path, serve_value, service=EFFECTS_SECTION) as service:
            await service.add("alfa", "beta")
            first = await pay(service, "o-1")
            assert first.status == 200 and first.body.startswith(b"value of")
            again = await pay(service, "o-1")
            assert again.status == 200 and again.headers["idempotency-replayed"] == "true"
            assert again.body == b'{"fate": "served", "status": 200}'
            other = await pay(service, "o-1", body=b"due=2")
            assert other.status == 422 and b"idempotency-key-reused" in other.body
            other_tenant = await service.ask("beta", **PAY, key="o-1")  # type: ignore[arg-type]
            assert other_tenant.status == 200, "keys of different tenants are independent"
            await service.kill()
            await service.start()
            again = await pay(service, "o-1")
            assert again.status == 200 and again.headers.get("idempotency-replayed") == "true"
            assert len(service.sent) == 2
            view = (await service.api.get("/v1/proxy")).json()["effects"]
            assert view["told"] == 1 and view["store"] == "open" and view["keys"] == 2

    run(test(), 40)


def test_a_repeat_while_the_first_request_is_in_hand_is_not_sent(tmp_path: Path) -> None:
    async def test() -> None:
        held = HeldResponses()
        async with Service(tmp_path, held, service=EFFECTS_SECTION) as service:
            await service.add("alfa")
            client = await send_unanswered_payment(service, held)
            again = await pay(service, "o-1")
            assert again.status == 409 and b'"fate": "in-hand"' in again.body
            assert int(again.headers["retry-after"]) >= 1
            held.requests[0].set()
            first = await client.receive()
            assert first is not None and first.status == 200
            assert (await pay(service, "o-1")).headers["idempotency-replayed"] == "true"
            assert len(service.sent) == 1

    run(test(), 40)


def test_after_a_kill_between_send_and_response_the_repeat_is_not_sent(tmp_path: Path) -> None:
    """The first attempt may still run at the node when the client's retry reaches the new process."""

    async def test() -> None:
        held = HeldResponses()
        async with Service(tmp_path, held, service=EFFECTS_SECTION) as service:
            await service.add("alfa")
            await send_unanswered_payment(service, held)
            await service.kill()
            await service.start()
            again = await pay(service, "o-1")
            assert again.status == 409 and b'"fate": "unknown"' in again.body
            held.requests[0].set()
            assert (await pay(service, "o-1")).status == 409, "whether it ran stays unknown"
            assert len(service.sent) == 1

    run(test(), 40)


def test_a_rejected_payment_may_be_repeated_and_one_that_was_reset_may_not(tmp_path: Path) -> None:
    async def test() -> None:
        async def full(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.write(answer(b"", "503 Service Unavailable", X_Rejected="1"))

        async def breaks(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
            writer.transport.abort()

        async with Service(tmp_path, full, service=EFFECTS_SECTION) as service:
            await service.add("alfa")
            refused = await pay(service, "o-1")
            assert refused.status == 503
            service.boxes[0].script = serve_value
            assert (await pay(service, "o-1")).status == 200
            service.boxes[0].script = breaks
            assert (await pay(service, "o-2")).status == 502
            service.boxes[0].script = serve_value
            assert (await pay(service, "o-2")).status == 409

    run(test(), 40)


def test_a_keyed_write_is_sent_again_within_its_window(tmp_path: Path) -> None:
    async def test() -> None:
        async with Service(tmp_path, serve_value, service=EFFECTS_SECTION) as service:
            await service.add("alfa")
            slots = {"method": "PUT", "path": "/menus/d1/slots", "body": b"7"}
            assert (await service.ask("alfa", **slots, key="s-1")).status == 200  # type: ignore[arg-type]
            again = await service.ask("alfa", **slots, key="s-1")  # type: ignore[arg-type]
            assert again.status == 200 and "idempotency-replayed" not in again.headers
            assert len(service.sent) == 2 and len({s.headers["idempotency-key"] for s in service.sent}) == 1

    run(test(), 40)


def test_a_route_may_require_a_key(tmp_path: Path) -> None:
    async def test() -> None:
        async with Service(tmp_path, serve_value, service=EFFECTS_SECTION) as service:
            await service.add("alfa")
            strict = {"method": "POST", "path": "/orders/d1/strict", "body": b"due=1"}
            missing = await service.ask("alfa", **strict)  # type: ignore[arg-type]
            assert missing.status == 400 and b"idempotency-key-required" in missing.body
            assert (await service.ask("alfa", **strict, key="o-1")).status == 200  # type: ignore[arg-type]
            optional = await service.ask("alfa", **PAY)  # type: ignore[arg-type]
            assert optional.status == 200, "other routes of the class need no key"

    run(test(), 40)


def test_a_damaged_store_prevents_the_start_and_the_error_names_the_remedy(tmp_path: Path) -> None:
    async def test() -> None:
        async with Service(tmp_path, serve_value, service=EFFECTS_SECTION) as service:
            await service.add("alfa")
            for n in range(3):
                await pay(service, f"o-{n}")
            await service.kill()
            path = next((tmp_path / "state" / "effects").glob("*.log"))
            data = bytearray(path.read_bytes())
            data[60] ^= 1
            path.write_bytes(data)
            process = await asyncio.create_subprocess_exec(
                *service.command(), stderr=asyncio.subprocess.PIPE, cwd=Path.cwd()
            )
            _, errors = await process.communicate()
            assert process.returncode == 1
            assert b"notchflow store check" in errors and path.name.encode() in errors and b"offset" in errors

    run(test(), 40)


class UnreliableNode:
    """A node that counts runs by idempotency key, and at random delays, resets or rejects requests."""

    def __init__(self, seed: int) -> None:
        self.rng, self.ran = random.Random(seed), Counter[str]()

    async def __call__(self, seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
        draw = self.rng.random()
        if draw < 0.1:
            writer.write(answer(b"", "503 Service Unavailable", X_Rejected="1"))
            return
        self.ran[seen.headers["idempotency-key"]] += 1
        if draw < 0.2:
            writer.transport.abort()
            return
        await asyncio.sleep(self.rng.random() * 0.02)
        writer.write(answer())


def test_no_payment_runs_twice_however_often_the_service_is_killed(tmp_path: Path) -> None:
    """Clients repeat each payment after every rejection, reset and timeout until they learn its outcome."""

    async def test() -> None:
        node, counts = UnreliableNode(1), Counter[str]()
        served: set[str] = set()
        stopped = asyncio.Event()
        async with Service(tmp_path, node, service=EFFECTS_SECTION) as service:
            await service.add("alfa")

            async def client_loop(number: int) -> None:
                order = 0
                while not stopped.is_set():
                    order += 1
                    key = f"c{number}-{order}"
                    for _ in range(60):
                        counts["requests"] += 1
                        try:
                            async with asyncio.timeout(8):
                                client = await service.connect()
                                try:
                                    seen = await pay(service, key, client, body=key.encode())
                                finally:
                                    service.clients.remove(client)
                                    client.writer.transport.abort()
                        except (OSError, AssertionError, TimeoutError):
                            counts["broken"] += 1
                            await asyncio.sleep(0.02)
                            continue
                        if "idempotency-replayed" in seen.headers:
                            counts["repeats answered"] += 1
                        if seen.status == 200:
                            served.add(key)
                            break
                        if b'"fate": "unknown"' in seen.body or seen.status in (502, 504):
                            counts["unknown"] += 1
                            if seen.status == 409:
                                break
                        await asyncio.sleep(0.01)

            clients = [asyncio.create_task(client_loop(n)) for n in range(12)]
            rng = random.Random(2)
            for _ in range(KILLS):
                await asyncio.sleep(0.1 + rng.random() * 0.4)
                counts["kills"] += 1
                await service.kill()
                await service.start()
            await asyncio.sleep(0.3)
            stopped.set()
            await asyncio.gather(*clients)
            assert node.ran and max(node.ran.values()) == 1, "a payment ran twice"
            ran = {key.partition("/")[2] for key in node.ran}
            assert served <= ran, "every payment reported as served has run"
            assert counts["broken"] > 0 and counts["unknown"] > 0
            print(dict(counts), f"{len(node.ran)} ran, {len(served)} reported as served")

    run(test(), 30.0 + 4 * KILLS)


def test_without_the_section_effects_are_not_remembered(tmp_path: Path) -> None:
    async def test() -> None:
        async with Service(tmp_path, serve_value) as service:
            await service.add("alfa")
            assert (await pay(service, "o-1")).status == 200
            assert "idempotency-replayed" not in (await pay(service, "o-1")).headers
            assert not (tmp_path / "state" / "effects").exists()
            assert (await service.api.get("/v1/proxy")).json()["effects"] is None

    run(test(), 40)


def test_two_services_do_not_share_a_store(tmp_path: Path) -> None:
    async def test() -> None:
        async with Service(tmp_path, serve_value, service=EFFECTS_SECTION) as service:
            port, admin = free_ports(2)
            other = tmp_path / "other.toml"
            text = service.file.read_text().replace(str(service.port), str(port))
            text = text.replace(str(service.admin_port), str(admin))
            other.write_text(text.replace("[service]\n", '[service]\nstate = "state"\n', 1))
            process = await asyncio.create_subprocess_exec(
                *service.command(other), stderr=asyncio.subprocess.PIPE, cwd=Path.cwd()
            )
            _, errors = await process.communicate()
            assert process.returncode == 1 and errors.startswith(b"notchflow: ")

    run(test(), 40)


def test_classes_that_the_effects_in_force_do_not_allow_change_nothing(tmp_path: Path) -> None:
    """Guards against a file of which half is in force: its own section `effects` waits for the next start."""

    async def test() -> None:
        async with Service(tmp_path, serve_value, service=EFFECTS_SECTION) as service:
            await service.add("alfa")
            text = service.file.read_text()
            new_class = """
[[classes]]
name = "fresh"
aim_ms = 500.0
deadline_ms = 900.0
effect = "keyed"
window_ms = 700_000.0
"""
            longer = text.replace("keyed_s = 600.0", "keyed_s = 6000.0") + new_class
            service.file.write_text(longer.replace('path = "/menus/{day}"', 'path = "/cartas/{day}"'))
            service.signal(signal.SIGHUP)
            await wait_until(lambda: "stays as it was" in service.log)
            assert "'fresh'" in service.log and "restart the service" in service.log
            assert (await service.ask("alfa", path="/menus/d1")).status == 200
            assert "Traceback" not in service.log

    run(test(), 40)
