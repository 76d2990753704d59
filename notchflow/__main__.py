"""The real proxy: reads its configuration, runs until it is told to stop, and says how it ended."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
import time

import uvloop

from notchflow.net.config import ConfigError, load, reload
from notchflow.net.host import Host

LOG_EVERY_S = 10.0  # a message comes at most this often: what goes wrong goes wrong a thousand times a second


class Sparse(logging.Filter):
    """Lets each message through now and then, with the number of those held back."""

    def __init__(self) -> None:
        super().__init__()
        self.seen: dict[str, tuple[float, int]] = {}  # as many entries as the code has messages

    def filter(self, record: logging.LogRecord) -> bool:
        at, held = self.seen.get(record.msg, (-LOG_EVERY_S, 0))
        now = time.monotonic()
        if now < at + LOG_EVERY_S:
            self.seen[record.msg] = at, held + 1
            return False
        self.seen[record.msg] = now, 0
        if held:
            record.msg = f"{record.msg} ({held} more before)"
        return True


log = logging.getLogger(__name__)


def on_hangup(host: Host) -> None:
    """Takes over the file as it is now; one that cannot be read changes nothing and ends nothing."""
    try:
        config = reload(os.environ)
    except ConfigError as error:
        log.error("the configuration stays as it was: %s", error)
        return
    host.reload(config)


def main() -> int:
    """Runs one proxy."""
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"notchflow: {error}", file=sys.stderr)
        return 2
    handler = logging.StreamHandler()
    handler.addFilter(Sparse())
    logging.basicConfig(level=logging.INFO, handlers=[handler],
                        format="%(asctime)s %(levelname)s %(message)s")
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    host = Host(config, loop)
    loop.add_signal_handler(signal.SIGHUP, on_hangup, host)
    loop.add_signal_handler(signal.SIGTERM, host.stop)
    loop.add_signal_handler(signal.SIGINT, host.stop)
    try:
        host.start()
    except OSError as error:
        print(f"notchflow: cannot listen on {config.listen[0]}:{config.listen[1]}: {error}", file=sys.stderr)
        return 1
    loop.run_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
