"""Keys, changes and the drain of a retiring tenant."""

from __future__ import annotations

from dataclasses import replace

from notchflow.tenancy.directory import Denied, Directory, Entry, retired
from notchflow.tenancy.keys import ADMIN, KEY, matches, mint, public_id
from notchflow.tenancy.model import ApiKey, Limits, Route, Tenant, TenantState

ROUTES = (Route("GET", "/menus/{day}", "read", ("day",)),)


def made(*names: str) -> tuple[Directory, dict[str, str], list[str]]:
    """A directory with tenants, each one's token, and those that have drained."""
    drained: list[str] = []
    directory = Directory(Limits(), ROUTES, 1000, drained.append)
    tokens = {}
    for name in names:
        directory.put(Tenant(name), 0.0)
        minted = mint(KEY)
        directory.put_key(ApiKey(minted.id, name, minted.digest, expires_at=100.0))
        tokens[name] = minted.token
    return directory, tokens, drained


def entry(directory: Directory, token: str) -> Entry:
    found = directory.authenticate(token, 70.0)
    assert isinstance(found, Entry)
    return found


def test_tokens_are_long_unlike_and_told_by_their_kind() -> None:
    made_tokens = [mint(KEY) for _ in range(100)]
    assert len({t.token for t in made_tokens}) == len({t.id for t in made_tokens}) == 100
    token = made_tokens[0]
    assert public_id(token.token, KEY) == token.id and public_id(token.token, ADMIN) is None
    assert matches(token.token, token.digest) and not matches(token.token[:-1] + "!", token.digest)
    assert token.token not in repr(token), "no log line may hold it by accident"
    assert len(token.token.split("_", 2)[2]) >= 22, "128 bits in base64 are 22 characters"


def test_only_a_live_key_of_a_known_tenant_opens() -> None:
    directory, tokens, _ = made("alfa", "beta")
    assert entry(directory, tokens["alfa"]).tenant.id == "alfa"
    assert directory.authenticate(None, 1.0) is Denied.MISSING
    other = tokens["beta"]
    for wrong in (
        "",
        "nvk_",
        tokens["alfa"][:-1],
        tokens["alfa"] + "x",
        tokens["alfa"].upper(),
        tokens["alfa"][:16] + other[16:],
        "nva" + tokens["alfa"][3:],
    ):
        assert directory.authenticate(wrong, 1.0) is Denied.UNKNOWN
    assert directory.authenticate(tokens["alfa"], 100.0) is Denied.UNKNOWN, "expired"
    assert set(directory.take_key_uses()) == {k.id for k in directory.keys.values() if k.tenant == "alfa"}
    entry(directory, tokens["alfa"])
    assert directory.take_key_uses() == {}, "at most one write a key and minute"


def test_a_revoked_key_is_unknown_at_once_and_others_stay() -> None:
    directory, tokens, _ = made("alfa")
    second = mint(KEY)
    directory.put_key(ApiKey(second.id, "alfa", second.digest))
    first = next(k for k in directory.keys.values() if k.id != second.id)
    directory.put_key(replace(first, revoked_at=5.0))
    assert directory.authenticate(tokens["alfa"], 1.0) is Denied.UNKNOWN
    assert entry(directory, second.token).tenant.id == "alfa"


def test_an_older_value_never_overtakes_a_newer_one() -> None:
    directory, tokens, _ = made("alfa")
    directory.put(Tenant("alfa", version=3, limits=Limits(in_hand=7)), 1.0)
    directory.put(Tenant("alfa", version=2, limits=Limits(in_hand=9)), 2.0)
    assert entry(directory, tokens["alfa"]).limits.in_hand == 7


def test_a_retiring_tenant_is_gone_only_when_nothing_of_it_is_in_hand() -> None:
    directory, tokens, drained = made("alfa", "beta")
    found = entry(directory, tokens["alfa"])
    for _ in range(2):
        assert directory.admit(found, 1.0, 0.0) is None
    retiring = replace(found.tenant, state=TenantState.RETIRING, version=2)
    directory.put(retiring, 2.0)
    directory.finish(found, 0.1, 200)
    assert drained == []
    directory.finish(found, 0.1, 0)
    assert drained == ["alfa"]
    directory.put(retired(retiring, 3.0), 3.0)
    assert directory.authenticate(tokens["alfa"], 1.0) is Denied.UNKNOWN
    assert not [k for k in directory.keys.values() if k.tenant == "alfa"]
    assert entry(directory, tokens["beta"]).tenant.id == "beta"


def test_a_retiring_tenant_with_nothing_in_hand_is_told_at_once() -> None:
    directory, _, drained = made("alfa")
    directory.put(Tenant("alfa", state=TenantState.RETIRING, version=2), 1.0)
    assert drained == ["alfa"]


def test_new_defaults_hold_at_once_for_those_without_their_own() -> None:
    directory, tokens, _ = made("alfa", "beta")
    directory.put(Tenant("beta", version=2, limits=Limits(in_hand=3), routes=()), 1.0)
    directory.set_defaults(Limits(in_hand=5), (Route("GET", "/new", "read"),), 10)
    assert entry(directory, tokens["alfa"]).limits.in_hand == 5
    assert entry(directory, tokens["alfa"]).router.match("GET", "/new")
    assert entry(directory, tokens["beta"]).limits.in_hand == 3
    assert entry(directory, tokens["beta"]).router.match("GET", "/new") == frozenset()


def test_no_tenant_s_keys_begin_another_s() -> None:
    directory, tokens, _ = made("alfa", "alfa-2", "al-fa")
    spaces = [entry(directory, t).key_prefix for t in tokens.values()]
    assert not [1 for a in spaces for b in spaces if a != b and a.startswith(b)]
