"""A stand-in that stops ends every connection, however far its acceptance has got."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

import pytest

from standins.discovery import StandInDiscovery
from standins.node import StandInNode
from tests.rig import Peer, run

LOOP_TURNS = 6  # of the event loop, enough to accept a connection and start its handler


class Server(Protocol):
    """The interface that all stand-in servers share."""

    port: int

    async def start(self) -> None: ...
    def stop(self) -> None: ...


def make_node() -> Server:
    return StandInNode("b")


@pytest.mark.parametrize("make", [Peer, StandInDiscovery, make_node])
@pytest.mark.parametrize("turns", range(LOOP_TURNS))
def test_a_connection_accepted_just_before_the_stop_is_ended_too(
    make: Callable[[], Server], turns: int
) -> None:
    """Guards against a handler that never ends, and against a stopped node that answers."""

    async def test() -> None:
        server = make()
        await server.start()
        with socket.create_connection(("127.0.0.1", server.port)) as client:
            client.setblocking(False)
            for _ in range(turns):
                await asyncio.sleep(0)
            server.stop()
            try:
                received = await asyncio.get_running_loop().sock_recv(client, 1)
            except ConnectionResetError:
                received = b""
            assert received == b""

    run(test(), timeout_s=2.0)
