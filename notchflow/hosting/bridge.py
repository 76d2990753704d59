"""Calls from the administration's thread to the proxy's event loop."""

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


class LoopBridge:
    """The running proxy for the administration's thread; each method is one callback on the proxy's loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, directory: Directory, host: HostedHost) -> None:
        self.loop, self.directory, self.host = loop, directory, host

    async def run_on_loop(self, call: Callable[[], T]) -> T:
        """Runs a call on the proxy's loop and awaits its result on the caller's loop."""
        future: concurrent.futures.Future[T] = concurrent.futures.Future()

        def run() -> None:
            try:
                future.set_result(call())
            except BaseException as error:
                future.set_exception(error)

        self.loop.call_soon_threadsafe(run)
        return await asyncio.wrap_future(future)

    async def apply(self, changes: Sequence[Change]) -> None:
        """Applies changes of tenants and keys to the directory."""
        await self.run_on_loop(lambda: apply(self.directory, changes))

    async def usage(self, tenant: str) -> dict[str, Any]:
        """A tenant's usage at this instance, with the fleet's if limits are shared."""

        def read() -> dict[str, Any]:
            member = self.host.membership
            fleet = member.limits.usage(tenant) if member is not None and member.limits is not None else None
            return local() | {"fleet": fleet}

        def local() -> dict[str, Any]:
            entry = self.directory.entries.get(tenant)
            if entry is None:
                return {"in_hand": 0, "bytes_held": 0, "asked": 0, "served": 0, "failed": 0, "refused": {}}
            usage = entry.usage
            return {
                "in_hand": usage.in_hand,
                "bytes_held": usage.bytes_held,
                "asked": usage.asked,
                "served": usage.served,
                "failed": usage.failed,
                "refused": dict(usage.refused),
            }

        return await self.run_on_loop(read)

    async def node_statuses(self) -> list[dict[str, Any]]:
        """The nodes and their states."""
        return await self.run_on_loop(self.host.node_statuses)

    async def proxy_status(self) -> dict[str, Any]:
        """The proxy's state."""
        return await self.run_on_loop(self.host.proxy_status)

    async def cluster_status(self) -> dict[str, Any] | None:
        """The fleet as this instance sees it; None without a fleet."""
        membership = self.host.membership
        return await self.run_on_loop(membership.status) if membership is not None else None

    async def set_active(self, active: bool) -> bool:
        """Makes the proxy active or a standby; returns whether it serves requests."""
        return await self.run_on_loop(self.host.activate if active else self.host.enter_standby)


def apply(directory: Directory, changes: Iterable[Change]) -> None:
    """Applies changes of tenants and keys to the directory."""
    now = time.monotonic()
    for change in changes:
        if isinstance(change, Tenant):
            directory.put(change, now)
        else:
            directory.put_key(change)
