"""The adapter: reads event batches on standard input and writes the replies to standard output.

Every instance is a Balancer of its own; nothing is shared between them. It decides nothing.
"""

from __future__ import annotations

import sys
from typing import TextIO

from notchflow import wire
from notchflow.interface import Event, Member
from notchflow.policy.balancer import Balancer


class Drill:
    """The instances of one process and the batch in hand."""

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.source, self.sink = source, sink
        self.line_number = 0
        self.balancers: dict[str, tuple[Balancer, tuple[str, ...]]] = {}

    def _line(self) -> str | None:
        line = self.source.readline()
        if not line:
            return None
        self.line_number += 1
        return line.rstrip("\r\n")

    def run(self) -> None:
        """Answers batches until the input ends."""
        while (line := self._line()) is not None:
            if not line:
                continue
            name, fields = wire.split(line)
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
        instance, speaker = "", ""
        while (line := self._line()) is not None:
            if line == "commit":
                return reply
            name, _, rest = line.partition("\t")
            if name == "attach":  # its settings are a text that runs to the end of the line
                head, mark, config = rest.partition("Config=")
                if not mark:
                    raise wire.WireError("expected the field Config")
                _, fields = wire.split("attach\t" + head.strip("\t") if head.strip("\t") else "attach")
                config, _, tail = config.partition("\t")
                fields.update(wire.split("attach\t" + tail)[1] if tail else {})
                settings, report_fields = wire.decode_settings(config)
                if not instance:
                    raise wire.WireError("expected select before attach")
                seed = wire.integer(fields, "RngSeed")
                self.balancers[instance] = Balancer(settings, seed, now), report_fields
                continue
            name, fields = wire.split(line)
            if name == "select":
                instance = wire.text(fields, "I")
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
            except Exception as error:  # the cause goes to the operators and ends the day
                cause = f"{type(error).__name__}: {error}".replace("\t", " ").replace("\n", " ")
                reply.extend((f"on_behalf\tI={instance}", f"internal_error\tReasonText={cause}"))
                speaker = instance
                continue
            if actions and speaker != instance:
                reply.append(f"on_behalf\tI={instance}")
                speaker = instance
            reply.extend(map(wire.encode, actions))
        return None

    def _members(self, count: int) -> tuple[Member, ...]:
        members = []
        for _ in range(count):
            name, fields = wire.split(self._line() or "")
            if name != "item":
                raise wire.WireError(f"expected item, got {name[:40]!r}")
            members.append(wire.decode_member(fields))
        return tuple(members)


def main() -> int:
    """Runs until the input ends; a line off the wire ends it with a plain message."""
    drill = Drill(sys.stdin, sys.stdout)
    try:
        drill.run()
    except (wire.WireError, ValueError) as error:
        print(f"line {drill.line_number}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
