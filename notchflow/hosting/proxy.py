"""The proxy of the hosted service: the host, and what the administration and the console show of it."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any, Final

from notchflow.effects.keeper import Keeper
from notchflow.hosting.membership import Membership
from notchflow.interface import ListKind, SettingsChanged, State
from notchflow.net.config import Config
from notchflow.net.host import Host
from notchflow.net.node_list import NodeList
from notchflow.tenancy import metrics as tenant_metrics
from notchflow.tenancy.door import TenantDoor

GONE_KEPT_MS: Final = 60_000.0  # a node that is gone is still shown for so long


class HostedHost(Host):
    """A host that also remembers what the list calls its boxes, for those who ask the API."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, door: TenantDoor) -> None:
        self.seen: dict[int, tuple[str, str, State, float]] = {}  # name, address, state, told at (ms)
        self.tenants = door.directory
        self.keeper: Keeper | None = None
        self.membership: Membership | None = None
        super().__init__(config, loop, door)

    def apply(self, listing: NodeList, kind: ListKind) -> None:
        now, names, addresses = self.clock.now(), listing.names or {}, listing.addresses or {}
        if kind is not ListKind.DELTA:
            for node in self.seen.keys() - names.keys():
                self._note(node, *self.seen[node][:2], State.GONE, now)
        for member in listing.members:
            host, port = addresses[member.node]
            self._note(member.node, names[member.node], f"{host}:{port}", member.state, now)
        self.seen = {
            node: box
            for node, box in self.seen.items()
            if box[2] is not State.GONE or box[3] + GONE_KEPT_MS > now
        }
        super().apply(listing, kind)

    def _note(self, node: int, name: str, address: str, state: State, now: float) -> None:
        before = self.seen.get(node)
        at = before[3] if before is not None and before[2] is state else now
        self.seen[node] = name, address, state, at

    def metrics_text(self) -> str:
        """The platform's figures, and those of tenants."""
        lines = [
            *tenant_metrics.lines(self.tenants.entries.values()),
            *effect_lines(self.keeper),
            *(self.membership.lines() if self.membership is not None else ()),
        ]
        return super().metrics_text() + "\n".join(lines) + "\n"

    def view(self) -> dict[str, Any]:
        """The proxy itself, for those who ask the API."""
        return {
            "phase": self.lifecycle.phase.value,
            "serving": self.is_serving(),
            "descriptors": self.descriptors_used,
            "open_requests": self.metrics.open,
            "bytes_held": self.buffered_bytes,
            "clients": sum(len(frontend.clients) for frontend in self.frontends),
            "effects": self.keeper.figures() if self.keeper is not None else None,
        }

    def rebalance(self, balancers: int) -> None:
        """So many proxies are there, this one counted."""
        self._apply_settings(replace(self.config, settings=replace(self.settings, balancers=balancers)))
        self.config = replace(self.config, settings=self.settings)
        self.dispatch(SettingsChanged(self.settings))

    def boxes(self) -> list[dict[str, Any]]:
        nodes = self.balancer.fleet.nodes
        return [
            {
                "id": name,
                "address": address,
                "state": state.value,
                "changed_at": at / 1e3,
                "in_flight": nodes[node].in_flight if node in nodes else 0,
            }
            for node, (name, address, state, at) in sorted(self.seen.items(), key=lambda item: item[1])
        ]


def effect_lines(keeper: Keeper | None) -> list[str]:
    """The memory of effects on the console."""
    if keeper is None:
        return []
    told = keeper.figures()
    denied = told.pop("denied")
    flat = told | {f"denied_{why.replace('-', '_')}": count for why, count in denied.items()}
    return [f"effects_{name} {value}" for name, value in flat.items()]
