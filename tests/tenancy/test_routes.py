"""Matching and validation of routes."""

from __future__ import annotations

from notchflow.tenancy.model import Route
from notchflow.tenancy.routes import Match, Router, validate_routes

MENU = Route("GET", "/menus/{canteen}/{day}", "read", ("canteen", "day"))
TODAY = Route("GET", "/menus/{canteen}/today", "read")
SLOT = Route("PUT", "/menus/{canteen}/{day}", "slot", ("day",))
ALL = (MENU, TODAY, SLOT)


def test_the_more_literal_template_wins_and_parameters_form_the_key() -> None:
    router = Router(ALL)
    assert router.match("GET", "/menus/c1/2026-12-01") == Match(MENU, "c1/2026-12-01")
    assert router.match("GET", "/menus/c1/today") == Match(TODAY, "menus/c1/today")
    assert router.match("PUT", "/menus/c1/2026-12-01") == Match(SLOT, "2026-12-01")
    assert router.match("PUT", "/menus/c1/today") == Match(SLOT, "today"), "the search backtracks"


def test_without_a_route_the_allowed_methods_are_returned() -> None:
    router = Router(ALL)
    assert router.match("DELETE", "/menus/c1/d") == frozenset({"GET", "PUT"})
    for path in ("/", "/menus", "/menus/c1", "/menus/c1/d/", "/menus//d", "/Menus/c1/d", "/menus/c1/d/e"):
        assert router.match("GET", path) == frozenset()


def test_different_parameters_never_form_the_same_key() -> None:
    router = Router((Route("GET", "/a/{x}/{y}", "read", ("x", "y")),))
    keys = {
        router.match("GET", f"/a/{x}/{y}").key  # type: ignore[union-attr]
        for x, y in (("1", "23"), ("12", "3"), ("1-2", "3"), ("1", "2-3"), ("1%2C2", "3"))
    }
    assert len(keys) == 5


def test_all_errors_are_reported_with_their_place() -> None:
    found = dict(
        validate_routes(
            [
                Route("FETCH", "/a", "read"),
                Route("GET", "/b", "unknown"),
                Route("GET", "b", "read"),
                Route("GET", "/c/../d", "read"),
                Route("GET", "/c/x{id}", "read"),
                Route("GET", "/d/{a}/{a}", "read"),
                Route("GET", "/e/{a}", "read", ("b",)),
                Route("GET", "/e/{other}", "read"),
                Route("GET", "/t/x", "read"),
                Route("GET", "/%7Ea", "read"),
            ],
            ("read",),
        )
    )
    assert {
        "0.method",
        "1.class",
        "2.path",
        "3.path",
        "4.path",
        "5.path",
        "6.key",
        "7.path",
        "8.path",
        "9.path",
    } == set(found)
    assert "'unknown'" in found["1.class"] and "read" in found["1.class"]
    assert "'/~a'" in found["9.path"]
    assert validate_routes(ALL, ("read", "slot")) == []
    assert validate_routes([MENU] * 65, ("read",))[0][0] == ""
