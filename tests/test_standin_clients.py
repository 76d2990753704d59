"""The stand-in clients: on which connections they may send, and what they record of one that failed them."""

from __future__ import annotations

import asyncio

from standins.connections import ConnectionRecord, End
from standins.load import Paced
from tests.rig import Peer, Seen, answer, run, until

ASK = b"GET /menus/1 HTTP/1.1\r\nHost: a\r\n\r\n"


async def last_answer(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(b"last", Connection="close"))


async def shuts(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.close()


def test_a_connection_that_nobody_needs_any_more_is_not_kept() -> None:
    """Guards against a request on a connection that its server ends because nothing came on it."""

    async def test() -> None:
        server = Peer()
        await server.start()
        paced = Paced(server.port, 1.0, lambda: (ASK, "a"))
        paced.connecting = 1
        await paced._grow()  # as when what waited was served on another connection meanwhile
        assert not paced.idle and not paced.all and paced.connecting == 0
        await until(lambda: server.connections == 1 and not server.open)
        server.stop()

    run(test())


def test_nothing_is_sent_behind_an_answer_that_asks_for_the_connection_s_end() -> None:
    async def test() -> None:
        server = Peer(last_answer)
        await server.start()
        tally = await Paced(server.port, 100.0, lambda: (ASK, "a")).run(0.2)
        assert tally.lost == 0 and server.connections == len(server.seen) == tally.asked("a")
        server.stop()

    run(test())


def test_a_lost_request_comes_with_the_record_of_its_connection() -> None:
    async def test() -> None:
        server = Peer(shuts)
        await server.start()
        lost: list[ConnectionRecord] = []
        tally = await Paced(
            server.port, 20.0, lambda: (ASK, "a"), lost=lambda label, record: lost.append(record)
        ).run(0.2)
        server.stop()
        assert tally.lost == len(lost) == len(server.seen)
        assert {record.end for record in lost} == {End.BY_PEER}
        for record in lost:
            assert record.requests == 1 and record.first_received_at == 0.0
            assert record.opened_at <= record.first_sent_at <= record.ended_at

    run(test())
