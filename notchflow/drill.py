"""The simulator's adapter: reads batches of events on standard input and writes replies on standard output.

Every simulated instance has its own Balancer and shares nothing with the others. The adapter decides nothing.
"""

from __future__ import annotations

import sys
from typing import TextIO

from notchflow import wire
from notchflow.interface import Event, Member
from notchflow.policy.balancer import Balancer


class Adapter:
    """The simulated instances of one process and the current batch."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source, self.sink = source, sink
        self.line_number = 0
        self.balancers: dict[str, tuple[Balancer, tuple[str, ...]]] = {}

    def _read_line(self) -> str | None:
        line = self.source.readline()
        if not line:
            return None
        self.line_number += 1
        return line.rstrip("\r\n")

    def run(self) -> None:
        """Answers batches until the input ends; raises WireError for a malformed line."""
        while (line := self._read_line()) is not None:
            if not line:
                continue
            name, fields = wire.split_line(line)
            if name != "tick":
                raise wire.WireError(f"expected tick, got {name[:40]!r}")
            reply = self._batch(wire.number(fields, "TimeMs"))
            if reply is None:
                return
            reply.append("ready\n")
            self.sink.write("\n".join(reply))
            self.sink.flush()

    def _batch(self, now: float) -> list[str] | None:
        reply: list[str] = []
        instance, announced = "", ""
        while (line := self._read_line()) is not None:
            if line == "commit":
                return reply
            name, _, rest = line.partition("\t")
            if name == "attach":  # its settings are JSON, up to the next tab or the line end
                head, separator, config = rest.partition("Config=")
                if not separator:
                    raise wire.WireError("expected the field Config")
                _, fields = wire.split_line("attach\t" + head.strip("\t") if head.strip("\t") else "attach")
                config, _, tail = config.partition("\t")
                fields.update(wire.split_line("attach\t" + tail)[1] if tail else {})
                settings, report_fields = wire.decode_settings(config)
                if not instance:
                    raise wire.WireError("expected select before attach")
                seed = wire.integer(fields, "RngSeed")
                self.balancers[instance] = Balancer(settings, seed, now), report_fields
                continue
            name, fields = wire.split_line(line)
            if name == "select":
                instance = wire.required(fields, "I")
                continue
            if name == "power_off":
                self.balancers.pop(instance, None)
                continue
            if instance not in self.balancers:
                raise wire.WireError(f"expected a running instance for {name[:40]!r}, got {instance[:40]!r}")
            balancer, report_fields = self.balancers[instance]
            event: Event
            if name == "sync":
                event = wire.decode_membership(fields, self._members(wire.integer(fields, "Hosts", 0)))
            else:
                event = wire.decode_event(name, fields, report_fields)
            try:
                actions = balancer.handle(now, event)
            except Exception as error:  # reported to the operators; ends the simulation
                cause = f"{type(error).__name__}: {error}".replace("\t", " ").replace("\n", " ")
                reply.extend((f"on_behalf\tI={instance}", f"internal_error\tReasonText={cause}"))
                announced = instance
                continue
            if actions and announced != instance:
                reply.append(f"on_behalf\tI={instance}")
                announced = instance
            reply.extend(map(wire.encode, actions))
        return None

    def _members(self, count: int) -> tuple[Member, ...]:
        members = []
        for _ in range(count):
            name, fields = wire.split_line(self._read_line() or "")
            if name != "item":
                raise wire.WireError(f"expected item, got {name[:40]!r}")
            members.append(wire.decode_member(fields))
        return tuple(members)


def main() -> int:
    """Runs until the input ends. A malformed line ends it with a one-line message and status 2."""
    adapter = Adapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except (wire.WireError, ValueError) as error:
        print(f"line {adapter.line_number}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
