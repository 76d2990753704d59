"""Requests to the hosted gateway with manipulated framing, target, host and fields, and what a node receives
for them."""

from __future__ import annotations

import json
from collections.abc import Callable

import pytest

from tests.door.hosted import BODY_MAX, HostedRig
from tests.rig import run

Build = Callable[[HostedRig], bytes]
LINE = "GET /api/alfa/menus/c1/d1 HTTP/1.1"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
KEYED = b"Idempotency-Key: k\r\n"


def at(target: bytes, **more: bytes) -> Build:
    return lambda rig: rig.raw(target, **more)  # type: ignore[arg-type]


def fields(lines: bytes) -> Build:
    return lambda rig: rig.raw(fields=lines)


def put(lines: bytes, body: bytes) -> Build:
    """Returns a PUT whose framing is among the lines."""
    return lambda rig: rig.raw(method=b"PUT", fields=KEYED + lines) + body


def without_key(lines: bytes) -> Build:
    return lambda rig: b"GET /menus/c1/d1 HTTP/1.1\r\nHost: door\r\n%b\r\n" % lines


def hosts(lines: bytes) -> Build:
    return lambda rig: rig.raw(host=lines)


# name, request, status, request line at the node (None: nothing is sent), fields there (empty: absent), body
# there
Row = tuple[str, Build, int, str | None, dict[str, str], bytes]
UNSENT: tuple[None, dict[str, str], bytes] = (None, {}, b"")
ROWS: list[Row] = [
    (
        "plain",
        at(b"/menus/c1/d1"),
        200,
        LINE,
        {"x-caller": "alfa", "x-call-class": "read", "host": "notchflow.internal"},
        b"",
    ),
    (
        "query",
        at(b"/menus/c1/d1?x=../..&y=%2e"),
        200,
        "GET /api/alfa/menus/c1/d1?x=../..&y=%2e HTTP/1.1",
        {},
        b"",
    ),
    ("bad query", at(b"/menus/c1/d1?x=%zz"), 400, *UNSENT),
    ("root", at(b"/"), 200, "GET /api/alfa/ HTTP/1.1", {}, b""),
    ("escaped letter", at(b"/menus/c%31/d1"), 200, LINE, {}, b""),
    ("small escape", at(b"/menus/c%3a/d1"), 200, "GET /api/alfa/menus/c%3A/d1 HTTP/1.1", {}, b""),
    ("own space by its long form", at(b"/t/alfa/menus/c1/d1"), 200, LINE, {}, b""),
    ("another's space", at(b"/t/beta/menus/c1/d1"), 404, *UNSENT),
    ("a space that nobody has", at(b"/t/nobody/menus/c1/d1"), 404, *UNSENT),
    ("another's by a longer id", at(b"/t/alfa2/menus/c1/d1"), 404, *UNSENT),
    ("the long form twice", at(b"/t/alfa/t/beta/menus/c1/d1"), 404, *UNSENT),
    ("up to another's", at(b"/../beta/menus/c1/d1"), 400, *UNSENT),
    ("up within", at(b"/menus/c1/../c1/d1"), 400, *UNSENT),
    ("escaped up", at(b"/%2e%2e/beta/menus/c1/d1"), 400, *UNSENT),
    ("mixed up", at(b"/.%2E/beta/menus/c1/d1"), 400, *UNSENT),
    ("twice escaped up", at(b"/%252e%252e/beta/menus/c1/d1"), 400, *UNSENT),
    ("escaped slash", at(b"/menus/c1%2Fd1/x"), 400, *UNSENT),
    ("escaped slash to another's", at(b"/menus/c1/..%2f..%2fbeta"), 400, *UNSENT),
    ("twice escaped slash", at(b"/menus/c1/..%252fbeta"), 400, *UNSENT),
    ("backslash", at(b"/menus/c1/..\\beta"), 400, *UNSENT),
    ("escaped backslash", at(b"/menus/c1/..%5cbeta"), 400, *UNSENT),
    ("escaped nul", at(b"/menus/c1/d1%00"), 400, *UNSENT),
    ("escaped line end", at(b"/menus/c1/d1%0d%0aX:1"), 400, *UNSENT),
    ("two slashes", at(b"//menus/c1/d1"), 400, *UNSENT),
    ("two slashes within", at(b"/menus//c1/d1"), 400, *UNSENT),
    ("slash at the end", at(b"/menus/c1/d1/"), 404, *UNSENT),
    ("capital letters", at(b"/MENUS/c1/d1"), 404, *UNSENT),
    ("fragment", at(b"/menus/c1/d1#x"), 400, *UNSENT),
    ("octets beyond ASCII", at(b"/menus/c1/\xc3\xa9"), 400, *UNSENT),
    ("the nodes' own prefix", at(b"/api/beta/menus/c1/d1"), 404, *UNSENT),
    ("health of a node", at(b"/health/live"), 404, *UNSENT),
    ("a path of 8 kB", at(b"/menus/c1/" + b"d" * 8_000), 400, *UNSENT),
    ("absolute form", at(b"http://other/menus/c1/d1"), 200, LINE, {"host": "notchflow.internal"}, b""),
    ("absolute form with a user", at(b"http://a@b/menus/c1/d1"), 400, *UNSENT),
    ("absolute form up", at(b"http://door/../beta"), 400, *UNSENT),
    ("another scheme", at(b"ftp://door/menus/c1/d1"), 400, *UNSENT),
    ("asterisk", at(b"*", method=b"OPTIONS"), 400, *UNSENT),
    ("no host", hosts(b""), 400, *UNSENT),
    ("an empty host", hosts(b"Host: \r\n"), 400, *UNSENT),
    ("two hosts", hosts(b"Host: a\r\nHost: a\r\n"), 400, *UNSENT),
    ("a host with a path", hosts(b"Host: a/b\r\n"), 400, *UNSENT),
    ("a host with a user", hosts(b"Host: u@a\r\n"), 400, *UNSENT),
    (
        "a host to poison with",
        hosts(b"Host: evil.example\r\n"),
        200,
        LINE,
        {"host": "notchflow.internal"},
        b"",
    ),
    ("no key", without_key(b""), 401, *UNSENT),
    ("no key and a length beyond all limits", without_key(b"Content-Length: 67108864\r\n"), 401, *UNSENT),
    ("an empty key", without_key(b"Authorization: Bearer \r\n"), 401, *UNSENT),
    ("another scheme of authorization", without_key(b"Authorization: Basic YTpi\r\n"), 401, *UNSENT),
    ("a guessed key", without_key(b"X-Api-Key: nvk_000000000000_" + b"A" * 32 + b"\r\n"), 401, *UNSENT),
    (
        "a key as X-Api-Key",
        lambda rig: without_key(b"X-Api-Key: %b\r\n" % rig.tokens["alfa"].encode())(rig),
        200,
        LINE,
        {"x-api-key": "", "authorization": ""},
        b"",
    ),
    (
        "two tenants' keys",
        lambda rig: rig.raw(fields=b"X-Api-Key: %b\r\n" % rig.tokens["beta"].encode()),
        401,
        *UNSENT,
    ),
    (
        "one key twice",
        lambda rig: rig.raw(fields=b"X-Api-Key: %b\r\n" % rig.tokens["alfa"].encode()),
        200,
        LINE,
        {"authorization": "", "x-api-key": ""},
        b"",
    ),
    ("a forged X-Caller", fields(b"X-Caller: beta\r\n"), 200, LINE, {"x-caller": "alfa"}, b""),
    ("a forged id", fields(b"X-Call-Id: 1\r\n"), 200, LINE, {"x-call-id": "0badcafe00000001"}, b""),
    ("a forged class", fields(b"X-Call-Class: once\r\n"), 200, LINE, {"x-call-class": "read"}, b""),
    ("a budget of its own", fields(b"X-Budget: 600\r\n"), 200, LINE, {}, b""),
    (
        "forwarded fields",
        fields(b"X-Forwarded-For: 1.2.3.4\r\nX-Original-Url: /api/beta/x\r\n"),
        200,
        LINE,
        {"x-forwarded-for": "", "x-original-url": ""},
        b"",
    ),
    (
        "connection names X-Caller",
        fields(b"Connection: X-Caller, X-Call-Id, Host, Authorization\r\n"),
        200,
        LINE,
        {"x-caller": "alfa", "x-call-id": "0badcafe00000001"},
        b"",
    ),
    (
        "connection names the idempotency key",
        put(b"Connection: Idempotency-Key\r\nContent-Length: 2\r\n", b"{}"),
        200,
        "PUT /api/alfa/menus/c1/d1 HTTP/1.1",
        {"idempotency-key": "alfa/k"},
        b"{}",
    ),
    ("a keyed request without its key", at(b"/menus/c1/d1", method=b"PUT", body=b"{}"), 400, *UNSENT),
    ("two idempotency keys", put(b"Idempotency-Key: l\r\nContent-Length: 2\r\n", b"{}"), 400, *UNSENT),
    (
        "an idempotency key with a space",
        lambda rig: rig.raw(fields=b"Idempotency-Key: a b\r\n"),
        400,
        *UNSENT,
    ),
    ("a method that the path lacks", at(b"/menus/c1/d1", method=b"DELETE"), 405, *UNSENT),
    ("HEAD", at(b"/menus/c1/d1", method=b"HEAD"), 405, *UNSENT),
    ("TRACE", at(b"/menus/c1/d1", method=b"TRACE"), 405, *UNSENT),
    (
        "an override of the method",
        fields(b"X-HTTP-Method-Override: DELETE\r\n"),
        200,
        LINE,
        {"x-http-method-override": ""},
        b"",
    ),
    (
        "chunked",
        put(CHUNKED, b"2\r\n{}\r\n0\r\n\r\n"),
        200,
        "PUT /api/alfa/menus/c1/d1 HTTP/1.1",
        {"content-length": "2", "transfer-encoding": ""},
        b"{}",
    ),
    (
        "a trailer that forges",
        put(CHUNKED, b"2\r\n{}\r\n0\r\nX-Caller: beta\r\n\r\n"),
        200,
        "PUT /api/alfa/menus/c1/d1 HTTP/1.1",
        {"x-caller": "alfa"},
        b"{}",
    ),
    ("length and chunked", put(CHUNKED + b"Content-Length: 2\r\n", b"2\r\n{}\r\n0\r\n\r\n"), 400, *UNSENT),
    ("two lengths", put(b"Content-Length: 2\r\nContent-Length: 3\r\n", b"{}"), 400, *UNSENT),
    ("a length with a sign", put(b"Content-Length: +2\r\n", b"{}"), 400, *UNSENT),
    ("a list of lengths", put(b"Content-Length: 2, 2\r\n", b"{}"), 400, *UNSENT),
    ("a length under another name", put(b"Content-Length : 2\r\n", b"{}"), 400, *UNSENT),
    ("a coding in disguise", put(b"Transfer-Encoding: xchunked\r\n", b"2\r\n{}\r\n0\r\n\r\n"), 501, *UNSENT),
    ("a coding in a folded field", put(b"X-A: 1\r\n Transfer-Encoding: chunked\r\n", b""), 400, *UNSENT),
    ("gzip and chunked", put(b"Transfer-Encoding: gzip, chunked\r\n", b"0\r\n\r\n"), 501, *UNSENT),
    (
        "a chunk extension of 40 kB",
        put(CHUNKED, b"2;" + b"e" * 40_000 + b"\r\n{}\r\n0\r\n\r\n"),
        400,
        *UNSENT,
    ),
    ("a chunk of no proper size", put(CHUNKED, b"0x2\r\n{}\r\n0\r\n\r\n"), 400, *UNSENT),
    (
        "a body over the limit",
        at(b"/menus/c1/d1", method=b"PUT", fields=KEYED, body=b"x" * (BODY_MAX + 1)),
        413,
        *UNSENT,
    ),
    (
        "a chunked body over the limit",
        put(CHUNKED, b"3e9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n"),
        413,
        *UNSENT,
    ),
    ("a head of 40 kB", fields(b"X-A: " + b"a" * 40_000 + b"\r\n"), 431, *UNSENT),
    ("300 fields", fields(b"".join(b"X-%d: 1\r\n" % i for i in range(300))), 431, *UNSENT),
    ("a nul in a field", fields(b"X-A: a\0b\r\n"), 400, *UNSENT),
    ("another version", lambda rig: rig.raw().replace(b"HTTP/1.1", b"HTTP/3.0", 1), 400, *UNSENT),
]


def test_row_names_are_unique() -> None:
    assert len({row[0] for row in ROWS}) == len(ROWS) >= 60


@pytest.mark.parametrize("row", ROWS, ids=[row[0] for row in ROWS])
def test_requests_to_the_hosted_gateway(row: Row) -> None:
    _, build, status, line, expected, body = row

    async def test() -> None:
        async with HostedRig() as rig:
            client = await rig.connect()
            client.writer.write(build(rig))
            seen = await client.receive()
            assert seen is not None and seen.status == status, seen
            got = rig.nodes[0].received
            assert [s.line for s in got] == ([line] if line else [])
            for name, value in expected.items():
                assert got[0].headers.get(name, "") == value
            if line:
                assert got[0].body == body
            else:
                problem = json.loads(seen.body) if not build(rig).startswith(b"HEAD") else {"status": status}
                assert problem["status"] == status
                assert rig.tokens["alfa"] not in seen.body.decode()
            other = await rig.connect()
            other.writer.write(rig.raw(tenant="beta"))
            served = await other.receive()
            assert served is not None and served.status == 200, "other clients are served as before"
            assert rig.directory.shares.in_hand == 0
            assert all(e.usage.bytes_held == 0 for e in rig.directory.entries.values())

    run(test())
