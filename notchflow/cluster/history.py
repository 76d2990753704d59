"""History of an instance as JSON lines with monotonic timestamps; those of one machine can be merged."""

from __future__ import annotations

import json
import logging
import os
import time
from pathlib import Path
from typing import Any, Final

log = logging.getLogger(__name__)
FILE_BYTES_MAX: Final = 16 << 20  # then the file is renamed to NAME.1 and a new one begins


class History:
    """Writes the history of one instance. Errors of the disk lose lines but never stop the service."""

    def __init__(self, path: Path | None, who: str) -> None:
        self.path, self.who = path, who
        self.fd = -1
        self.size = 0
        self.lost_lines = 0
        if path is not None:
            self._open()

    def _open(self) -> None:
        assert self.path is not None
        try:
            self.fd = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o640)
            self.size = os.fstat(self.fd).st_size
        except OSError as error:
            log.warning("the history cannot be written: %s", error)

    def note(self, incarnation: str, what: str, **more: Any) -> None:
        """Appends one line with a single write."""
        if self.fd < 0:
            return
        line = {"t": time.monotonic_ns(), "who": self.who, "incarnation": incarnation, "what": what, **more}
        data = json.dumps(line, separators=(",", ":")).encode() + b"\n"
        try:
            if self.size + len(data) > FILE_BYTES_MAX:
                self._rotate()
            self.size += os.write(self.fd, data)
        except OSError as error:
            self.lost_lines += 1
            log.warning("the history cannot be written: %s", error)

    def _rotate(self) -> None:
        assert self.path is not None
        os.rename(self.path, self.path.with_name(self.path.name + ".1"))
        os.close(self.fd)
        self._open()

    def close(self) -> None:
        """Closes the file."""
        if self.fd >= 0:
            os.close(self.fd)
            self.fd = -1
