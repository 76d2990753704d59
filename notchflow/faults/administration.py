"""Administrative calls during faults: changes and reads of one tenant at random instances, as history.

Each change sets a unique name and alternates the state, so that it always makes a new version. A call is
written as two lines with the same id: `calling` and `called`.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import Any, Final

import httpx

from notchflow.hosting.fleet import Fleet

CALL_TIMEOUT_S: Final = 6.0


class Administration:
    """An operator that makes one call at a time.

    `pause_s` is the range of the pause between two calls, in seconds.
    """

    def __init__(
        self,
        fleet: Fleet,
        tenant: str,
        seed: int,
        note: Callable[..., None],
        pause_s: tuple[float, float] = (0.1, 0.8),
    ) -> None:
        self.fleet, self.tenant, self.note, self.pause_s = fleet, tenant, note, pause_s
        self.rng = random.Random(f"administration {seed}")
        self.call_numbers = itertools.count(1)
        self.state = "suspended"

    async def run(self) -> None:
        """Makes calls until it is cancelled."""
        headers = {"Authorization": f"Bearer {self.fleet.operator.token}"}
        async with httpx.AsyncClient(trust_env=False, headers=headers, timeout=CALL_TIMEOUT_S) as http_client:
            while True:
                await self._make_call(http_client, self.rng.choice(self.fleet.names))
                await asyncio.sleep(self.rng.uniform(*self.pause_s))

    async def _make_call(self, http_client: httpx.AsyncClient, name: str) -> None:
        number = next(self.call_numbers)
        url = f"http://127.0.0.1:{self.fleet.instances[name].ports.admin}/v1/tenants/{self.tenant}"
        change = self.rng.random() < 0.7
        body = {"name": f"change-{number}", "state": self.state}
        self.note(
            "calling",
            id=number,
            instance=name,
            kind="change" if change else "read",
            **({"state": self.state} if change else {}),
        )
        status, found = 0, {}
        try:
            response = await (
                http_client.patch(url, json=body, headers={"If-Match": "*"})
                if change
                else http_client.get(url)
            )
            status, found = response.status_code, dict(response.json())
        except (httpx.HTTPError, ValueError):
            pass
        if change and status == 200:
            self.state = "active" if self.state == "suspended" else "suspended"
        self.note("called", id=number, status=status, **_version_fields(found))


def _version_fields(found: dict[str, Any]) -> dict[str, Any]:
    return (
        {"version": found["version"], "state": found["state"], "name": found["name"]}
        if "version" in found
        else {}
    )
