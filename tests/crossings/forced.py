"""What forces two events to cross: dials that wait for a word, peers that close at the wrong moment, and what
must be back at zero once all is over."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from tests.rig import Client, Rig, until


class Dials:
    """Connections to nodes come up only when they may, but for the first few."""

    def __init__(self, rig: Rig, free: int = 0) -> None:
        self.waiting = 0
        self.up = asyncio.Event()
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
                        await dials.up.wait()
                return await real.create_connection(protocol, *address, **more)

        rig.host.loop = Loop()  # type: ignore[assignment]


async def all_over(rig: Rig) -> None:
    """Nothing is in flight, held or counted, and no dial is under way."""
    host = rig.host
    await until(lambda: not host.active_requests and not any(pool.dials for pool in host.pools.values()))
    for client in rig.clients:  # not before: that they go would end what is still under way
        client.writer.transport.abort()
    await until(lambda: not host.frontend.clients)
    idle = sum(len(pool.idle) for pool in host.pools.values())
    await until(lambda: host.descriptors_used == sum(len(pool.idle) for pool in host.pools.values()))
    await until(lambda: sum(len(node.open) for node in rig.nodes) >= idle)  # all accepted: can be ended
    assert (host.buffered_bytes, host.descriptors_used) == (0, idle)
    assert not host.balancer.pending and not host.balancer.fleet.in_flight
    assert not any(node.in_flight or node.outstanding for node in host.balancer.fleet.nodes.values())


def ends_sending(client: Client) -> None:
    """What a full close and a half-close look like: the connection's end, with nothing unread before it."""
    client.writer.write_eof()
