"""Race of a retry with the end of the idempotency window: nodes forget which keys have run, and a retry that
starts later has a second effect, however long its connection took to establish."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from notchflow.interface import Effect, Outcome, RequestClass, Status
from tests.crossings.forced import HeldDials, assert_all_finished
from tests.crossings.test_client_gone import LIMITS, reset_connection
from tests.rig import HttpMessage, Rig, run, serve_value, wait_until

WINDOW_MS = 200.0
KEYED = RequestClass("keyed", 5_000, 5_000, effect=Effect.KEYED, window_ms=WINDOW_MS)


class ResetFirst:
    """Resets the first request that reaches any node, and serves the others."""

    def __init__(self) -> None:
        self.was_reset = False

    async def __call__(self, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        if not self.was_reset:
            self.was_reset = True
            await reset_connection(request, writer)
        else:
            await serve_value(request, writer)


@pytest.mark.parametrize("late", [False, True])
def test_a_retry_whose_connection_is_established_after_the_window_does_not_start(late: bool) -> None:
    async def test() -> None:
        reset_first = ResetFirst()
        rig = Rig(reset_first, reset_first, classes=(KEYED,))
        rig.settings = replace(rig.settings, limits=LIMITS)
        async with rig:
            outcomes = rig.record_events(Outcome)
            client = await rig.connect()
            dials = HeldDials(rig, free=1)
            client.send("PUT", body=b"once", X_Call_Class="keyed", Idempotency_Key="k1")
            await wait_until(lambda: dials.waiting)
            first = rig.host.clock.now()
            await wait_until(lambda: dials.waiting == 2)
            assert rig.forwarded_count == 1 and [o.status for o in outcomes] == [Status.RESET]
            if late:
                await wait_until(lambda: rig.host.clock.now() > first + WINDOW_MS)
            dials.released.set()
            response = await client.receive()
            assert response is not None and response.status == (503 if late else 200)
            assert rig.forwarded_count == (1 if late else 2)
            await assert_all_finished(rig)

    run(test())
