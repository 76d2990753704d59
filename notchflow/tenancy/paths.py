"""One spelling for each path: what a route is chosen by is what is sent on.

Two readers of one path must not differ, else a tenant reaches by the box's reading what the door's reading
forbids. So a path comes out in the normal form of RFC 3986 section 6.2.2, and what is read differently by
different servers (dot segments, escaped slashes, escapes of escapes, empty segments) is turned away rather
than guessed at.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

PATH_MAX: Final = 4 << 10  # octets; far above any route, far below what a box's line takes
SEGMENTS_MAX: Final = 32
# A path that is normal already, which nearly all are: unreserved characters and sub-delimiters, no escapes.
PLAIN: Final = re.compile(rb"(?:/(?!\.{1,2}(?:/|\Z))[A-Za-z0-9\-._~!$&'()*+,;=:@]+)+/?")
SEGMENT: Final = re.compile(rb"(?:[A-Za-z0-9\-._~!$&'()*+,;=:@]|%[0-9A-Fa-f]{2})+")
ESCAPE: Final = re.compile(rb"%([0-9A-Fa-f]{2})")
QUERY: Final = re.compile(rb"(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/?]|%[0-9A-Fa-f]{2})*")
UNRESERVED: Final = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
AMBIGUOUS: Final = frozenset(b"/\\%") | frozenset(range(0x20)) | {0x7F}
ABSOLUTE: Final = re.compile(rb"[Hh][Tt][Tt][Pp]://([^/?#]*)(.*)", re.DOTALL)
HOST: Final = re.compile(rb"(?:[A-Za-z0-9._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\])(?::[0-9]{1,5})?")


class PathFault(ValueError):
    """A target that has no one reading; the text says what is wrong with it."""


@dataclass(frozen=True, slots=True)
class Target:
    """A request target in normal form. `authority` is that of an absolute form, else None."""

    path: str
    query: bytes | None
    authority: bytes | None = None

    @property
    def segments(self) -> list[str]:
        return self.path[1:].split("/")


def _unescape(found: re.Match[bytes]) -> bytes:
    octet = int(found[1], 16)
    if octet in AMBIGUOUS:
        raise PathFault(f"the escape {found[0].decode()} is read differently by different servers")
    return bytes((octet,)) if octet in UNRESERVED else b"%%%02X" % octet


def _segment(raw: bytes) -> bytes:
    if not raw:
        raise PathFault("an empty segment (two slashes in a row)")
    if SEGMENT.fullmatch(raw) is None:
        raise PathFault("a character that no path has, or a % without two hexadecimal digits")
    normal = ESCAPE.sub(_unescape, raw)
    if normal in (b".", b".."):
        raise PathFault("a dot segment")
    return normal


def normalise(url: bytes) -> Target:
    """A target in origin or absolute form (RFC 9112 section 3.2), or a PathFault."""
    authority = None
    if not url.startswith(b"/"):
        absolute = ABSOLUTE.fullmatch(url)
        if absolute is None:
            raise PathFault("neither a path nor an http:// address")
        authority, url = absolute[1], absolute[2] or b"/"
        if HOST.fullmatch(authority) is None:
            raise PathFault("an address without a proper host")
    path, mark, query = url.partition(b"?")
    if len(path) > PATH_MAX or path.count(b"/") > SEGMENTS_MAX:
        raise PathFault(f"a path of over {PATH_MAX} octets or {SEGMENTS_MAX} segments")
    if mark and QUERY.fullmatch(query) is None:
        raise PathFault("a character that no query has, or a % without two hexadecimal digits")
    if PLAIN.fullmatch(path) is None and path != b"/":
        *parts, last = path[1:].split(b"/")
        path = b"".join(b"/" + _segment(part) for part in parts) + b"/" + (_segment(last) if last else b"")
    return Target(path.decode("ascii"), query if mark else None, authority)
