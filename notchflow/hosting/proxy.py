"""The host of the hosted service, with the state and metrics that the administration and the console show."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any, Final

from notchflow.effects.service import IdempotencyService
from notchflow.hosting.membership import Membership
from notchflow.interface import ListKind, SettingsChanged, State
from notchflow.net.config import Config
from notchflow.net.host import Host
from notchflow.net.node_list import NodeList
from notchflow.tenancy import metrics as tenant_metrics
from notchflow.tenancy.admission import TenantAdmission

GONE_SHOWN_MS: Final = 60_000.0  # how long a node that is gone is still shown


class HostedHost(Host):
    """A host that also tracks names, addresses and states of its nodes for the administration API."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, admission: TenantAdmission) -> None:
        # By node: name, address, state and when it changed (ms).
        self.shown_nodes: dict[int, tuple[str, str, State, float]] = {}
        self.tenants = admission.directory
        self.keeper: IdempotencyService | None = None
        self.membership: Membership | None = None
        super().__init__(config, loop, admission)

    def apply(self, listing: NodeList, kind: ListKind) -> None:
        """Applies a list of nodes and records their names, addresses and states."""
        now, names, addresses = self.clock.now(), listing.names or {}, listing.addresses or {}
        if kind is not ListKind.DELTA:
            for node in self.shown_nodes.keys() - names.keys():
                self._record(node, *self.shown_nodes[node][:2], State.GONE, now)
        for member in listing.members:
            host, port = addresses[member.node]
            self._record(member.node, names[member.node], f"{host}:{port}", member.state, now)
        self.shown_nodes = {
            node: shown
            for node, shown in self.shown_nodes.items()
            if shown[2] is not State.GONE or shown[3] + GONE_SHOWN_MS > now
        }
        super().apply(listing, kind)

    def _record(self, node: int, name: str, address: str, state: State, now: float) -> None:
        previous = self.shown_nodes.get(node)
        changed_at = previous[3] if previous is not None and previous[2] is state else now
        self.shown_nodes[node] = name, address, state, changed_at

    def metrics_text(self) -> str:
        """The host's metrics with those of tenants, the effect memory and the fleet membership."""
        lines = [
            *tenant_metrics.lines(self.tenants.entries.values()),
            *effect_metrics_lines(self.keeper),
            *(self.membership.metrics_lines() if self.membership is not None else ()),
        ]
        return super().metrics_text() + "\n".join(lines) + "\n"

    def proxy_status(self) -> dict[str, Any]:
        """The proxy's state for `GET /v1/proxy`."""
        return {
            "phase": self.lifecycle.phase.value,
            "serving": self.is_serving(),
            "descriptors": self.descriptors_used,
            "open_requests": self.metrics.open,
            "bytes_held": self.buffered_bytes,
            "clients": sum(len(frontend.clients) for frontend in self.frontends),
            "effects": self.keeper.metrics() if self.keeper is not None else None,
        }

    def set_instance_count(self, balancers: int) -> None:
        """Sets the number of instances, this one included."""
        self._apply_settings(replace(self.config, settings=replace(self.settings, balancers=balancers)))
        self.config = replace(self.config, settings=self.settings)
        self.dispatch(SettingsChanged(self.settings))

    def node_statuses(self) -> list[dict[str, Any]]:
        """The nodes for `GET /v1/boxes`, by name."""
        nodes = self.balancer.fleet.nodes
        return [
            {
                "id": name,
                "address": address,
                "state": state.value,
                "changed_at": changed_at / 1e3,
                "in_flight": nodes[node].in_flight if node in nodes else 0,
            }
            for node, (name, address, state, changed_at) in sorted(
                self.shown_nodes.items(), key=lambda item: item[1]
            )
        ]


def effect_metrics_lines(keeper: IdempotencyService | None) -> list[str]:
    """The metrics of the effect memory, in the text format."""
    if keeper is None:
        return []
    counts = keeper.metrics()
    denied = counts.pop("denied")
    flat = counts | {f"denied_{reason.replace('-', '_')}": count for reason, count in denied.items()}
    return [f"effects_{name} {value}" for name, value in flat.items()]
