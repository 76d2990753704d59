"""The administration API: it conforms to its OpenAPI document, and isolates tenants from one another."""

from __future__ import annotations

import asyncio
import json
import secrets
from collections.abc import Callable, Coroutine, Iterator, Sequence
from pathlib import Path
from typing import Any

import httpx
import pytest
import schemathesis
from hypothesis import HealthCheck, given, settings
from schemathesis.checks import not_a_server_error
from schemathesis.core.result import Ok
from schemathesis.specs.openapi.checks import (
    content_type_conformance,
    response_headers_conformance,
    response_schema_conformance,
    status_code_conformance,
)

from notchflow.admin.api import Backend, create_app
from notchflow.admin.operations import ApiDefaults, Change, Operations
from notchflow.state.database import Database
from notchflow.tenancy.model import Limits, TenantState

CLASSES = ("read", "pay")


class FakeProxy:
    """Records the changes that it is given and has no open requests."""

    def __init__(self, operations: Operations) -> None:
        self.operations = operations
        self.applied: list[Change] = []
        self.phase = "active"

    async def apply(self, changes: Sequence[Change]) -> None:
        self.applied += changes

    async def usage(self, tenant: str) -> dict[str, Any]:
        return {"in_hand": 0, "bytes_held": 0, "asked": 3, "served": 2, "failed": 0, "refused": {"rate": 1}}

    async def proxy_status(self) -> dict[str, Any]:
        return {
            "phase": self.phase,
            "serving": self.phase != "leaving",
            "open_requests": 0,
            "clients": 2,
            "descriptors": 9,
            "bytes_held": 0,
        }

    async def cluster_status(self) -> dict[str, Any] | None:
        member = {
            "name": "p1",
            "incarnation": "1.a",
            "state": "alive",
            "heard_ms": 0.0,
            "version": None,
            "address": None,
            "link": "self",
        }
        return {
            "name": "p1",
            "incarnation": "1.a",
            "standing": "whole",
            "takes": True,
            "hold": "holding",
            "balancers": 1,
            "members": [member],
            "bounds": {},
            "disagreements": [],
            "view": "0",
        }

    async def set_active(self, active: bool) -> bool:
        if self.phase != "leaving":
            self.phase = "active" if active else "standby"
        return self.phase != "leaving"

    async def node_statuses(self) -> list[dict[str, Any]]:
        return [
            {"id": "s-1", "address": "127.0.0.1:1", "state": "draining", "in_flight": 1, "changed_at": 5.0}
        ]


class ApiHarness:
    """The API on its own database, called without sockets."""

    def __init__(self, folder: Path) -> None:
        self.db = Database(folder)
        self.now = 1_000_000_000.0
        self.operations = Operations(self.db, ApiDefaults(CLASSES, Limits()), lambda: self.now)
        self.proxy = FakeProxy(self.operations)
        self.backend = Backend(self.operations, self.proxy)
        self.app = create_app(self.backend)
        token = self.operations.ensure_operator_token()
        assert token is not None
        self.token = token

    async def request(
        self, method: str, path: str, body: Any = None, token: str | None = None, **headers: str
    ) -> httpx.Response:
        transport = httpx.ASGITransport(self.app, raise_app_exceptions=False)
        header_fields = {k.replace("_", "-"): v for k, v in headers.items()}
        header_fields |= {"Authorization": f"Bearer {token or self.token}"}
        async with httpx.AsyncClient(transport=transport, base_url="http://api") as client:
            return await client.request(method, path, json=body, headers=header_fields)

    async def create_tenant(self, name: str) -> str:
        """Creates a tenant and returns a token for the API that is limited to it."""
        assert (await self.request("POST", "/v1/tenants", {"id": name})).status_code == 201
        response = await self.request("POST", "/v1/tokens", {"tenant": name})
        return str(response.json()["token"])

    def close(self) -> None:
        self.backend.executor.shutdown()
        self.db.close()


@pytest.fixture
def api(tmp_path: Path) -> Iterator[ApiHarness]:
    harness = ApiHarness(tmp_path)
    yield harness
    harness.close()


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(test())


def test_responses_conform_to_the_openapi_document(api: ApiHarness) -> None:
    """Schemathesis generates valid and invalid requests for every operation of the document."""

    async def fill() -> None:
        for name in ("alfa", "beta"):
            await api.create_tenant(name)
            await api.request("POST", f"/v1/tenants/{name}/keys", {})

    run(fill)
    schema = schemathesis.openapi.from_asgi("/openapi.json", api.app)
    document = schema.raw_schema
    assert document["openapi"].startswith("3.1")
    seen: dict[str, set[int]] = {}
    for operation in schema.get_all_operations():
        assert isinstance(operation, Ok), operation
        endpoint = operation.ok()
        statuses = seen.setdefault(f"{endpoint.method.upper()} {endpoint.path}", set())
        given(endpoint.as_strategy())(make_conformance_check(api, statuses))()
    assert len(seen) >= 16
    succeeded = [name for name, statuses in seen.items() if statuses & {200, 201, 202, 204}]
    assert len(succeeded) >= 10, seen


def make_conformance_check(api: ApiHarness, statuses: set[int]) -> Callable[[Any], None]:
    """Sends one generated request and checks the response against the document.

    Hypothesis derives its random choices from the source of the inner function: renaming anything in it
    changes the generated requests.
    """

    @settings(
        max_examples=40,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    def one(case: Any) -> None:
        number = len(json.dumps(case.path_parameters, default=str)) + len(str(case.body))
        if case.path_parameters.get("tenant") and number % 2:
            case.path_parameters["tenant"] = "alfa"  # otherwise few requests reach an existing tenant
        answer = case.call(headers={"Authorization": f"Bearer {api.token}"})
        statuses.add(answer.status_code)
        case.validate_response(
            answer,
            checks=[
                not_a_server_error,
                status_code_conformance,
                content_type_conformance,
                response_headers_conformance,
                response_schema_conformance,
            ],
        )

    return one


def test_requests_without_a_valid_token_are_rejected(api: ApiHarness) -> None:
    async def test() -> None:
        for method, path in (
            ("GET", "/v1/tenants"),
            ("POST", "/v1/tenants"),
            ("GET", "/v1/boxes"),
            ("POST", "/v1/proxy/standby"),
            ("GET", "/v1/events"),
            ("DELETE", "/v1/tenants/alfa"),
            ("GET", "/v1/tokens"),
        ):
            for token in (
                "x",
                "nva_000000000000_" + "A" * 32,
                api.token[:-1],
                api.token.replace("nva", "nvk"),
            ):
                answer = await api.request(method, path, {}, token)
                assert answer.status_code == 401 and "www-authenticate" in answer.headers, (path, answer.text)
                assert answer.headers["content-type"] == "application/problem+json"

    run(test)


def test_a_tenant_token_has_no_access_to_other_tenants(api: ApiHarness) -> None:
    async def test() -> None:
        alfa, _ = await api.create_tenant("alfa"), await api.create_tenant("beta")
        own_tenant = await api.request("GET", "/v1/tenants/alfa", token=alfa)
        assert own_tenant.status_code == 200 and own_tenant.headers["etag"] == '"1"'
        assert [t["id"] for t in (await api.request("GET", "/v1/tenants", token=alfa)).json()["items"]] == [
            "alfa"
        ]
        assert (await api.request("GET", "/v1/tenants?cursor=alfa", token=alfa)).json()["items"] == []
        for suffix in ("", "/keys", "/limits", "/usage"):
            other = await api.request("GET", "/v1/tenants/beta" + suffix, token=alfa)
            unknown = await api.request("GET", "/v1/tenants/nobody" + suffix, token=alfa)
            assert other.status_code == unknown.status_code == 404
            assert other.content == unknown.content, "the body must not tell whether the tenant exists"
        assert (await api.request("POST", "/v1/tenants/beta/keys", {}, alfa)).status_code == 404
        assert (await api.request("GET", "/v1/events?tenant=beta", token=alfa)).status_code == 404
        events = (await api.request("GET", "/v1/events", token=alfa)).json()["items"]
        assert events and {e["tenant"] for e in events} == {"alfa"}
        issued = (await api.request("POST", "/v1/tenants/alfa/keys", {}, alfa)).json()
        beta_key = (await api.request("POST", "/v1/tenants/beta/keys", {})).json()
        assert (
            await api.request("DELETE", f"/v1/tenants/alfa/keys/{beta_key['id']}", token=alfa)
        ).status_code == 404
        assert (
            await api.request("DELETE", f"/v1/tenants/alfa/keys/{issued['id']}", token=alfa)
        ).status_code == 204
        for method, path, body in (
            ("PATCH", "/v1/tenants/alfa", {"state": "suspended"}),
            ("DELETE", "/v1/tenants/alfa", None),
            ("PUT", "/v1/tenants/alfa/limits", {"rate_per_s": 1e6}),
            ("POST", "/v1/tenants", {"id": "gamma"}),
            ("GET", "/v1/boxes", None),
            ("GET", "/v1/proxy", None),
            ("POST", "/v1/proxy/standby", None),
            ("POST", "/v1/proxy/active", None),
            ("GET", "/v1/tokens", None),
            ("POST", "/v1/tokens", {}),
        ):
            assert (await api.request(method, path, body, alfa, If_Match="*")).status_code == 403, path

    run(test)


def test_standby_and_active_change_the_phase_and_are_audited(api: ApiHarness) -> None:
    async def test() -> None:
        for command, phase in (("standby", "standby"), ("standby", "standby"), ("active", "active")):
            response = await api.request("POST", f"/v1/proxy/{command}")
            assert response.status_code == 200 and response.json()["phase"] == phase
        events = [
            e for e in (await api.request("GET", "/v1/events")).json()["items"] if e["target"] == "proxy"
        ]
        assert [(e["action"], e["before"], e["after"]) for e in events] == [
            ("proxy.standby", {"phase": "active"}, {"phase": "standby"}),
            ("proxy.active", {"phase": "standby"}, {"phase": "active"}),
        ], "a request that changes nothing is not audited"
        api.proxy.phase = "leaving"
        for command in ("standby", "active"):
            response = await api.request("POST", f"/v1/proxy/{command}")
            assert response.status_code == 409 and "start another" in response.json()["detail"]

    run(test)


def test_standby_works_with_a_full_disk(api: ApiHarness, monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_disk_full(*_: object) -> None:
        raise OSError(28, "No space left on device")

    async def test() -> None:
        monkeypatch.setattr(api.operations, "record_phase_change", raise_disk_full)
        response = await api.request("POST", "/v1/proxy/standby")
        assert response.status_code == 500 and api.proxy.phase == "standby"

    run(test)


def test_a_repeated_post_is_idempotent_and_returns_the_secret_once(api: ApiHarness) -> None:
    async def test() -> None:
        await api.create_tenant("alfa")
        first = await api.request("POST", "/v1/tenants/alfa/keys", {"label": "a"}, Idempotency_Key="k")
        repeated = await api.request("POST", "/v1/tenants/alfa/keys", {"label": "a"}, Idempotency_Key="k")
        assert first.status_code == repeated.status_code == 201
        assert first.json() | {"token": None} == repeated.json() and first.json()["token"]
        different = await api.request("POST", "/v1/tenants/alfa/keys", {"label": "b"}, Idempotency_Key="k")
        assert different.status_code == 422
        responses = await asyncio.gather(
            *(api.request("POST", "/v1/tenants", {"id": "beta"}, Idempotency_Key="t") for _ in range(5))
        )
        assert {r.status_code for r in responses} == {201}
        assert len((await api.request("GET", "/v1/tenants/alfa/keys")).json()["items"]) == 1
        api.now += 25 * 3600
        late = await api.request("POST", "/v1/tenants", {"id": "beta"}, Idempotency_Key="t")
        assert late.status_code == 409, "an Idempotency-Key expires after a day"

    run(test)


def test_tenant_state_transitions(api: ApiHarness) -> None:
    async def test() -> None:
        await api.create_tenant("alfa")

        async def set_state(state: str, version: int) -> httpx.Response:
            return await api.request("PATCH", "/v1/tenants/alfa", {"state": state}, If_Match=f'"{version}"')

        assert (await set_state("active", 1)).json()["version"] == 1, "nothing changed: no new version"
        assert (await set_state("suspended", 1)).json()["version"] == 2
        assert (await set_state("active", 1)).status_code == 412
        assert (
            await api.request("PATCH", "/v1/tenants/alfa", {"state": "gone"}, If_Match="*")
        ).status_code == 422
        gone = await api.request("DELETE", "/v1/tenants/alfa", If_Match='"2"')
        assert gone.status_code == 202 and gone.json()["state"] == "retiring"
        assert (await set_state("active", 3)).status_code == 409
        assert (await api.request("POST", "/v1/tenants/alfa/keys", {})).status_code == 409
        await api.backend.change(api.operations.finish_retirement, "alfa")
        await api.backend.change(api.operations.finish_retirement, "alfa")
        assert (await api.request("GET", "/v1/tenants/alfa")).json()["state"] == "gone"
        states = [t.state for t in api.proxy.applied if not hasattr(t, "digest")]
        assert states == [TenantState.ACTIVE, TenantState.SUSPENDED, TenantState.RETIRING, TenantState.GONE]
        events = (await api.request("GET", "/v1/events?tenant=alfa")).json()["items"]
        assert [e["action"] for e in events] == [
            "tenant.create",
            "token.issue",
            "tenant.change",
            "tenant.retire",
            "tenant.gone",
        ]
        assert events[2]["before"]["state"] == "active" and events[2]["after"]["state"] == "suspended"
        assert events[2]["actor"].startswith("operator:")

    run(test)


def test_invalid_limits_and_routes_are_reported_by_place(api: ApiHarness) -> None:
    async def test() -> None:
        await api.create_tenant("alfa")
        invalid = await api.request(
            "PATCH", "/v1/tenants/alfa", {"limits": {"rate_per_s": -1, "speed": 2}}, If_Match="*"
        )
        assert invalid.status_code == 422
        assert {e["place"] for e in invalid.json()["errors"]} == {
            "body.limits.rate_per_s",
            "body.limits.speed",
        }
        routes = [{"method": "GET", "path": "/a/{x}", "class": "unheard"}]
        invalid = await api.request("PATCH", "/v1/tenants/alfa", {"routes": routes}, If_Match="*")
        assert invalid.json()["errors"] == [
            {"place": "routes.0.class", "what": "is 'unheard'; allowed: pay, read"}
        ]
        put = await api.request("PUT", "/v1/tenants/alfa/limits", {"rate_per_s": 7.0}, If_Match="*")
        assert put.json() == {
            "limits": {
                "rate_per_s": 7.0,
                "burst": 50.0,
                "in_hand": 256,
                "bytes_held": 8 << 20,
                "weight": 1.0,
            },
            "own": True,
        }
        reset = await api.request("PATCH", "/v1/tenants/alfa", {"limits": None}, If_Match="*")
        assert reset.json()["limits"] is None

    run(test)


def test_pagination_returns_all_items(api: ApiHarness) -> None:
    async def test() -> None:
        names = [f"tenant-{i:02}" for i in range(7)]
        for name in names:
            await api.create_tenant(name)
        ids: list[str] = []
        cursor, pages = "", 0
        while cursor is not None:
            page = (await api.request("GET", f"/v1/tenants?limit=3&cursor={cursor}")).json()
            ids, cursor, pages = ids + [t["id"] for t in page["items"]], page["next"], pages + 1
        assert ids == names and pages == 3
        page = (await api.request("GET", "/v1/events?limit=2")).json()
        assert [e["seq"] for e in page["items"]] == [1, 2] and page["next"] == "2"
        assert (await api.request("GET", "/v1/tenants?limit=0")).status_code == 422

    run(test)


def test_secrets_are_not_stored(api: ApiHarness) -> None:
    async def test() -> None:
        tenant_token = await api.create_tenant("alfa")
        key = (await api.request("POST", "/v1/tenants/alfa/keys", {}, Idempotency_Key="k")).json()["token"]
        stored = "\n".join(
            str(row)
            for table in ("tenants", "keys", "tokens", "events", "answers")
            for row in api.db.db.execute(f"SELECT * FROM {table}")
        )
        for secret in (tenant_token, key, api.token):
            assert secret not in stored and secret.split("_", 2)[2] not in stored

    run(test)


def test_a_token_cannot_revoke_itself_and_an_expired_last_token_is_replaced(api: ApiHarness) -> None:
    async def test() -> None:
        own_id = (await api.request("GET", "/v1/tokens")).json()["items"][0]["id"]
        assert (await api.request("DELETE", f"/v1/tokens/{own_id}")).status_code == 409
        second = (await api.request("POST", "/v1/tokens", {"expires_at": "2001-09-10T00:00:00Z"})).json()
        assert (await api.request("DELETE", f"/v1/tokens/{own_id}", token=second["token"])).status_code == 204
        assert (await api.request("GET", "/v1/tokens")).status_code == 401
        assert api.operations.ensure_operator_token() is None
        api.now += 7 * 24 * 3600
        assert api.operations.ensure_operator_token() is not None
        expired = await api.request(
            "POST", "/v1/tokens", {"expires_at": "2001-09-10T00:00:00Z"}, second["token"]
        )
        assert expired.status_code == 401

    run(test)


def test_a_change_is_applied_when_its_client_disconnects(api: ApiHarness) -> None:
    async def test() -> None:
        request = asyncio.create_task(api.request("POST", "/v1/tenants", {"id": "alfa"}))
        while not api.db.tenant("alfa"):
            await asyncio.sleep(0)
        request.cancel()
        while not api.proxy.applied:
            await asyncio.sleep(0)
        assert secrets.compare_digest(getattr(api.proxy.applied[0], "id"), "alfa")  # noqa: B009

    run(test)
