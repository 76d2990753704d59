"""The directory: tokens, authentication, versioned changes and retirement of tenants."""

from __future__ import annotations

from dataclasses import replace

from notchflow.tenancy.directory import AuthFailure, Directory, Entry, retired
from notchflow.tenancy.keys import ADMIN, KEY, matches, mint, public_id
from notchflow.tenancy.model import ApiKey, Limits, Route, Tenant, TenantState

ROUTES = (Route("GET", "/menus/{day}", "read", ("day",)),)


def make_directory(*names: str) -> tuple[Directory, dict[str, str], list[str]]:
    """A directory with tenants, the token of each, and the list of those that have drained."""
    drained: list[str] = []
    directory = Directory(Limits(), ROUTES, 1000, drained.append)
    tokens = {}
    for name in names:
        directory.put(Tenant(name), 0.0)
        minted = mint(KEY)
        directory.put_key(ApiKey(minted.id, name, minted.digest, expires_at=100.0))
        tokens[name] = minted.token
    return directory, tokens, drained


def authenticated_entry(directory: Directory, token: str) -> Entry:
    found = directory.authenticate(token, 70.0)
    assert isinstance(found, Entry)
    return found


def test_tokens_are_unique_and_bound_to_their_kind() -> None:
    tokens = [mint(KEY) for _ in range(100)]
    assert len({t.token for t in tokens}) == len({t.id for t in tokens}) == 100
    token = tokens[0]
    assert public_id(token.token, KEY) == token.id and public_id(token.token, ADMIN) is None
    assert matches(token.token, token.digest) and not matches(token.token[:-1] + "!", token.digest)
    assert token.token not in repr(token), "no log line may hold it by accident"
    assert len(token.token.split("_", 2)[2]) >= 22, "128 bits in base64 are 22 characters"


def test_only_a_live_key_of_a_known_tenant_authenticates() -> None:
    directory, tokens, _ = make_directory("alfa", "beta")
    assert authenticated_entry(directory, tokens["alfa"]).tenant.id == "alfa"
    assert directory.authenticate(None, 1.0) is AuthFailure.MISSING
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
        assert directory.authenticate(wrong, 1.0) is AuthFailure.UNKNOWN
    assert directory.authenticate(tokens["alfa"], 100.0) is AuthFailure.UNKNOWN, "expired"
    assert set(directory.take_key_uses()) == {k.id for k in directory.keys.values() if k.tenant == "alfa"}
    authenticated_entry(directory, tokens["alfa"])
    assert directory.take_key_uses() == {}, "at most one write per key and minute"


def test_a_revoked_key_is_unknown_at_once_and_other_keys_remain() -> None:
    directory, tokens, _ = make_directory("alfa")
    second = mint(KEY)
    directory.put_key(ApiKey(second.id, "alfa", second.digest))
    first = next(k for k in directory.keys.values() if k.id != second.id)
    directory.put_key(replace(first, revoked_at=5.0))
    assert directory.authenticate(tokens["alfa"], 1.0) is AuthFailure.UNKNOWN
    assert authenticated_entry(directory, second.token).tenant.id == "alfa"


def test_a_value_with_an_older_version_is_ignored() -> None:
    directory, tokens, _ = make_directory("alfa")
    directory.put(Tenant("alfa", version=3, limits=Limits(in_hand=7)), 1.0)
    directory.put(Tenant("alfa", version=2, limits=Limits(in_hand=9)), 2.0)
    assert authenticated_entry(directory, tokens["alfa"]).limits.in_hand == 7


def test_a_retiring_tenant_drains_once_its_last_request_ends() -> None:
    directory, tokens, drained = make_directory("alfa", "beta")
    found = authenticated_entry(directory, tokens["alfa"])
    for _ in range(2):
        assert directory.admit(found, 1.0, 0.0) is None
    retiring = replace(found.tenant, state=TenantState.RETIRING, version=2)
    directory.put(retiring, 2.0)
    directory.finish(found, 0.1, 200)
    assert drained == []
    directory.finish(found, 0.1, 0)
    assert drained == ["alfa"]
    directory.put(retired(retiring, 3.0), 3.0)
    assert directory.authenticate(tokens["alfa"], 1.0) is AuthFailure.UNKNOWN
    assert not [k for k in directory.keys.values() if k.tenant == "alfa"]
    assert authenticated_entry(directory, tokens["beta"]).tenant.id == "beta"


def test_a_retiring_tenant_without_requests_in_hand_drains_at_once() -> None:
    directory, _, drained = make_directory("alfa")
    directory.put(Tenant("alfa", state=TenantState.RETIRING, version=2), 1.0)
    assert drained == ["alfa"]


def test_new_defaults_apply_at_once_to_tenants_without_own_values() -> None:
    directory, tokens, _ = make_directory("alfa", "beta")
    directory.put(Tenant("beta", version=2, limits=Limits(in_hand=3), routes=()), 1.0)
    directory.set_defaults(Limits(in_hand=5), (Route("GET", "/new", "read"),), 10)
    assert authenticated_entry(directory, tokens["alfa"]).limits.in_hand == 5
    assert authenticated_entry(directory, tokens["alfa"]).router.match("GET", "/new")
    assert authenticated_entry(directory, tokens["beta"]).limits.in_hand == 3
    assert authenticated_entry(directory, tokens["beta"]).router.match("GET", "/new") == frozenset()


def test_no_key_prefix_of_a_tenant_begins_another_s() -> None:
    directory, tokens, _ = make_directory("alfa", "alfa-2", "al-fa")
    prefixes = [authenticated_entry(directory, t).key_prefix for t in tokens.values()]
    assert not [1 for a in prefixes for b in prefixes if a != b and a.startswith(b)]
