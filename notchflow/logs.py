"""Logging to standard error."""

from __future__ import annotations

import logging
import time

# minimum time between two records of one message: a failure may repeat a thousand times a second
MIN_REPEAT_INTERVAL_S = 10.0


class RateLimitFilter(logging.Filter):
    """Limits the rate of each message; the next one that passes states how many were suppressed."""

    def __init__(self) -> None:
        super().__init__()
        # by message template, so bounded by the number of messages in the code
        self.last_logged: dict[str, tuple[float, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the record is logged."""
        logged_at, suppressed = self.last_logged.get(record.msg, (-MIN_REPEAT_INTERVAL_S, 0))
        now = time.monotonic()
        if now < logged_at + MIN_REPEAT_INTERVAL_S:
            self.last_logged[record.msg] = logged_at, suppressed + 1
            return False
        self.last_logged[record.msg] = now, 0
        if suppressed:
            record.msg = f"{record.msg} ({suppressed} more before)"
        return True


def configure_logging() -> None:
    """Starts logging to standard error."""
    handler = logging.StreamHandler()
    handler.addFilter(RateLimitFilter())
    logging.basicConfig(
        level=logging.INFO, handlers=[handler], format="%(asctime)s %(levelname)s %(message)s"
    )
