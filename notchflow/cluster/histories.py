"""Reads, merges and formats histories of several processes on one machine, ordered by its monotonic clock."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, TypeAlias

HistoryLine: TypeAlias = dict[str, Any]


def read_lines(path: Path) -> Iterator[HistoryLine]:
    """Lines of a history, those of its rotated file first. A truncated last line is skipped."""
    for part in (path.with_name(path.name + ".1"), path):
        if not part.exists():
            continue
        for text in part.read_bytes().splitlines():
            try:
                yield json.loads(text)
            except ValueError:
                continue


def merge(paths: Iterable[Path]) -> list[HistoryLine]:
    """All lines of all files in the order of time."""
    return sorted((line for path in paths for line in read_lines(path)), key=lambda line: int(line["t"]))


def write_lines(path: Path, lines: Iterable[HistoryLine]) -> None:
    """Writes lines to a file."""
    with path.open("w") as file:
        for line in lines:
            file.write(json.dumps(line, separators=(",", ":")) + "\n")


def format_lines(lines: Iterable[HistoryLine], most: int = 0) -> list[str]:
    """Formats lines as text, with milliseconds since the first; at most the last `most` if it is not 0."""
    selected = list(lines)
    start_ns = int(selected[0]["t"]) if selected else 0
    formatted = []
    for line in selected[-most:] if most else selected:
        details = " ".join(
            f"{name}={value}"
            for name, value in line.items()
            if name not in ("t", "who", "incarnation", "what")
        )
        formatted.append(
            f"{(int(line['t']) - start_ns) / 1e6:10.1f} {line['who']:8} {line['what']:10} {details}"
        )
    return formatted
