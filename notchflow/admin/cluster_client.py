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

from notchflow.admin.client import DEFAULT_URL, ApiError, Client, TokenNotFound, load_token, print_result
from notchflow.cluster import histories
from notchflow.cluster.fleet_metrics import CLASS_METRICS

POLL_INTERVAL_S: Final = 0.5
MIN_WIDTH: Final = 120  # columns of the members table, even on a narrower terminal or a pipe


def make_parser() -> argparse.ArgumentParser:
    """The commands; the first line of this module is the description that `--help` prints."""
    parser = argparse.ArgumentParser(prog="notchflow cluster", description=__doc__)
    parser.add_argument(
        "--url",
        default=os.environ.get("NOTCHFLOW_ADMIN", DEFAULT_URL),
        help="the API of one instance (default: $NOTCHFLOW_ADMIN, else %(default)s)",
    )
    parser.add_argument("--token-file", type=Path, help="a file with the token (default: $NOTCHFLOW_TOKEN)")
    parser.add_argument("--json", action="store_true", help="JSON instead of tables")
    commands = parser.add_subparsers(dest="call", required=True)
    commands.add_parser("members", help="the members as this instance sees them")
    watch = commands.add_parser("watch", help="the same, as it changes")
    watch.add_argument("--seconds", type=float, default=0.0, help="end after so long (default: at Ctrl-C)")
    commands.add_parser("versions", help="the rules that the fleet agrees on, as this instance has them")
    commands.add_parser("figures", help="requests by class over the whole fleet")
    history = commands.add_parser("history", help="histories of instances, merged into one")
    history.add_argument("files", type=Path, nargs="+", help="the files that cluster.history names")
    history.add_argument("--most", type=int, default=0, help="only so many of the last lines")
    return parser


def main(arguments: Sequence[str]) -> int:
    """Runs one command; returns the exit status: 1 if the request failed, 2 if the arguments are invalid."""
    options = make_parser().parse_args(arguments)
    if options.call == "history":
        return _print_history(options)
    try:
        client = Client(options.url, load_token(options.token_file))
        if options.call == "watch":
            return _watch_members(client, options)
        view = client.request("GET", "/v1/cluster")
        if options.call in SECTIONS:
            return _print_section(view, *SECTIONS[options.call], options.json)
        _print_members(view, options.json)
    except TokenNotFound as error:
        print(f"notchflow cluster: {error}", file=sys.stderr)
        return 2
    except ApiError as error:
        print(f"notchflow cluster: {error}", file=sys.stderr)
        return 1
    return 0


def _print_history(options: argparse.Namespace) -> int:
    missing = [str(path) for path in options.files if not path.is_file()]
    if missing:
        print(f"notchflow cluster: no such file: {', '.join(missing)}", file=sys.stderr)
        return 2
    lines = histories.merge(options.files)
    if options.json:
        print_result(lines[-options.most :] if options.most else lines, True)
    else:
        for text in histories.format_lines(lines, options.most):
            print(text)
    return 0


def _print_section(
    view: dict[str, Any],
    name: str,
    missing_message: str,
    print_view: Callable[[dict[str, Any]], None],
    as_json: bool,
) -> int:
    """Prints a section of the view that not every fleet has; returns 1 if it is missing, else 0."""
    if view.get(name) is None:
        print(f"notchflow cluster: {missing_message}", file=sys.stderr)
        return 1
    if as_json:
        print_result(view[name], True)
    else:
        print_view(view)
    return 0


def _print_rules(view: dict[str, Any]) -> None:
    rules = view["rules"]
    missing_entries = {name: rules["agreed"] - match for name, match in rules["peers"].items()}
    acts_text = (
        f"acts on them for {rules['lease_ms'] / 1e3:.1f} s more"
        if rules["acts"]
        else "does not act on them: it hears no majority, or lacks what is agreed"
    )
    print(
        f"version {rules['version']} ({rules['digest']}), in force here up to {rules['applied']} of "
        f"{rules['agreed']} agreed; {acts_text}"
    )
    print(
        f"{rules['role']} in term {rules['term']}, leader {rules['leader'] or 'unknown'}; two instances "
        f"contradict each other for {view['bounds']['rules_ms'] / 1e3:g} s at most"
    )
    for name, count in sorted(missing_entries.items()):
        print(f"{name}: {'all' if count <= 0 else f'{count} places behind'}")


def _print_metrics(view: dict[str, Any]) -> None:
    metrics = view["figures"]
    missing_names = ", ".join(metrics["missing"]) or "nobody"
    table = Table(
        title="requests by class, all instances",
        caption=f"the oldest part is {metrics['age_ms'] / 1e3:g} s old; missing: {missing_names}",
    )
    columns = [name for name in CLASS_METRICS if name]
    for name in ("class", *columns):
        table.add_column(name, justify="left" if name == "class" else "right")
    for name, values in metrics["classes"].items():
        table.add_row(name, *(str(values[column]) for column in columns))
    Console().print(table)


SECTIONS: Final[dict[str, tuple[str, str, Callable[[dict[str, Any]], None]]]] = {
    "versions": ("rules", 'each instance has rules of its own; set cluster.rules = "fleet"', _print_rules),
    "figures": ("figures", 'each instance counts by itself; set cluster.limits = "fleet"', _print_metrics),
}


def _print_members(view: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print_result(view, True)
        return
    console = Console()
    console = Console(width=max(console.width, MIN_WIDTH))
    console.print(members_table(view))
    for line in view["disagreements"]:
        console.print(f"disagreement: {line}", markup=False)


def members_table(view: dict[str, Any]) -> Table:
    """The members of a view as a table."""
    bounds = ", ".join(f"{name.removesuffix('_ms')} {ms / 1e3:g} s" for name, ms in view["bounds"].items())
    table = Table(
        title=f"{view['name']} ({view['hold']}), standing {view['standing']}, "
        f"{view['balancers']} proxies counted",
        caption=f"bounds: {bounds}",
    )
    for name in ("member", "state", "link", "heard", "incarnation", "version", "address"):
        table.add_column(name, justify="right" if name == "heard" else "left")
    for member in view["members"]:
        heard = "-" if member["heard_ms"] is None else f"{member['heard_ms']:.0f} ms ago"
        table.add_row(
            member["name"],
            member["state"],
            member["link"],
            heard,
            member["incarnation"] or "-",
            member["version"] or "-",
            member["address"] or "-",
        )
    return table


def _watch_members(client: Client, options: argparse.Namespace) -> int:
    """Shows a live table on a terminal; elsewhere prints a line for each change."""
    console = Console()
    end_at = time.monotonic() + options.seconds if options.seconds else float("inf")
    last_line = ""
    try:
        with Live(console=console, auto_refresh=False) as live:
            while True:
                view = client.request("GET", "/v1/cluster")
                if console.is_terminal and not options.json:
                    live.update(members_table(view), refresh=True)
                else:
                    states = " ".join(
                        f"{member['name']}={member['state']}/{member['link']}" for member in view["members"]
                    )
                    line = f"standing={view['standing']} {states}"
                    if line != last_line:
                        print(line, flush=True)
                    last_line = line
                if time.monotonic() >= end_at:
                    return 0
                time.sleep(POLL_INTERVAL_S)
    except KeyboardInterrupt:
        return 0
