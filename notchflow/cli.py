"""The command line. Each command imports only what it needs."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence
from importlib import import_module
from importlib.util import find_spec
from pathlib import Path

EXIT_USAGE = 2
# Commands with their own parser, and the module that has it.
COMMAND_MODULES = {
    "admin": "notchflow.admin.client",
    "lab": "notchflow.emulator.command",
    "cluster": "notchflow.admin.cluster_client",
    "fleet": "notchflow.faults.command",
}


def parser() -> argparse.ArgumentParser:
    """The parser of the commands and their options."""
    top = argparse.ArgumentParser(
        prog="notchflow",
        description="A load-balancing proxy. Without a command, and with ROUTER_CONFIG "
        "set, it is the platform's proxy.",
    )
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="run the hosted service with an operator file")
    serve.add_argument("file", type=Path)
    check = commands.add_parser("check", help="check an operator file and report all its errors at once")
    check.add_argument("file", type=Path)
    demo = commands.add_parser("demo", help="the whole service with stand-ins and a small load, on loopback")
    demo.add_argument("--seconds", type=float, default=0.0, help="end after this time (default: at Ctrl-C)")
    demo.add_argument("--rate", type=float, default=60.0, help="requests per second in total (default: 60)")
    demo.add_argument("--plain", action="store_true", help="lines instead of a live table")
    admin = commands.add_parser("admin", help="call the administration API", add_help=False)
    admin.add_argument("rest", nargs=argparse.REMAINDER)
    lab = commands.add_parser(
        "lab", help="emulated days of traffic, for the policy and its alternatives", add_help=False
    )
    lab.add_argument("rest", nargs=argparse.REMAINDER)
    cluster = commands.add_parser("cluster", help="the fleet as one instance sees it", add_help=False)
    cluster.add_argument("rest", nargs=argparse.REMAINDER)
    fleet = commands.add_parser(
        "fleet", help="a fleet on loopback to try, and faults between its processes", add_help=False
    )
    fleet.add_argument("rest", nargs=argparse.REMAINDER)
    store = commands.add_parser(
        "store", help="check, dump, compact or repair a store that no process has open"
    )
    store.add_argument("action", choices=("check", "dump", "compact", "repair"))
    store.add_argument("folder", type=Path, help="the store's folder, or a copy of it")
    store.add_argument("--all", action="store_true", help="dump: include deletes and superseded records")
    return top


def _missing_packages(command: str) -> str | None:
    required = ("fastapi", "uvicorn", "httpx", "rich", "numpy", "google_crc32c", "msgspec")
    missing = [name for name in required if find_spec(name) is None]
    if not missing:
        return None
    return (
        f"notchflow: {command} needs {', '.join(missing)}, which are not installed; "
        "install the extra: pip install 'notchflow[hosted]'"
    )


def _serve(file: Path) -> int:
    from notchflow import logs
    from notchflow.hosting.service import serve

    logs.configure_logging()
    return serve(file)


def _check(file: Path) -> int:
    from notchflow.hosting.file import InvalidFileError, load

    try:
        load(file)
    except InvalidFileError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    print(f"{file}: valid")
    return 0


def _demo(seconds: float, rate: float, plain: bool) -> int:
    if rate <= 0:
        print(f"notchflow: --rate is {rate:g}; it must be above 0", file=sys.stderr)
        return EXIT_USAGE
    from notchflow.hosting.demo import run

    return run(seconds, rate, plain)


def main(arguments: Sequence[str]) -> int:
    """Runs a command; returns its exit status."""
    words = list(arguments)
    if words[:1] and words[0] in COMMAND_MODULES:
        error = _missing_packages(words[0])
        if error is not None:
            print(error, file=sys.stderr)
            return 1
        run_command: Callable[[Sequence[str]], int] = import_module(COMMAND_MODULES[words[0]]).main
        return run_command(words[1:])
    options = parser().parse_args(words)
    error = _missing_packages(options.command)
    if error is not None:
        print(error, file=sys.stderr)
        return 1
    if options.command == "serve":
        return _serve(options.file)
    if options.command == "check":
        return _check(options.file)
    if options.command == "store":
        from notchflow.effects.command import run

        return run(options)
    return _demo(options.seconds, options.rate, options.plain)
