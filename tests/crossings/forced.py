"""Helpers that force races: dials that are held back, half-closes, and a check that nothing is left once all
requests have finished."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from tests.rig import Client, Rig, wait_until


class HeldDials:
    """Holds back connections to nodes, all but the first `free`, until `released` is set."""

    def __init__(self, rig: Rig, free: int = 0) -> None:
        self.waiting = 0
        self.released = asyncio.Event()
        self.nodes = {node.port for node in rig.nodes}
        real = rig.host.loop
        dials = self

        class Loop:
            def __getattr__(self, name: str) -> Any:
                return getattr(real, name)

            async def create_connection(self, protocol: Callable[[], Any], *address: Any, **more: Any) -> Any:
                if address and address[1] in dials.nodes:
                    dials.waiting += 1
                    if dials.waiting > free:
                        await dials.released.wait()
                return await real.create_connection(protocol, *address, **more)

        rig.host.loop = Loop()  # type: ignore[assignment]


async def assert_all_finished(rig: Rig) -> None:
    """Waits until no request, dial or client is left, and checks that nothing is buffered or counted."""
    host = rig.host
    await wait_until(lambda: not host.active_requests and not any(pool.dials for pool in host.pools.values()))
    for client in rig.clients:  # only now, as a disconnect would end unfinished requests
        client.writer.transport.abort()
    await wait_until(lambda: not host.frontend.clients)
    idle = sum(len(pool.idle) for pool in host.pools.values())
    await wait_until(lambda: host.descriptors_used == sum(len(pool.idle) for pool in host.pools.values()))
    await wait_until(lambda: sum(len(node.open) for node in rig.nodes) >= idle)  # all accepted: can be closed
    assert (host.buffered_bytes, host.descriptors_used) == (0, idle)
    assert not host.balancer.pending and not host.balancer.fleet.in_flight
    assert not any(node.in_flight or node.outstanding for node in host.balancer.fleet.nodes.values())


def half_close(client: Client) -> None:
    """Sends the end of the stream, which a full close and a half-close have in common, with nothing unread
    before it."""
    client.writer.write_eof()
