"""What the memory of effects costs a request: `python -m benchmarks.effects [--quick]`.

Two hosted proxies on the same boxes, with the memory and without, asked in turn at a rate that both take
easily: payments under ever new keys (their intent is durable before they are sent), keyed writes and reads.
The latencies are a client's. Only payments may pay: the bar is on the middle of the others, over what two
runs of one and the same proxy differ by.
"""

from __future__ import annotations

import argparse
import itertools
import sys
from contextlib import ExitStack

import uvloop

from benchmarks.rig import ROOT, run_nodes
from benchmarks.tenancy import hosted, paced
from standins.box import Work
from standins.load import Draw, Tally

RATE = 120.0
OTHERS_MAX_MS = 0.25  # more in the middle than without, for classes that pay nothing
KINDS = ("pay", "slot", "read")

CONFIG = """
[service]
state = "state"
[[listeners]]
address = "127.0.0.1:{port}"
[admin]
address = "127.0.0.1:{admin}"
[fleet]
discovery = "{discovery}"
[[classes]]
name = "read"
aim_ms = 300.0
deadline_ms = 1000.0
effect = "safe"
[[classes]]
name = "slot"
aim_ms = 300.0
deadline_ms = 1000.0
effect = "keyed"
window_ms = 750.0
[[classes]]
name = "pay"
aim_ms = 300.0
deadline_ms = 1000.0
effect = "unsafe"
[tenants.limits]
rate_per_s = 1000000.0
burst = 1000000.0
in_hand = 100000
[[tenants.routes]]
method = "GET"
path = "/menus/{{day}}"
class = "read"
[[tenants.routes]]
method = "PUT"
path = "/menus/{{day}}/slots"
class = "slot"
[[tenants.routes]]
method = "POST"
path = "/orders/{{day}}/pay"
class = "pay"
"""
EFFECTS = "[effects]\nunsafe_s = 3600.0\n"


def draw(kind: str, token: str, mark: str) -> Draw:
    """Requests of one kind; payments and writes under a new key each."""
    count = itertools.count()
    method, path = {
        "pay": ("POST", "/orders/d{}/pay"),
        "slot": ("PUT", "/menus/d{}/slots"),
        "read": ("GET", "/menus/d{}"),
    }[kind]

    def one() -> tuple[bytes, str]:
        number = next(count)
        body = "" if kind == "read" else "due=100"
        key = "" if kind == "read" else f"Idempotency-Key: {mark}-{number}\r\nContent-Length: {len(body)}\r\n"
        line = f"{method} {path.format(number % 50)} HTTP/1.1\r\nHost: a\r\n"
        return f"{line}Authorization: Bearer {token}\r\n{key}\r\n{body}".encode(), kind

    return one


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="half a minute instead of two")
    quick = parser.parse_args().quick
    rounds, seconds = (2, 1.5) if quick else (4, 4.0)
    best: dict[tuple[str, str], float] = {}
    tails: dict[tuple[str, str], float] = {}
    lost = 0
    with ExitStack() as stack:
        discovery, _ = stack.enter_context(run_nodes(3, Work(0.002, 8)))
        proxies = {  # their state is on the disk of this checkout
            name: stack.enter_context(hosted(discovery, ["only-one"], config=CONFIG + more, within=ROOT))
            for name, more in (("with", EFFECTS), ("without", ""), ("without_again", ""))
        }
        for round_ in range(rounds):
            for name, (port, _, tokens) in proxies.items():
                for kind in KINDS:
                    asked = draw(kind, tokens["only-one"], f"{round_}-{name}-{kind}")
                    tally: Tally
                    (tally,) = uvloop.run(paced(port, (RATE, asked), seconds=seconds))
                    lost += tally.lost + tally.asked(kind) - tally.served
                    middle = tally.percentile(0.5)
                    best[name, kind] = min(best.get((name, kind), middle), middle)
                    tails[name, kind] = max(tails.get((name, kind), 0.0), tally.percentile(0.99))
    for (name, kind), middle in best.items():
        print(f"{kind}_{name}_median = {middle:.3f} ms")
        print(f"{kind}_{name}_p99_worst = {tails[name, kind]:.3f} ms")
    missed = []
    for kind in KINDS:
        cost = best["with", kind] - min(best["without", kind], best["without_again", kind])
        noise = abs(best["without", kind] - best["without_again", kind])
        print(f"{kind}_cost = {cost:.3f} ms")
        print(f"{kind}_noise = {noise:.3f} ms")
        if kind != "pay" and cost > OTHERS_MAX_MS + noise:
            missed.append(kind)
    print(f"not_served = {lost} requests")
    for kind in missed:
        print(f"missed: {kind} pays for the memory", file=sys.stderr)
    return int(bool(missed) or lost > 0)


if __name__ == "__main__":
    sys.exit(main())
