"""`notchflow cluster`: the fleet as one instance sees it, from a terminal."""

from __future__ import annotations

import argparse
import os
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Final

from rich.console import Console
from rich.live import Live
from rich.table import Table

from notchflow.admin.client import DEFAULT_URL, CallFailed, Client, NoToken, show, token_of
from notchflow.cluster import histories
from notchflow.cluster.fleet_metrics import CLASS_METRICS

EVERY_S: Final = 0.5
WIDTH: Final = 120  # the table's, whatever it is printed to


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(prog="notchflow cluster", description=__doc__)
    made.add_argument(
        "--url",
        default=os.environ.get("NOTCHFLOW_ADMIN", DEFAULT_URL),
        help="the API of one instance (default: $NOTCHFLOW_ADMIN, else %(default)s)",
    )
    made.add_argument("--token-file", type=Path, help="a file with the token (default: $NOTCHFLOW_TOKEN)")
    made.add_argument("--json", action="store_true", help="JSON instead of tables")
    calls = made.add_subparsers(dest="call", required=True)
    calls.add_parser("members", help="the members as this instance sees them")
    watch = calls.add_parser("watch", help="the same, as it changes")
    watch.add_argument("--seconds", type=float, default=0.0, help="end after so long (default: at Ctrl-C)")
    calls.add_parser("versions", help="the rules that the fleet agrees on, as this instance has them")
    calls.add_parser("figures", help="requests by class over the whole fleet")
    told = calls.add_parser("history", help="histories of instances, merged into one")
    told.add_argument("files", type=Path, nargs="+", help="the files that cluster.history names")
    told.add_argument("--most", type=int, default=0, help="only so many of the last lines")
    return made


def main(arguments: Sequence[str]) -> int:
    """0: done; 1: the call failed; 2: its words are off."""
    options = parser().parse_args(arguments)
    if options.call == "history":
        return _history(options)
    try:
        client = Client(options.url, token_of(options.token_file))
        if options.call == "watch":
            return _watch(client, options)
        found = client.call("GET", "/v1/cluster")
        if options.call in PARTS:
            return _part(found, *PARTS[options.call], options.json)
        _show(found, options.json)
    except NoToken as error:
        print(f"notchflow cluster: {error}", file=sys.stderr)
        return 2
    except CallFailed as error:
        print(f"notchflow cluster: {error}", file=sys.stderr)
        return 1
    return 0


def _history(options: argparse.Namespace) -> int:
    missing = [str(path) for path in options.files if not path.is_file()]
    if missing:
        print(f"notchflow cluster: no such file: {', '.join(missing)}", file=sys.stderr)
        return 2
    lines = histories.merge(options.files)
    if options.json:
        show(lines[-options.most :] if options.most else lines, True)
    else:
        for text in histories.format_lines(lines, options.most):
            print(text)
    return 0


def _part(
    found: dict[str, Any], name: str, without: str, tell: Callable[[dict[str, Any]], None], as_json: bool
) -> int:
    """A part of the view that not every fleet has; 1: this one has not."""
    if found.get(name) is None:
        print(f"notchflow cluster: {without}", file=sys.stderr)
        return 1
    if as_json:
        show(found[name], True)
    else:
        tell(found)
    return 0


def _versions(found: dict[str, Any]) -> None:
    rules = found["rules"]
    behind = {name: rules["agreed"] - match for name, match in rules["peers"].items()}
    acts = (
        f"acts on them for {rules['lease_ms'] / 1e3:.1f} s more"
        if rules["acts"]
        else "does not act on them: it hears no majority, or lacks what is agreed"
    )
    print(
        f"version {rules['version']} ({rules['digest']}), in force here up to {rules['applied']} of "
        f"{rules['agreed']} agreed; {acts}"
    )
    print(
        f"{rules['role']} in term {rules['term']}, leader {rules['leader'] or 'unknown'}; two instances "
        f"contradict each other for {found['bounds']['rules_ms'] / 1e3:g} s at most"
    )
    for name, count in sorted(behind.items()):
        print(f"{name}: {'all' if count <= 0 else f'{count} places behind'}")


def _figures(found: dict[str, Any]) -> None:
    figures = found["figures"]
    missing = ", ".join(figures["missing"]) or "nobody"
    made = Table(
        title="requests by class, all instances",
        caption=f"the oldest part is {figures['age_ms'] / 1e3:g} s old; missing: {missing}",
    )
    names = [name for name in CLASS_METRICS if name]
    for name in ("class", *names):
        made.add_column(name, justify="left" if name == "class" else "right")
    for name, values in figures["classes"].items():
        made.add_row(name, *(str(values[column]) for column in names))
    Console().print(made)


PARTS: Final[dict[str, tuple[str, str, Callable[[dict[str, Any]], None]]]] = {
    "versions": ("rules", 'each instance has rules of its own; set cluster.rules = "fleet"', _versions),
    "figures": ("figures", 'each instance counts by itself; set cluster.limits = "fleet"', _figures),
}


def _show(found: dict[str, Any], as_json: bool) -> None:
    if as_json:
        show(found, True)
        return
    console = Console()
    console = Console(width=max(console.width, WIDTH))
    console.print(table(found))
    for line in found["disagreements"]:
        console.print(f"disagreement: {line}", markup=False)


def table(found: dict[str, Any]) -> Table:
    """The members of a view."""
    bounds = ", ".join(f"{name.removesuffix('_ms')} {ms / 1e3:g} s" for name, ms in found["bounds"].items())
    made = Table(
        title=f"{found['name']} ({found['hold']}), standing {found['standing']}, "
        f"{found['balancers']} proxies counted",
        caption=f"bounds: {bounds}",
    )
    for name in ("member", "state", "link", "heard", "incarnation", "version", "address"):
        made.add_column(name, justify="right" if name == "heard" else "left")
    for one in found["members"]:
        heard = "-" if one["heard_ms"] is None else f"{one['heard_ms']:.0f} ms ago"
        made.add_row(
            one["name"],
            one["state"],
            one["link"],
            heard,
            one["incarnation"] or "-",
            one["version"] or "-",
            one["address"] or "-",
        )
    return made


def _watch(client: Client, options: argparse.Namespace) -> int:
    """A live table on a terminal; elsewhere a line for each change."""
    console = Console()
    until = time.monotonic() + options.seconds if options.seconds else float("inf")
    before = ""
    try:
        with Live(console=console, auto_refresh=False) as live:
            while True:
                found = client.call("GET", "/v1/cluster")
                if console.is_terminal and not options.json:
                    live.update(table(found), refresh=True)
                else:
                    states = " ".join(f"{m['name']}={m['state']}/{m['link']}" for m in found["members"])
                    line = f"standing={found['standing']} {states}"
                    if line != before:
                        print(line, flush=True)
                    before = line
                if time.monotonic() >= until:
                    return 0
                time.sleep(EVERY_S)
    except KeyboardInterrupt:
        return 0
