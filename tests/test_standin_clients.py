"""Stand-in clients: on which connections they may send, and what they record of a connection that fails."""

from __future__ import annotations

import asyncio

from standins.connections import ConnectionRecord, End
from standins.load import OpenLoop
from tests.rig import HttpMessage, Peer, answer, run, wait_until

REQUEST = b"GET /menus/1 HTTP/1.1\r\nHost: a\r\n\r\n"


async def answer_and_close(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(b"last", Connection="close"))


async def close_unanswered(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
    writer.close()


def test_a_connection_that_is_no_longer_needed_is_closed() -> None:
    """Guards against a request on a connection that its server closes for lack of requests."""

    async def test() -> None:
        server = Peer()
        await server.start()
        open_loop = OpenLoop(server.port, 1.0, lambda: (REQUEST, "a"))
        open_loop.connecting = 1
        await open_loop._open_connection()  # as if the waiting request had been sent elsewhere meanwhile
        assert not open_loop.idle and not open_loop.connections and open_loop.connecting == 0
        await wait_until(lambda: server.connections == 1 and not server.open)
        server.stop()

    run(test())


def test_nothing_is_sent_after_an_answer_with_connection_close() -> None:
    async def test() -> None:
        server = Peer(answer_and_close)
        await server.start()
        tally = await OpenLoop(server.port, 100.0, lambda: (REQUEST, "a")).run(0.2)
        assert tally.lost == 0 and server.connections == len(server.received) == tally.answer_count("a")
        server.stop()

    run(test())


def test_a_lost_request_is_reported_with_the_record_of_its_connection() -> None:
    async def test() -> None:
        server = Peer(close_unanswered)
        await server.start()
        lost: list[ConnectionRecord] = []
        tally = await OpenLoop(
            server.port, 20.0, lambda: (REQUEST, "a"), lost=lambda label, record: lost.append(record)
        ).run(0.2)
        server.stop()
        assert tally.lost == len(lost) == len(server.received)
        assert {record.end for record in lost} == {End.BY_PEER}
        for record in lost:
            assert record.requests == 1 and record.first_received_at == 0.0
            assert record.opened_at <= record.first_sent_at <= record.ended_at

    run(test())
