"""Path normalisation: the path that is routed is the path that is forwarded.

If the proxy and a node interpreted a path differently, a tenant could reach at the node what the proxy
denies. Paths are therefore brought into the normal form of RFC 3986 section 6.2.2, and forms that servers
interpret differently (dot segments, escaped slashes, double escapes, empty segments) are rejected.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

PATH_MAX: Final = 4 << 10  # octets; far above any route, far below a node's limit for the request line
SEGMENTS_MAX: Final = 32
# A path already in normal form, as nearly all are: unreserved characters and sub-delimiters, no escapes.
NORMAL_PATH: Final = re.compile(rb"(?:/(?!\.{1,2}(?:/|\Z))[A-Za-z0-9\-._~!$&'()*+,;=:@]+)+/?")
SEGMENT: Final = re.compile(rb"(?:[A-Za-z0-9\-._~!$&'()*+,;=:@]|%[0-9A-Fa-f]{2})+")
ESCAPE: Final = re.compile(rb"%([0-9A-Fa-f]{2})")
QUERY: Final = re.compile(rb"(?:[A-Za-z0-9\-._~!$&'()*+,;=:@/?]|%[0-9A-Fa-f]{2})*")
UNRESERVED_OCTETS: Final = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
AMBIGUOUS_OCTETS: Final = frozenset(b"/\\%") | frozenset(range(0x20)) | {0x7F}
ABSOLUTE_FORM: Final = re.compile(rb"[Hh][Tt][Tt][Pp]://([^/?#]*)(.*)", re.DOTALL)
HOST: Final = re.compile(rb"(?:[A-Za-z0-9._-]{1,253}|\[[0-9A-Fa-f:.]{2,45}\])(?::[0-9]{1,5})?")


class PathError(ValueError):
    """A target that is invalid or ambiguous; the message names the problem."""


@dataclass(frozen=True, slots=True)
class Target:
    """A request target in normal form. `authority` is set for a target in absolute form only."""

    path: str
    query: bytes | None
    authority: bytes | None = None

    @property
    def segments(self) -> list[str]:
        """The path split at its slashes."""
        return self.path[1:].split("/")


def _unescape(escape: re.Match[bytes]) -> bytes:
    octet = int(escape[1], 16)
    if octet in AMBIGUOUS_OCTETS:
        raise PathError(f"the escape {escape[0].decode()} is read differently by different servers")
    return bytes((octet,)) if octet in UNRESERVED_OCTETS else b"%%%02X" % octet


def _normalise_segment(raw: bytes) -> bytes:
    if not raw:
        raise PathError("an empty segment (two slashes in a row)")
    if SEGMENT.fullmatch(raw) is None:
        raise PathError("a character that no path has, or a % without two hexadecimal digits")
    normal = ESCAPE.sub(_unescape, raw)
    if normal in (b".", b".."):
        raise PathError("a dot segment")
    return normal


def normalise_target(url: bytes) -> Target:
    """Parses and normalises a target in origin or absolute form (RFC 9112 section 3.2). PathError."""
    authority = None
    if not url.startswith(b"/"):
        absolute = ABSOLUTE_FORM.fullmatch(url)
        if absolute is None:
            raise PathError("neither a path nor an http:// address")
        authority, url = absolute[1], absolute[2] or b"/"
        if HOST.fullmatch(authority) is None:
            raise PathError("an address without a proper host")
    path, separator, query = url.partition(b"?")
    if len(path) > PATH_MAX or path.count(b"/") > SEGMENTS_MAX:
        raise PathError(f"a path of over {PATH_MAX} octets or {SEGMENTS_MAX} segments")
    if separator and QUERY.fullmatch(query) is None:
        raise PathError("a character that no query has, or a % without two hexadecimal digits")
    if NORMAL_PATH.fullmatch(path) is None and path != b"/":
        *segments, last = path[1:].split(b"/")
        path = (
            b"".join(b"/" + _normalise_segment(s) for s in segments)
            + b"/"
            + (_normalise_segment(last) if last else b"")
        )
    return Target(path.decode("ascii"), query if separator else None, authority)
