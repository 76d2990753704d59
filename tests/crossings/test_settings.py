"""SIGHUP crosses requests in hand: a process that was given another deployment's settings has nothing left of
its own, but for the requests that it had taken under them."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

from notchflow.interface import (
    Effect,
    Group,
    Limits,
    ListKind,
    RequestClass,
    Rules,
    SetTimer,
    Settings,
    Timer,
)
from notchflow.net.config import Config
from notchflow.net.host import Host
from notchflow.net.node_list import decode_node_list
from tests.crossings.forced import all_over
from tests.crossings.test_client_gone import Gate
from tests.rig import Rig, run, serve_value, until

ONE = Settings(
    classes=(RequestClass("look", 300, 4_000), RequestClass("buy", 300, 2_000, effect=Effect.UNSAFE)),
    zone="a",
    balancers=2,
    limits=Limits(max_attempts=3, second_copies=True, cancel=True, connect_timeout_ms=150.0),
    rules=Rules(ask_within_ms=9_000.0, drain_grace_ms=200.0, cold_ms=8_000.0, fall_ms=900.0),
)
OTHER = Settings(
    classes=(
        RequestClass("find", 700, 9_000),
        RequestClass("keep", 200, 600, effect=Effect.KEYED, group=Group.ZONE, window_ms=350.0),
    ),
    zone="n",
    balancers=90,
    list_on_request=True,
    worth_by_work=True,
    limits=Limits(max_attempts=2, connect_timeout_ms=80.0),
    rules=Rules(ask_within_ms=3_000.0, drain_grace_ms=700.0, cold_ms=30_000.0, fall_ms=2_000.0),
)


def derived(host: Host) -> dict[str, Any]:
    """All that a process works out of its settings, but for what it has learned."""
    module, watch = host.balancer, host.discovery.list_watch
    return {
        "classes": host.classes,
        "longest": host.longest_deadline_ms,
        "attempts": host.max_attempts,
        "idle": host.idle_limit.configured_ms,
        "dial": {p.connect_timeout_ms for p in host.pools.values()},
        "settings": (host.settings, module.settings, module.fleet.settings),
        "of": module.classes,
        "most": module.max_attempts,
        "copies": module.second_copies,
        "worth": module.worth_by_work,
        "aside": module.fleet.cache_aside,
        "many": module.fleet.many_instances,
        "kinds": type(module.fleet.kinds),
        "rules": watch.rules,
        "asked": watch.on_request,
        "pause": watch.pause_ms,
        "cold": {n.cold_until for n in module.fleet.nodes.values()},
    }


def begun(settings: Settings) -> Host:
    """A process with two nodes, one of them cold, that calls nobody."""
    entries = [
        {"id": f"s-{n}", "host_port": "127.0.0.1:9", "phase": "up", "up_since_ms": 1e12 * n} for n in (0, 1)
    ]
    known = decode_node_list({"revision": 1, "complete": True, "members": entries})
    config = Config(
        "n0",
        ("127.0.0.1", 0),
        ("127.0.0.1", 9),
        7,
        settings,
        known,
        conn_idle_ms=7_000.0 * settings.balancers,
    )
    host = Host(config, asyncio.get_running_loop())
    host.discovery._execute = lambda actions: None  # type: ignore[method-assign]
    host.apply(known, ListKind.CACHED)
    return host


def test_a_process_given_another_deployment_s_settings_is_as_one_begun_with_them() -> None:
    async def test() -> None:
        for first, second in ((ONE, OTHER), (OTHER, ONE)):
            changed, fresh = begun(first), begun(second)
            before = derived(changed)
            assert [name for name, value in derived(fresh).items() if value == before[name]] == ["aside"]
            changed.reload(fresh.config)
            assert derived(changed) == derived(fresh)
            for host in (changed, fresh):
                host.timers.clear()
                if host.timer_handle is not None:
                    host.timer_handle.cancel()

    run(test())


def test_a_request_under_way_keeps_its_class_and_those_that_come_have_the_new_ones() -> None:
    async def test() -> None:
        gate = Gate(serve_value)
        rig = Rig(gate)
        rig.settings = ONE
        async with rig:
            client = await rig.connect()
            client.send("PUT", body=b"paid", X_Call_Class="buy")
            await until(lambda: rig.sent)
            rig.host.reload(replace(rig.host.config, settings=OTHER))
            (pending,) = rig.host.balancer.pending.values()
            assert pending.cls.effect is Effect.UNSAFE and pending.max_attempts == 2
            assert (await rig.ask(X_Call_Class="buy")).status == 503, "of no class that is known"
            assert rig.sent == 1
            gate.open.set()
            seen = await client.receive()
            assert seen is not None and seen.status == 200
            assert (await rig.ask(X_Call_Class="find")).status == 200
            text = rig.host.metrics_text()
            assert 'class="find"' in text or 'priority="find"' in text
            for _ in range(3):  # no timer of before asks for what is no more
                rig.host.dispatch(Timer("second"))
            assert not any(isinstance(a, SetTimer) for a in rig.host.balancer.actions)
            await all_over(rig)

    run(test())
