"""Path normalisation: one normal form for each valid path, an error for each ambiguous one."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from notchflow.tenancy.paths import PATH_MAX, PathError, Target, normalise_target

NORMAL = [
    (b"/", "/"),
    (b"/menus/a", "/menus/a"),
    (b"/menus/", "/menus/"),
    (b"/a/%7Euser", "/a/~user"),
    (b"/%61/b", "/a/b"),
    (b"/a%3ab", "/a%3Ab"),
    (b"/a/%c3%a9", "/a/%C3%A9"),
    (b"/a/%20b", "/a/%20b"),
    (b"/a/..b", "/a/..b"),
    (b"/a/...", "/a/..."),
    (b"/A/B", "/A/B"),
    (b"/a;v=1,2", "/a;v=1,2"),
    (b"/a/%e2%80%a6", "/a/%E2%80%A6"),
]
REJECTED = [
    b"",
    b"a",
    b"*",
    b"/..",
    b"/.",
    b"/a/../b",
    b"/a/.",
    b"/a/%2e%2e/b",
    b"/a/.%2E",
    b"/a/%2e",
    b"//a",
    b"/a//b",
    b"/a//",
    b"/a%2fb",
    b"/a%2Fb",
    b"/a%5cb",
    b"/a\\b",
    b"/a%00",
    b"/a%0d%0a",
    b"/a%252e%252e",
    b"/a%25",
    b"/a%",
    b"/a%2",
    b"/a%zz",
    b"/a#b",
    b"/a b",
    b"/\xff",
    b"/a\x7f",
    b"/a%7f",
    b"/a<b",
    b'/a"b',
    b"/a|b",
    b"/a^b",
    b"/a`b",
    b"/a{b}",
    b"/a?b c",
    b"/a?%zz",
    b"/a?\xff",
    b"/a?x#y",
    b"https://h/a",
    b"http://",
    b"http:///a",
    b"http://u@h/a",
    b"/" + b"a" * PATH_MAX,
    b"/a" * 40,
]


@pytest.mark.parametrize("url,path", NORMAL)
def test_paths_are_normalised(url: bytes, path: str) -> None:
    assert normalise_target(url) == Target(path, None)
    assert normalise_target(path.encode()).path == path, "normalising again changes nothing"


@pytest.mark.parametrize("url", REJECTED)
def test_ambiguous_and_invalid_targets_are_rejected(url: bytes) -> None:
    with pytest.raises(PathError):
        normalise_target(url)


def test_the_query_is_kept_and_an_absolute_form_gives_the_authority() -> None:
    assert normalise_target(b"/a?x=%2e%2e/../&y=//") == Target("/a", b"x=%2e%2e/../&y=//")
    assert normalise_target(b"/a?") == Target("/a", b"")
    assert normalise_target(b"HTTP://host:81/a?b") == Target("/a", b"b", b"host:81")
    assert normalise_target(b"http://host") == Target("/", None, b"host")


@settings(max_examples=500, deadline=None, derandomize=True)
@given(
    st.lists(
        st.sampled_from([b"/", b".", b"..", b"%2e", b"%2F", b"%252e", b"a", b"%61", b"%C3", b"\\", b"?"]),
        max_size=8,
    )
)
def test_an_accepted_path_has_no_dot_segments_or_ambiguous_escapes(parts: list[bytes]) -> None:
    try:
        target = normalise_target(b"/" + b"".join(parts))
    except PathError:
        return
    again = normalise_target(target.path.encode())
    assert again.path == target.path
    assert not {".", ".."} & set(target.segments)
    lowered = target.path.lower()
    assert not any(escape in lowered for escape in ("%2e", "%2f", "%5c", "%25", "//", "\\"))
