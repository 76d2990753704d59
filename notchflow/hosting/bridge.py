"""Calls from the administration's thread to the proxy's loop."""

from __future__ import annotations

import asyncio
import concurrent.futures
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any, TypeVar

from notchflow.admin.operations import Change
from notchflow.hosting.proxy import HostedHost
from notchflow.tenancy.directory import Directory
from notchflow.tenancy.model import Tenant

T = TypeVar("T")


class Bridge:
    """The running proxy for the administration's thread: each call is one turn of the proxy's loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, directory: Directory, host: HostedHost) -> None:
        self.loop, self.directory, self.host = loop, directory, host

    async def ask(self, call: Callable[[], T]) -> T:
        """Runs a call on the proxy's loop and waits for it on this one."""
        done: concurrent.futures.Future[T] = concurrent.futures.Future()

        def run() -> None:
            try:
                done.set_result(call())
            except BaseException as error:
                done.set_exception(error)

        self.loop.call_soon_threadsafe(run)
        return await asyncio.wrap_future(done)

    async def apply(self, changes: Sequence[Change]) -> None:
        await self.ask(lambda: apply(self.directory, changes))

    async def usage(self, tenant: str) -> dict[str, Any]:
        def read() -> dict[str, Any]:
            member = self.host.membership
            fleet = member.limits.usage(tenant) if member is not None and member.limits is not None else None
            return here() | {"fleet": fleet}

        def here() -> dict[str, Any]:
            entry = self.directory.entries.get(tenant)
            if entry is None:
                return {"in_hand": 0, "bytes_held": 0, "asked": 0, "served": 0, "failed": 0, "refused": {}}
            usage = entry.usage
            return {
                "in_hand": usage.in_hand,
                "bytes_held": usage.bytes,
                "asked": usage.asked,
                "served": usage.served,
                "failed": usage.failed,
                "refused": dict(usage.refused),
            }

        return await self.ask(read)

    async def boxes(self) -> list[dict[str, Any]]:
        return await self.ask(self.host.boxes)

    async def proxy(self) -> dict[str, Any]:
        return await self.ask(self.host.view)

    async def cluster(self) -> dict[str, Any] | None:
        member = self.host.membership
        return await self.ask(member.show) if member is not None else None

    async def duty(self, active: bool) -> bool:
        return await self.ask(self.host.activate if active else self.host.enter_standby)


def apply(directory: Directory, changes: Iterable[Change]) -> None:
    now = time.monotonic()
    for change in changes:
        if isinstance(change, Tenant):
            directory.put(change, now)
        else:
            directory.put_key(change)
