"""Routes: map a method and a path to a request class, so that clients need no special headers.

A template is a path whose segments are literal or `{name}`; a parameter matches exactly one segment. If
several templates match, the one with the leftmost literal segment wins, whatever their order.
"""

from __future__ import annotations

import re
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final

from notchflow.tenancy.model import METHODS, ROUTES_MAX, Route
from notchflow.tenancy.paths import PathError, normalise_target

PARAMETER: Final = re.compile(r"\{([a-z][a-z0-9_]{0,31})\}")


def validate_routes(routes: Iterable[Route], classes: Collection[str]) -> list[tuple[str, str]]:
    """Validates routes; returns for each error its place (`0.path`) and what is wrong and allowed."""
    found: list[tuple[str, str]] = []
    seen: dict[tuple[str, str], int] = {}
    route_list = list(routes)
    if len(route_list) > ROUTES_MAX:
        found.append(("", f"holds {len(route_list)} routes; at most {ROUTES_MAX} are allowed"))
    for number, route in enumerate(route_list):
        if route.method not in METHODS:
            found.append((f"{number}.method", f"is {route.method!r}; allowed: {', '.join(METHODS)}"))
        if route.cls not in classes:
            found.append((f"{number}.class", f"is {route.cls!r}; allowed: {', '.join(sorted(classes))}"))
        problem = _template_error(route.path)
        if problem:
            found.append((f"{number}.path", f"is {route.path!r}: {problem}"))
            continue
        names = parameters(route.path)
        if len(set(names)) < len(names):
            found.append((f"{number}.path", f"is {route.path!r}: a parameter stands in it twice"))
        for name in route.key:
            if name not in names:
                found.append((f"{number}.key", f"names {name!r}; allowed: {', '.join(names) or 'none'}"))
        shape = route.method, PARAMETER.sub("{}", route.path)
        if shape in seen:
            found.append(
                (f"{number}.path", f"is {route.path!r}: takes the same requests as route {seen[shape]}")
            )
        seen.setdefault(shape, number)
    return found


def parameters(template: str) -> list[str]:
    """The names of a template's parameters, in order."""
    return PARAMETER.findall(template)


def _template_error(template: str) -> str:
    plain = PARAMETER.sub("p", template)
    if not plain.startswith("/") or not plain.isascii():
        return "a template begins with / and is ASCII"
    try:
        normal = normalise_target(plain.encode())
    except PathError as error:
        return str(error)
    if normal.path != plain or normal.query is not None:
        return f"not in normal form, which is {normal.path!r}"
    if template.startswith("/t/") or template.startswith("/health/"):
        return "/t/ and /health/ are the service's own"
    if any(("{" in s or "}" in s) and not PARAMETER.fullmatch(s) for s in template.split("/")):
        return "a parameter is a whole segment, {name} with a-z, 0-9 and _"
    return ""


@dataclass(frozen=True, slots=True)
class Match:
    """A matched route, and the request's key within its tenant."""

    route: Route
    key: str


class _TrieNode:
    __slots__ = ("literal", "parameter", "routes")

    def __init__(self) -> None:
        self.literal: dict[str, _TrieNode] = {}
        self.parameter: _TrieNode | None = None
        self.routes: dict[str, tuple[Route, tuple[int, ...]]] = {}


class Router:
    """Routes compiled into a trie of path segments; matching time does not depend on their number."""

    __slots__ = ("root",)

    def __init__(self, routes: Iterable[Route]) -> None:
        self.root = _TrieNode()
        for route in routes:
            node, positions = self.root, {}
            for index, segment in enumerate(route.path[1:].split("/")):
                parameter = PARAMETER.fullmatch(segment)
                if parameter is None:
                    node = node.literal.setdefault(segment, _TrieNode())
                else:
                    positions[parameter[1]] = index
                    node.parameter = node.parameter or _TrieNode()
                    node = node.parameter
            node.routes.setdefault(route.method, (route, tuple(positions[name] for name in route.key)))

    def match(self, method: str, path: str) -> Match | frozenset[str]:
        """The matched route; without one, the methods that the path allows (empty: no such path)."""
        segments = path[1:].split("/")
        allowed: set[str] = set()
        found = self._find(self.root, segments, 0, method, allowed)
        if found is None:
            return frozenset(allowed)
        route, positions = found
        return Match(route, "/".join([segments[index] for index in positions]) if positions else path[1:])

    def _find(
        self, node: _TrieNode, segments: list[str], index: int, method: str, allowed: set[str]
    ) -> tuple[Route, tuple[int, ...]] | None:
        if index == len(segments):
            if method in node.routes:
                return node.routes[method]
            allowed.update(node.routes)
            return None
        child = node.literal.get(segments[index])
        found = self._find(child, segments, index + 1, method, allowed) if child is not None else None
        if found is None and node.parameter is not None and segments[index]:
            found = self._find(node.parameter, segments, index + 1, method, allowed)
        return found
