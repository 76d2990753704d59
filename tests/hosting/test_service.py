"""The hosted service as a process: changes under load, retirement, drains, kill -9, reload and stop."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

from standins.ports import free_ports
from tests.hosting.rig import HeldResponses, Service
from tests.rig import HttpMessage, read_message, run, serve_value, wait_until

LONG = 60.0


def test_tenants_change_under_load_and_no_request_of_another_tenant_fails(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with Service(tmp_path, serve_value, serve_value) as service:
            await service.add("alfa")
            statuses: list[int] = []
            stopped = asyncio.Event()

            async def send_requests(number: int) -> None:
                client, rng = await service.connect(), random.Random(number)
                while not stopped.is_set():
                    seen = await service.ask("alfa", client, path=f"/menus/{rng.randrange(50)}")
                    statuses.append(seen.status)

            clients = [asyncio.create_task(send_requests(i)) for i in range(24)]
            for round_number in range(3):
                name = f"guest-{round_number}"
                await service.add(name)
                assert (await service.ask(name)).status == 200, "a new tenant is served at once"
                assert (
                    await service.change(name, limits={"rate_per_s": 1.0, "burst": 1.0})
                ).status_code == 200
                assert (await service.change(name, state="suspended")).status_code == 200
                assert (await service.ask(name)).status == 403
                assert (await service.change(name, state="active")).status_code == 200
                assert (await service.change(name, "DELETE")).status_code == 202
                await wait_until_gone(service, name)
                assert (await service.ask(name)).status == 401
            stopped.set()
            await asyncio.gather(*clients)
            assert len(statuses) > 100 and set(statuses) == {200}

    run(test(), LONG)


async def wait_until_gone(service: Service, tenant: str) -> None:
    while (await service.tenant(tenant))["state"] != "gone":
        await asyncio.sleep(0.01)


def test_requests_in_hand_of_a_retiring_tenant_are_answered_before_it_is_gone(tmp_path: Path) -> None:
    hold = HeldResponses()
    held = hold.requests

    async def test() -> None:
        async with Service(tmp_path, hold) as service:
            await service.add("alfa")
            asking = asyncio.create_task(service.ask("alfa"))
            await wait_until(lambda: held)
            assert (await service.change("alfa", "DELETE")).json()["state"] == "retiring"
            refused = await service.ask("alfa")
            assert refused.status == 403 and b"tenant-retiring" in refused.body
            assert (await service.tenant("alfa"))["state"] == "retiring"
            usage = (await service.api.get("/v1/tenants/alfa/usage")).json()
            assert usage["in_hand"] == 1
            held[0].set()
            assert (await asking).status == 200
            await wait_until_gone(service, "alfa")
            assert len(held) == 1, "no new request was sent"
            again = await service.api.post("/v1/tenants", json={"id": "alfa"})
            assert again.status_code == 409, "an ID is never reused"
            keys = (await service.api.get("/v1/tenants/alfa/keys")).json()["items"]
            assert all(key["revoked_at"] for key in keys)

    run(test(), LONG)


def test_administration_calls_during_a_drain_do_not_break_its_grace_period(tmp_path: Path) -> None:
    async def test() -> None:
        async with Service(tmp_path, serve_value, serve_value) as service:
            await service.add("alfa")
            stopped = asyncio.Event()

            async def send_requests(number: int) -> None:
                client, rng = await service.connect(), random.Random(number)
                while not stopped.is_set():
                    assert (
                        await service.ask("alfa", client, path=f"/menus/{rng.randrange(50)}")
                    ).status == 200

            async def administrate() -> None:
                for number in range(15):
                    await service.add(f"guest-{number}")

            clients = [asyncio.create_task(send_requests(i)) for i in range(8)]
            await wait_until(lambda: all(len(box.received) > 20 for box in service.boxes))
            service.registry.written_at.clear()
            calls = asyncio.create_task(administrate())
            await service.registry.set_phase("s-0", "draining")
            await wait_until(lambda: "s-0" in service.registry.written_at)
            while service.registry.written_at["s-0"] + 0.25 > asyncio.get_running_loop().time():
                await asyncio.sleep(0.005)
            after_grace = len(service.boxes[0].received)
            boxes = {b["id"]: b for b in (await service.api.get("/v1/boxes")).json()["items"]}
            assert boxes["s-0"]["state"] == "draining" and boxes["s-1"]["state"] == "ready"
            await calls
            more = len(service.boxes[1].received)
            await wait_until(lambda: len(service.boxes[1].received) > more + 50)
            stopped.set()
            await asyncio.gather(*clients)
            assert len(service.boxes[0].received) == after_grace, "no new request after the grace period"

    run(test(), LONG)


def test_a_revoked_key_is_rejected_with_the_next_request_on_a_connection(
    tmp_path: Path,
) -> None:
    hold = HeldResponses()
    held = hold.requests

    async def test() -> None:
        async with Service(tmp_path, hold) as service:
            await service.add("alfa")
            client = await service.connect()
            client.writer.write(service.request("alfa"))
            await wait_until(lambda: held)
            key = (await service.api.get("/v1/tenants/alfa/keys")).json()["items"][0]["id"]
            assert (await service.api.delete(f"/v1/tenants/alfa/keys/{key}")).status_code == 204
            held[0].set()
            seen = await client.receive()
            assert seen is not None and seen.status == 200, "the admitted request is answered"
            assert (await service.ask("alfa", client)).status == 401
            old = service.tokens["alfa"]
            await service.issue("alfa")
            asking = asyncio.create_task(service.ask("alfa", client))
            await wait_until(lambda: len(held) == 2)
            held[1].set()
            assert (await asking).status == 200
            assert old not in service.log and service.tokens["alfa"] not in service.log

    run(test(), LONG)


def test_of_concurrent_changes_one_succeeds_and_the_others_get_412(tmp_path: Path) -> None:
    async def test() -> None:
        async with Service(tmp_path) as service:
            await service.add("alfa")
            won = 0
            for round_number in range(10):
                version = (await service.tenant("alfa"))["version"]
                done = await asyncio.gather(
                    *(
                        service.api.patch(
                            "/v1/tenants/alfa",
                            json={"name": f"{round_number}-{i}"},
                            headers={"If-Match": f'"{version}"'},
                        )
                        for i in range(4)
                    )
                )
                assert sorted(d.status_code for d in done) == [200, 412, 412, 412]
                winner = next(d for d in done if d.status_code == 200).json()
                assert await service.tenant("alfa") == winner
                won += 1
            assert (await service.tenant("alfa"))["version"] == 1 + won
            assert (await service.api.patch("/v1/tenants/alfa", json={"name": "x"})).status_code == 428

    run(test(), LONG)


def test_acknowledged_changes_survive_kill_9(tmp_path: Path) -> None:
    async def test() -> None:
        async with Service(tmp_path) as service:
            for number in range(3):
                name = f"tenant-{number}"
                await service.add(name)  # the last response before the kill is a 201
                await service.kill()
                await service.start()
                for kept in range(number + 1):
                    assert (await service.ask(f"tenant-{kept}")).status == 200
            events = (await service.api.get("/v1/events")).json()["items"]
            assert [e["target"] for e in events if e["action"] == "tenant.create"] == [
                "tenant-0",
                "tenant-1",
                "tenant-2",
            ]

    run(test(), LONG)


def test_a_retirement_interrupted_by_a_kill_is_finished_at_the_start(tmp_path: Path) -> None:
    async def hang(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(LONG)

    async def test() -> None:
        async with Service(tmp_path, hang) as service:
            await service.add("alfa")
            client = await service.connect()
            client.writer.write(service.request("alfa"))
            await wait_until(lambda: service.sent)
            assert (await service.change("alfa", "DELETE")).json()["state"] == "retiring"
            await service.kill()
            await service.start()
            assert (await service.tenant("alfa"))["state"] == "gone"
            assert (await service.ask("alfa")).status == 401

    run(test(), LONG)


def test_slow_and_huge_administration_calls_end_and_delay_no_client(tmp_path: Path) -> None:
    bounds = "rate_per_s = 100000.0\nburst = 100000.0\ntimeout_s = 0.5\nbody_max = 2048\nhead_max = 2048"

    async def test() -> None:
        async with Service(tmp_path, admin=bounds) as service:
            await service.add("alfa")
            token = service.api.headers["Authorization"].encode()
            head = b"POST /v1/tenants HTTP/1.1\r\nHost: a\r\nAuthorization: %b\r\n" % token
            slow_head = await service.connect(service.admin_port)
            slow_head.writer.write(head)
            slow_body = await service.connect(service.admin_port)
            slow_body.writer.write(head + b"Content-Length: 10\r\n\r\n{")
            huge = await service.connect(service.admin_port)
            huge.writer.write(head + b"Content-Length: 1000000\r\n\r\n")
            chunked = await service.connect(service.admin_port)
            chunked.writer.write(
                head
                + b"Transfer-Encoding: chunked\r\n\r\n"
                + b"800\r\n"
                + b"x" * 2048
                + b"\r\n800\r\n"
                + b"x" * 2048
                + b"\r\n"
            )
            long_head = await service.connect(service.admin_port)
            long_head.writer.write(head + b"X: " + b"x" * 10_000)
            client, worst = await service.connect(), 0.0
            for _ in range(200):
                begun = time.monotonic()
                assert (await service.ask("alfa", client)).status == 200
                worst = max(worst, time.monotonic() - begun)
            assert worst < 0.3, "a client's aim, on a machine that also does other work"
            for connection, status in ((slow_body, 408), (huge, 413), (chunked, 413), (long_head, 400)):
                seen = await connection.receive()
                assert seen is not None and seen.status == status
            assert await slow_head.reader.read() == b"", "closed without a response: there was no request"
            assert (await service.api.get("/v1/tenants")).status_code == 200

    run(test(), LONG)


def test_connections_to_the_administration_are_limited(tmp_path: Path) -> None:
    async def test() -> None:
        async with Service(tmp_path, admin="connections = 4") as service:
            kept = [await service.connect(service.admin_port) for _ in range(4)]
            more = await service.connect(service.admin_port)
            assert await more.reader.read() == b"", "closed without a response"
            kept[0].writer.write(b"GET /openapi.json HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            seen = await kept[0].receive()
            assert seen is not None and seen.status == 200
            await kept[0].reader.read()
            while True:  # the connection counts until the server has noticed its end
                again = await service.connect(service.admin_port)
                again.writer.write(b"GET /v1/tenants HTTP/1.1\r\nHost: a\r\n\r\n")
                seen = await again.receive()
                if seen is not None:
                    assert seen.status == 401
                    break

    run(test(), LONG)


def test_administration_calls_above_the_rate_get_a_retry_time(tmp_path: Path) -> None:
    async def test() -> None:
        async with Service(tmp_path, admin="rate_per_s = 0.2\nburst = 5.0") as service:
            done = [await service.api.get("/v1/tenants") for _ in range(8)]
            refused = [d for d in done if d.status_code == 429]
            assert refused and int(refused[-1].headers["retry-after"]) >= 4
            assert refused[0].headers["content-type"] == "application/problem+json"

    run(test(), LONG)


def test_sighup_applies_reloadable_settings_and_names_the_others(tmp_path: Path) -> None:
    async def test() -> None:
        async with Service(tmp_path) as service:
            await service.add("alfa")
            assert (await service.ask("alfa", path="/menus/d1")).status == 200
            service.rate, kept = 1.0, service.second
            service.second += 1
            service.write()
            text = service.file.read_text()
            service.file.write_text(text.replace('path = "/menus/{day}"', 'path = "/cartas/{day}"'))
            service.signal(signal.SIGHUP)
            await wait_until(lambda: "was taken over" in service.log)
            assert "wait for the next start: listeners" in service.log
            assert (await service.ask("alfa", path="/menus/d1")).status == 404
            assert (await service.ask("alfa", path="/cartas/d1")).status == 200
            limits = (await service.api.get("/v1/tenants/alfa/limits")).json()
            assert limits["limits"]["rate_per_s"] == 1.0 and not limits["own"]
            statuses = [(await service.ask("alfa", path="/cartas/d1")).status for _ in range(3)]
            assert 429 in statuses
            assert (
                await service.ask("alfa", await service.connect(kept), path="/x")
            ).status == 404, "the second listener stays where it was"
            service.file.write_text("[service")
            service.signal(signal.SIGHUP)
            await wait_until(lambda: "stays as it was" in service.log)
            assert (await service.ask("alfa", path="/x")).status == 404

    run(test(), LONG)


def test_classes_change_at_sighup_and_the_console_shows_them(tmp_path: Path) -> None:
    async def call(port: int, method: str, path: str) -> HttpMessage:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        seen = await read_message(reader)
        writer.close()
        assert seen is not None
        return seen

    async def test() -> None:
        (console,) = free_ports(1)
        async with Service(tmp_path, service=f'console = "127.0.0.1:{console}"') as service:
            await service.add("alfa")
            assert (await service.ask("alfa", path="/menus/d1")).status == 200
            text = service.file.read_text()
            service.file.write_text(
                text
                + """
[[classes]]
name = "fresh"
aim_ms = 500.0
deadline_ms = 900.0
effect = "safe"

[[tenants.routes]]
method = "GET"
path = "/fresh/{day}"
class = "fresh"
"""
            )
            service.signal(signal.SIGHUP)
            await wait_until(lambda: "was taken over" in service.log)
            assert "wait for the next start" not in service.log
            assert (await service.ask("alfa", path="/fresh/d1")).status == 200
            figures = (await call(console, "GET", "/status/metrics")).body.decode()
            assert 'svc_operations{priority="fresh",status="fulfilled"} 1\n' in figures
            assert "svc_cfg_accepted 1\n" in figures
            assert 'svc_tenant_served{tenant="alfa"} 2\n' in figures
            assert (await call(console, "POST", "/standby")).status == 200
            asked = await service.ask("alfa", path="/menus/d1")
            assert (asked.status, asked.headers["connection"]) == (200, "close")
            assert (await call(console, "POST", "/active")).status == 200

    run(test(), LONG)


def test_sigterm_answers_the_requests_in_hand_and_ends_with_status_0(tmp_path: Path) -> None:
    hold = HeldResponses()
    held = hold.requests

    async def test() -> None:
        async with Service(tmp_path, hold) as service:
            await service.add("alfa")
            asking = asyncio.create_task(service.ask("alfa"))
            await wait_until(lambda: held)
            service.signal(signal.SIGTERM)
            await wait_until(lambda: "draining" in service.log)
            held[0].set()
            assert (await asking).status == 200
            assert await service.ended() == 0
            await service.start()
            key = (await service.api.get("/v1/tenants/alfa/keys")).json()["items"][0]
            assert key["last_used_at"] is not None, "key uses are written at the stop, not with each request"

    run(test(), LONG)


def test_a_locked_state_and_an_address_in_use_are_errors(tmp_path: Path) -> None:
    async def test() -> None:
        async with Service(tmp_path) as service:
            for state, message in (("state", "another process serves"), ("other", "ddress already in use")):
                service.service_lines = f'state = "{state}"'
                service.write()
                done = await asyncio.to_thread(
                    subprocess.run,
                    [sys.executable, "-m", "notchflow", "serve", str(service.file)],
                    capture_output=True,
                    text=True,
                    timeout=30,
                )
                assert done.returncode == 1 and message in done.stderr

    run(test(), LONG)
