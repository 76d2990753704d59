"""The codec between the simulator's line protocol and the policy's events and actions. It decides nothing."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import TypeVar

from notchflow import settings
from notchflow.interface import (
    Action,
    Cancel,
    ClientGone,
    Event,
    Fail,
    ListKind,
    Member,
    Membership,
    Outcome,
    PeerMessage,
    Probe,
    Probed,
    Refuse,
    Request,
    Send,
    SetTimer,
    Settings,
    State,
    Status,
    StreamStarted,
    Timer,
    Watch,
)

Fields = dict[str, str]
_T = TypeVar("_T")

STATES = {"in_service": State.READY, "terminating": State.DRAINING, "terminated": State.GONE}
SCOPES = {
    "update": ListKind.DELTA,
    "replace": ListKind.FULL,
    "restored": ListKind.CACHED,
    "unavailable": ListKind.FAILED,
}
STATUSES = {
    "completed": Status.OK,
    "errored": Status.ERROR,
    "saturated": Status.FULL,
    "overdue": Status.TIMEOUT,
    "refused_conn": Status.CONNECT_FAILED,
    "severed": Status.RESET,
    "recalled": Status.CANCELLED,
    "superseded": Status.MOOT,
    "lookup_miss": Status.MISS,
}
LOAD_FIELD_NAMES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
    "x0": "x0",
    "x1": "x1",
}


class WireError(Exception):
    """A line that does not follow the protocol."""


def split_line(line: str) -> tuple[str, Fields]:
    """Returns a line's message name and fields. Unknown fields are kept and never read."""
    name, *pairs = line.split("\t")
    fields: Fields = {}
    for pair in pairs:
        key, separator, value = pair.partition("=")
        if not separator or not key:
            raise WireError(f"expected name=value, got {pair[:40]!r}")
        fields[key] = value
    return name, fields


def required(fields: Fields, name: str) -> str:
    """Returns a required field; raises WireError if it is missing."""
    if name not in fields:
        raise WireError(f"expected the field {name}")
    return fields[name]


def number(fields: Fields, name: str, default: float | None = None) -> float:
    """Returns a finite number, or the default for a missing field; raises WireError for anything else."""
    if name not in fields and default is not None:
        return default
    raw = required(fields, name)
    try:
        value = float(raw)
    except ValueError:
        raise WireError(f"expected a number in {name}, got {raw[:40]!r}") from None
    if value - value != 0:
        raise WireError(f"expected a finite number in {name}, got {raw[:40]!r}")
    return value


def integer(fields: Fields, name: str, default: int | None = None) -> int:
    """Returns an integer, or the default for a missing field; raises WireError for anything else."""
    if name not in fields and default is not None:
        return default
    raw = required(fields, name)
    try:
        return int(raw)
    except ValueError:
        raise WireError(f"expected an integer in {name}, got {raw[:40]!r}") from None


def flag(fields: Fields, name: str) -> bool:
    """Returns a boolean, false for a missing field; raises WireError for anything but 0 and 1."""
    raw = fields.get(name, "0")
    if raw not in ("0", "1"):
        raise WireError(f"expected 0 or 1 in {name}, got {raw[:40]!r}")
    return raw == "1"


def one_of(fields: Fields, name: str, table: Mapping[str, _T]) -> _T:
    """Returns the value that a table has for a field's word; raises WireError for an unknown word."""
    raw = required(fields, name)
    if raw not in table:
        raise WireError(f"expected one of {', '.join(table)} in {name}, got {raw[:40]!r}")
    return table[raw]


def load_report(fields: Fields, names: tuple[str, ...]) -> dict[str, float] | None:
    """Returns a load report under the policy's names, or None if there is none."""
    if not fields.get("Metrics"):
        return None
    values = fields["Metrics"].split(",")
    try:
        return {
            LOAD_FIELD_NAMES[n]: float(v)
            for n, v in zip(names, values, strict=False)
            if n in LOAD_FIELD_NAMES and v
        }
    except ValueError:
        raise WireError(f"expected numbers in Metrics, got {fields['Metrics'][:40]!r}") from None


def decode_member(fields: Fields) -> Member:
    """Decodes an `item` line, one member of a list."""
    return Member(
        node=integer(fields, "Node"),
        state=one_of(fields, "Readiness", STATES),
        kind=fields.get("FamilyType", ""),
        zone=fields.get("Zone", ""),
        cell=integer(fields, "Pod", 0),
        size=number(fields, "Size", 1.0),
        ready_at_ms=number(fields, "ReadyAtMs", 0.0),
    )


def decode_membership(fields: Fields, members: tuple[Member, ...]) -> Membership:
    """Decodes a `sync` line; its items are given as members."""
    return Membership(one_of(fields, "Scope", SCOPES), members, integer(fields, "Generation", 0))


def decode_event(name: str, fields: Fields, report_fields: tuple[str, ...]) -> Event:
    """Decodes any event but `sync`, which spans several lines; raises WireError."""
    if name == "ask":
        tenant = fields.get("Org")
        key = fields.get("RouteKey") or None
        if key is not None and not _is_hex(key):
            raise WireError(f"expected hex digits in RouteKey, got {key[:40]!r}")
        return Request(
            id=integer(fields, "MsgId"),
            cls=required(fields, "Grade"),
            deadline=number(fields, "NotAfterMs"),
            key=key,
            tenant=None if tenant in (None, "0", "") else tenant,
            hint_ms=number(fields, "WorkHintMs") if "WorkHintMs" in fields else None,
            size=number(fields, "BytesHint") if "BytesHint" in fields else None,
            retry=flag(fields, "Retry"),
            write=flag(fields, "Mutates"),
        )
    if name == "answer":
        detail = integer(fields, "Detail", 0)
        return Outcome(
            id=integer(fields, "MsgId"),
            attempt=integer(fields, "Hop"),
            node=integer(fields, "Node"),
            status=one_of(fields, "Rc", STATUSES),
            latency_ms=number(fields, "TimeTakenMs", 0.0),
            closed=flag(fields, "Closed"),
            hit=None if detail == 0 else detail == 1,
            load=load_report(fields, report_fields),
        )
    if name == "established":
        return StreamStarted(integer(fields, "MsgId"), integer(fields, "Hop"), integer(fields, "Node"))
    if name == "gone":
        return ClientGone(integer(fields, "MsgId"))
    if name == "reminder":
        return Timer(required(fields, "Nonce"))
    if name == "echo":
        return Probed(
            integer(fields, "Node"),
            one_of(fields, "Rc", STATUSES),
            number(fields, "TimeTakenMs", 0.0),
            load_report(fields, report_fields),
        )
    if name == "heard":
        data = fields.get("Contents", "-")
        if data != "-" and not _is_hex(data):
            raise WireError(f"expected hex digits in Contents, got {data[:40]!r}")
        return PeerMessage(integer(fields, "Src"), b"" if data == "-" else bytes.fromhex(data))
    raise WireError(f"expected a known message, got {name[:40]!r}")


def _is_hex(value: str) -> bool:
    return len(value) % 2 == 0 and all(c in "0123456789abcdefABCDEF" for c in value)


def encode(action: Action) -> str:
    """Encodes an action as a line, without the line end."""
    match action:
        case Send(request, node, timeout_ms):
            timeout = "" if timeout_ms is None else f"\tTimeoutMs={timeout_ms:.3f}"
            return f"call_out\tMsgId={request}{timeout}\tNode={node}"
        case Cancel(request, attempt):
            return f"cancel\tMsgId={request}\tHop={attempt}"
        case Refuse(request, retry_after_ms):
            retry_after = f"\tHoldOffMs={retry_after_ms:.3f}" if retry_after_ms > 0 else ""
            return f"deny\tMsgId={request}{retry_after}"
        case Fail(request):
            return f"finish_error\tMsgId={request}"
        case SetTimer(at, token):
            return f"wake_me\tTimeMs={at:.3f}\tNonce={token}"
        case Probe(node):
            return f"sound_out\tNode={node}"
        case Watch(on):
            return f"subscribe\tOn={int(on)}"


def decode_settings(raw: str) -> tuple[Settings, tuple[str, ...]]:
    """Returns the settings and the field names of load reports; raises WireError."""
    try:
        return settings.decode(json.loads(raw))
    except settings.SettingsError as error:
        raise WireError(f"Config: {error}") from None
    except ValueError as error:
        raise WireError(f"expected JSON in Config ({error})") from None
