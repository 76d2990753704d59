"""The program's log on standard error."""

from __future__ import annotations

import logging
import time

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


def configure_logging() -> None:
    """Logs to standard error from now on."""
    handler = logging.StreamHandler()
    handler.addFilter(Sparse())
    logging.basicConfig(
        level=logging.INFO, handlers=[handler], format="%(asctime)s %(levelname)s %(message)s"
    )
