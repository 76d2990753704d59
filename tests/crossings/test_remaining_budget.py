"""The client's budget runs while a connection is being established: X-Budget states what is left when the
first byte is sent."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.crossings.forced import HeldDials, assert_all_finished
from tests.crossings.test_client_gone import LIMITS, Gate, reset_connection
from tests.rig import Rig, run, serve_value, wait_until

BUDGET_MS, WAIT_MS = 4_000.0, 60.0


@pytest.mark.parametrize("retry", [False, True])
def test_an_attempt_on_a_slow_connection_states_the_remaining_budget(retry: bool) -> None:
    async def test() -> None:
        gate = Gate(reset_connection)
        gate.open.set()
        rig = Rig(gate, gate, gate)
        rig.settings = replace(rig.settings, limits=LIMITS)
        async with rig:
            dials = HeldDials(rig, free=1 if retry else 0)
            client = await rig.connect()
            client.send(X_Budget=f"{BUDGET_MS / 1e3}")
            await wait_until(lambda: dials.waiting == (2 if retry else 1))
            gate.then = serve_value
            (active,) = rig.host.active_requests.values()
            began = active.client_request.arrived_at  # on a busy machine some milliseconds after it was sent
            await wait_until(lambda: rig.host.clock.now() > began + WAIT_MS)
            dials.released.set()
            response = await client.receive()
            assert response is not None and response.status == 200
            budgets = [float(s.headers["x-budget"]) for n in rig.nodes for s in n.received]
            assert len(budgets) == (2 if retry else 1)
            assert min(budgets) * 1e3 <= BUDGET_MS - WAIT_MS + 1, "rounded to a millisecond"
            await assert_all_finished(rig)

    run(test())
