"""Framing, targets and fields of platform requests: what the client receives, and what a node is sent."""

from __future__ import annotations

import pytest

from tests.rig import Rig, run

ID = b"X-Call-Id: 1\r\nX-Call-Class: read\r\n"


def get(target: bytes = b"/api/00aa", fields: bytes = b"Host: a\r\n" + ID, version: bytes = b"1.1") -> bytes:
    return b"GET %b HTTP/%b\r\n%b\r\n" % (target, version, fields)


def put(fields: bytes, body: bytes) -> bytes:
    return b"PUT /api/00aa HTTP/1.1\r\nHost: a\r\n" + ID + fields + b"\r\n" + body


CHUNKED = b"Transfer-Encoding: chunked\r\n"

# name, bytes, status, request line at the node (None: nothing is sent), fields that the node must see, body
# at the node
Row = tuple[str, bytes, int, str | None, dict[str, str], bytes]
ROWS: list[Row] = [
    ("plain", get(), 200, "GET /api/00aa HTTP/1.1", {"x-call-id": "1"}, b""),
    (
        "query is not ours",
        get(b"/api/00aa?x=../..&y=%2e%2e/"),
        200,
        "GET /api/00aa?x=../..&y=%2e%2e/ HTTP/1.1",
        {},
        b"",
    ),
    ("dots within a name", get(b"/api/a..b"), 200, "GET /api/a..b HTTP/1.1", {}, b""),
    (
        "no host is allowed here",
        get(fields=ID),
        200,
        "GET /api/00aa HTTP/1.1",
        {"host": "service.internal"},
        b"",
    ),
    ("two hosts", get(fields=b"Host: a\r\nHost: b\r\n" + ID), 400, None, {}, b""),
    ("two ids", get(fields=ID + b"X-Call-Id: 2\r\n"), 400, None, {}, b""),
    (
        "two idempotency keys",
        put(b"Idempotency-Key: a\r\nidempotency-key: b\r\nContent-Length: 0\r\n", b""),
        400,
        None,
        {},
        b"",
    ),
    (
        "connection names the id",
        get(fields=ID + b"Connection: x-call-id\r\n"),
        200,
        "GET /api/00aa HTTP/1.1",
        {"x-call-id": "1"},
        b"",
    ),
    (
        "connection names the idempotency key",
        put(b"Idempotency-Key: k\r\nConnection: close, Idempotency-Key\r\nContent-Length: 1\r\n", b"v"),
        200,
        "PUT /api/00aa HTTP/1.1",
        {"idempotency-key": "k", "x-call-id": "1"},
        b"v",
    ),
    (
        "connection names the length",
        put(b"Connection: Content-Length\r\nContent-Length: 3\r\n", b"abc"),
        200,
        "PUT /api/00aa HTTP/1.1",
        {"content-length": "3"},
        b"abc",
    ),
    (
        "connection names X-Call-Class and X-Caller",
        get(fields=ID + b"X-Caller: t\r\nConnection: X-Call-Class, X-Caller\r\n"),
        200,
        "GET /api/00aa HTTP/1.1",
        {"x-call-class": "read", "x-caller": "t"},
        b"",
    ),
    (
        "two connection fields",
        get(fields=ID + b"X-Hop: 1\r\nConnection: x-hop\r\nConnection: keep-alive\r\n"),
        200,
        "GET /api/00aa HTTP/1.1",
        {"x-hop": ""},
        b"",
    ),
    ("dot segments", get(b"/api/../health/live/k"), 400, None, {}, b""),
    ("dot segment at the end", get(b"/api/.."), 400, None, {}, b""),
    ("one dot", get(b"/api/./k"), 400, None, {}, b""),
    ("escaped dots", get(b"/api/%2e%2e/health"), 400, None, {}, b""),
    ("half escaped dots", get(b"/api/.%2E/health"), 400, None, {}, b""),
    ("escaped slash and dots", get(b"/api/..%2fhealth"), 400, None, {}, b""),
    ("backslash", get(b"/api/..\\health"), 400, None, {}, b""),
    ("fragment", get(b"/api/k#x"), 400, None, {}, b""),
    ("octets beyond ASCII", get(b"/api/\xff"), 400, None, {}, b""),
    ("space in the target", get(b"/api/a b"), 400, None, {}, b""),
    ("absolute form", get(b"http://a/api/k"), 404, None, {}, b""),
    ("other prefix", get(b"/API/k"), 404, None, {}, b""),
    (
        "chunked",
        put(CHUNKED, b"3\r\nabc\r\n0\r\n\r\n"),
        200,
        "PUT /api/00aa HTTP/1.1",
        {"content-length": "3"},
        b"abc",
    ),
    (
        "chunks of one byte",
        put(CHUNKED, b"1\r\na\r\n" * 2_000 + b"0\r\n\r\n"),
        200,
        "PUT /api/00aa HTTP/1.1",
        {"content-length": "2000"},
        b"a" * 2_000,
    ),
    (
        "a short chunk extension",
        put(CHUNKED, b"1;a=b\r\na\r\n0\r\n\r\n"),
        200,
        "PUT /api/00aa HTTP/1.1",
        {},
        b"a",
    ),
    (
        "a chunk extension of 40 kB",
        put(CHUNKED, b"1;" + b"e" * 40_000 + b"\r\na\r\n0\r\n\r\n"),
        400,
        None,
        {},
        b"",
    ),
    (
        "trailers of 40 kB",
        put(CHUNKED, b"1\r\na\r\n0\r\nT: " + b"t" * 40_000 + b"\r\n\r\n"),
        400,
        None,
        {},
        b"",
    ),
    (
        "trailer names the id",
        put(CHUNKED, b"1\r\na\r\n0\r\nX-Call-Id: 9\r\n\r\n"),
        200,
        "PUT /api/00aa HTTP/1.1",
        {"x-call-id": "1"},
        b"a",
    ),
    (
        "gzip before chunked",
        put(b"Transfer-Encoding: gzip, chunked\r\n", b"1\r\na\r\n0\r\n\r\n"),
        501,
        None,
        {},
        b"",
    ),
    ("chunked twice", put(CHUNKED * 2, b"1\r\na\r\n0\r\n\r\n"), 400, None, {}, b""),
    (
        "chunked with a length",
        put(CHUNKED + b"Content-Length: 1\r\n", b"1\r\na\r\n0\r\n\r\n"),
        400,
        None,
        {},
        b"",
    ),
    ("space before the colon", get(fields=ID + b"Content-Length : 3\r\n"), 400, None, {}, b""),
    ("a folded field", get(fields=ID + b"X-A: 1\r\n  2\r\n"), 400, None, {}, b""),
    ("a head of 40 kB in one read", get(fields=ID + b"X-A: " + b"a" * 40_000 + b"\r\n"), 431, None, {}, b""),
    ("300 fields", get(fields=ID + b"".join(b"X-%d: 1\r\n" % i for i in range(300))), 431, None, {}, b""),
    ("a nul in a field", get(fields=ID + b"X-A: a\0b\r\n"), 400, None, {}, b""),
    ("a bare return in a field", get(fields=ID + b"X-A: a\rb\r\n"), 400, None, {}, b""),
]


@pytest.mark.parametrize("row", ROWS, ids=[row[0] for row in ROWS])
def test_platform_requests(row: Row) -> None:
    _, data, status, line, fields, body = row

    async def test() -> None:
        async with Rig() as rig:
            client = await rig.connect()
            client.writer.write(data)
            seen = await client.receive()
            assert seen is not None and seen.status == status
            got = rig.nodes[0].received
            assert [s.line for s in got] == ([line] if line else [])
            for name, value in fields.items():
                assert got[0].headers.get(name, "") == value
            if got:
                assert got[0].body == body
            assert (await rig.request()).status == 200, "other clients are served as before"

    run(test())
