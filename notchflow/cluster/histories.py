"""Histories of several processes, merged into true order by the machine's one monotonic clock."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, TypeAlias

HistoryLine: TypeAlias = dict[str, Any]


def read_lines(path: Path) -> Iterator[HistoryLine]:
    """The lines of a file, its former part before them; a last line that a kill cut off is left out."""
    for part in (path.with_name(path.name + ".1"), path):
        if not part.exists():
            continue
        for text in part.read_bytes().splitlines():
            try:
                yield json.loads(text)
            except ValueError:
                continue


def merge(paths: Iterable[Path]) -> list[HistoryLine]:
    """All lines of all files, by time."""
    return sorted((line for path in paths for line in read_lines(path)), key=lambda line: int(line["t"]))


def write_lines(path: Path, lines: Iterable[HistoryLine]) -> None:
    with path.open("w") as file:
        for line in lines:
            file.write(json.dumps(line, separators=(",", ":")) + "\n")


def format_lines(lines: Iterable[HistoryLine], most: int = 0) -> list[str]:
    """As text, one line each, in milliseconds from the first."""
    chosen = list(lines)
    begun = int(chosen[0]["t"]) if chosen else 0
    told = []
    for line in chosen[-most:] if most else chosen:
        more = " ".join(
            f"{name}={value}"
            for name, value in line.items()
            if name not in ("t", "who", "incarnation", "what")
        )
        told.append(f"{(int(line['t']) - begun) / 1e6:10.1f} {line['who']:8} {line['what']:10} {more}")
    return told
