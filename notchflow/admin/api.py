"""The administration API over HTTP: paths, status codes and the OpenAPI 3.1 document that describes them.

Docstrings of route functions and `description` arguments are published in that document, and operation ids
are made of the functions' names.
"""

# No postponed annotations here: FastAPI evaluates annotations, and these refer to local names.

import asyncio
import json
import logging
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated, Any, Protocol, TypeVar

from fastapi import Depends, FastAPI, Header, Path, Query, Request, Response
from fastapi.exceptions import RequestValidationError
from fastapi.responses import JSONResponse
from fastapi.security import HTTPAuthorizationCredentials, HTTPBearer
from starlette.exceptions import HTTPException

from notchflow.admin import models as m
from notchflow.admin.operations import Actor, ApiProblem, Change, ChangeResult, Operations, etag
from notchflow.hosting.schema import LimitsModel, TenantId
from notchflow.tenancy.model import Tenant

log = logging.getLogger(__name__)
T = TypeVar("T")
PROBLEM_MEDIA_TYPE = "application/problem+json"
MAX_PAGE_SIZE = 500


class RunningProxy(Protocol):
    """Access to the running proxy from the thread of the API."""

    async def apply(self, changes: Sequence[Change]) -> None:
        """Puts changed tenants and keys into force."""
        ...

    async def usage(self, tenant: str) -> dict[str, Any]:
        """The fields of `UsageView`."""
        ...

    async def node_statuses(self) -> list[dict[str, Any]]:
        """The fields of `BoxView` for each node."""
        ...

    async def proxy_status(self) -> dict[str, Any]:
        """The fields of `ProxyView`."""
        ...

    async def cluster_status(self) -> dict[str, Any] | None:
        """The fields of `ClusterView`; None if the instance is not a member of a fleet."""
        ...

    async def set_active(self, active: bool) -> bool:
        """Makes the proxy active or puts it on standby. False: the process is about to end."""
        ...


class AgreedState(Protocol):
    """The state that a fleet agrees on, for an instance that is a member of one."""

    executor: ThreadPoolExecutor

    async def wait_until_current(self) -> None:
        """Returns once everything that was agreed before the call is in force here. ApiProblem: there is no
        majority."""

    async def change(self, call: Callable[..., ChangeResult[T]], *args: Any) -> T:
        """Runs a change and returns its result once the fleet has agreed on it and it is in force here.
        ApiProblem: the fleet could not agree, or it is not known whether it did."""
        ...


class Backend:
    """Runs the operations on their thread and applies their changes to the running proxy."""

    def __init__(
        self, operations: Operations, proxy: RunningProxy, agreed: AgreedState | None = None
    ) -> None:
        self.operations, self.proxy, self.agreed = operations, proxy, agreed
        self.executor = agreed.executor if agreed is not None else ThreadPoolExecutor(1, "state")

    async def read(self, call: Callable[..., T], *args: Any) -> T:
        """Runs a call on the thread of the state; in a fleet the state here may be behind what is agreed."""
        return await asyncio.get_running_loop().run_in_executor(self.executor, call, *args)

    async def read_latest(self, call: Callable[..., T], *args: Any) -> T:
        """Like `read`, but in a fleet only once everything agreed so far is in force here. ApiProblem."""
        if self.agreed is not None:
            await self.agreed.wait_until_current()
        return await self.read(call, *args)

    async def change(self, call: Callable[..., ChangeResult[T]], *args: Any) -> T:
        """Runs a change and returns its result once it is on disk and in force. It goes on if the client
        disconnects, since a change that is on disk must also be in force."""
        return await asyncio.shield(asyncio.ensure_future(self._change(call, *args)))

    async def _change(self, call: Callable[..., ChangeResult[T]], *args: Any) -> T:
        if self.agreed is not None:
            return await self.agreed.change(call, *args)
        done = await self.read(call, *args)
        if done.changes:
            await self.proxy.apply(done.changes)
        return done.result

    async def set_active(self, actor: Actor, active: bool) -> m.ProxyView:
        """Changes the phase of the proxy, then writes an audit event: in this order, as a full disk must not
        keep a proxy in service. ApiProblem 409: the process is about to end."""
        before = m.ProxyView.model_validate(await self.proxy.proxy_status())
        if not await self.proxy.set_active(active):
            raise ApiProblem(409, "conflict", "The process is to end; start another.")
        after = m.ProxyView.model_validate(await self.proxy.proxy_status())
        if after.phase != before.phase:
            await self._record_phase_change(actor, before.phase, after.phase)
        return after

    async def _record_phase_change(self, actor: Actor, before: str, after: str) -> None:
        """Writes the audit event. Without a majority it is only logged: a fleet that cannot agree must not
        keep a proxy in service."""
        try:
            await self.change(self.operations.record_phase_change, actor, before, after)
        except ApiProblem as error:
            log.warning("the phase change could not be written to the audit log: %s", error)


def _problem_responses(*statuses: int) -> dict[int | str, dict[str, Any]]:
    content = {"content": {PROBLEM_MEDIA_TYPE: {"schema": {"$ref": "#/components/schemas/Problem"}}}}
    return {status: {"description": m.Problem.__doc__ or "", **content} for status in statuses}


COMMON_RESPONSES = _problem_responses(400, 401, 403, 404, 408, 413, 422, 429, 500, 503)
bearer = HTTPBearer(auto_error=False, description="an operator's token, or a tenant's own")
TenantPath = Annotated[str, Path(max_length=64)]
IdPath = Annotated[str, Path(max_length=64)]
Cursor = Annotated[str, Query(max_length=64, description="`next` of the page before")]
PageLimit = Annotated[int, Query(ge=1, le=MAX_PAGE_SIZE, description="items on a page")]
# A token is checked before the request is validated: a client without access learns nothing of the schemas.
IfMatch = Annotated[str | None, Header(description="the ETag that was seen; required")]
IdempotencyKey = Annotated[
    str | None,
    Header(
        alias="Idempotency-Key",
        max_length=200,
        min_length=1,
        description="a repeat with the same key within a day gets the same answer",
    ),
]


def problem_response(error: ApiProblem) -> Response:
    """The HTTP response for a problem."""
    return Response(json.dumps(error.body), error.status, error.headers, PROBLEM_MEDIA_TYPE)


def create_app(backend: Backend) -> FastAPI:
    """Creates the application; it has no state of its own."""
    app = FastAPI(
        title="notchflow administration",
        version="1",
        docs_url=None,
        redoc_url=None,
        responses=COMMON_RESPONSES,
        openapi_url="/openapi.json",
        separate_input_output_schemas=False,
    )
    _add_exception_handlers(app)
    operations = backend.operations

    async def authenticate(
        credentials: Annotated[HTTPAuthorizationCredentials | None, Depends(bearer)],
    ) -> Actor:
        return await backend.read(operations.authenticate, credentials.credentials if credentials else None)

    CurrentActor = Annotated[Actor, Depends(authenticate)]

    def tenant_view(response: Response, tenant: Tenant) -> m.TenantView:
        response.headers["ETag"] = etag(tenant)
        return m.TenantView.of(tenant)

    def paginate(items: list[T], limit: int, cursor: Callable[[T], str]) -> dict[str, Any]:
        more = len(items) > limit
        return {"items": items[:limit], "next": cursor(items[limit - 1]) if more else None}

    async def run_post(
        actor: Actor,
        key: str | None,
        request_text: str,
        to_json: Callable[[Any], dict[str, Any]],
        secrets: tuple[str, ...],
        operation: Callable[[], ChangeResult[Any]],
    ) -> Response:
        body = await backend.change(
            operations.run_once, actor, key, request_text, to_json, secrets, operation
        )
        return JSONResponse(body, 201)

    # -- tenants
    @app.get("/v1/tenants", tags=["tenants"])
    async def list_tenants(
        actor: CurrentActor,
        cursor: Cursor = "",
        limit: PageLimit = 100,
        state: m.TenantStateName | None = None,
    ) -> m.Page[m.TenantView]:
        found = await backend.read_latest(operations.list_tenants, actor, cursor, limit + 1, state)
        page = paginate(found, limit, lambda t: t.id)
        return m.Page(items=[m.TenantView.of(t) for t in page["items"]], next=page["next"])

    @app.post(
        "/v1/tenants",
        status_code=201,
        tags=["tenants"],
        response_model=m.TenantView,
        responses=_problem_responses(409),
    )
    async def create_tenant(
        actor: CurrentActor, requested: m.TenantCreate, key: IdempotencyKey = None
    ) -> Response:
        operations.require_operator(actor)
        return await run_post(
            actor,
            key,
            "tenant " + requested.model_dump_json(),
            lambda t: m.TenantView.of(t).model_dump(mode="json", by_alias=True),
            (),
            lambda: operations.create_tenant(actor, requested),
        )

    @app.get("/v1/tenants/{tenant}", tags=["tenants"])
    async def read_tenant(actor: CurrentActor, tenant: TenantPath, response: Response) -> m.TenantView:
        return tenant_view(response, await backend.read_latest(operations.visible_tenant, actor, tenant))

    @app.patch("/v1/tenants/{tenant}", tags=["tenants"], responses=_problem_responses(409, 412, 428))
    async def change_tenant(
        actor: CurrentActor,
        tenant: TenantPath,
        requested: m.TenantPatch,
        response: Response,
        if_match: IfMatch = None,
    ) -> m.TenantView:
        changed = await backend.change(operations.patch_tenant, actor, tenant, if_match, requested)
        return tenant_view(response, changed)

    @app.delete(
        "/v1/tenants/{tenant}", status_code=202, tags=["tenants"], responses=_problem_responses(409, 412, 428)
    )
    async def retire_tenant(
        actor: CurrentActor, tenant: TenantPath, response: Response, if_match: IfMatch = None
    ) -> m.TenantView:
        """Takes nothing new; what is in hand is answered, and then the tenant is gone."""
        return tenant_view(response, await backend.change(operations.retire_tenant, actor, tenant, if_match))

    @app.get("/v1/tenants/{tenant}/limits", tags=["limits"])
    async def read_limits(actor: CurrentActor, tenant: TenantPath, response: Response) -> m.LimitsView:
        found = await backend.read_latest(operations.visible_tenant, actor, tenant)
        response.headers["ETag"] = etag(found)
        return m.LimitsView.of(found, operations.defaults.limits)

    @app.put("/v1/tenants/{tenant}/limits", tags=["limits"], responses=_problem_responses(409, 412, 428))
    async def set_limits(
        actor: CurrentActor,
        tenant: TenantPath,
        requested: LimitsModel,
        response: Response,
        if_match: IfMatch = None,
    ) -> m.LimitsView:
        changed = await backend.change(operations.set_limits, actor, tenant, if_match, requested.to_domain())
        response.headers["ETag"] = etag(changed)
        return m.LimitsView.of(changed, operations.defaults.limits)

    @app.get("/v1/tenants/{tenant}/usage", tags=["tenants"])
    async def read_usage(actor: CurrentActor, tenant: TenantPath) -> m.UsageView:
        await backend.read(operations.visible_tenant, actor, tenant)
        return m.UsageView.model_validate(await backend.proxy.usage(tenant))

    # -- keys
    @app.get("/v1/tenants/{tenant}/keys", tags=["keys"])
    async def list_keys(
        actor: CurrentActor, tenant: TenantPath, cursor: Cursor = "", limit: PageLimit = 100
    ) -> m.Page[m.KeyView]:
        found = await backend.read_latest(operations.list_keys, actor, tenant, cursor, limit + 1)
        page = paginate(found, limit, lambda pair: pair[0].id)
        return m.Page(items=[m.KeyView.of(*pair) for pair in page["items"]], next=page["next"])

    @app.post(
        "/v1/tenants/{tenant}/keys",
        status_code=201,
        tags=["keys"],
        response_model=m.KeyIssued,
        responses=_problem_responses(409),
    )
    async def issue_key(
        actor: CurrentActor, tenant: TenantPath, requested: m.KeyCreate, key: IdempotencyKey = None
    ) -> Response:
        return await run_post(
            actor,
            key,
            f"key {tenant} {requested.model_dump_json()}",
            lambda issued: m.KeyIssued(token=issued[1], **m.KeyView.of(issued[0]).model_dump()).model_dump(
                mode="json"
            ),
            ("token",),
            lambda: operations.issue_key(actor, tenant, requested),
        )

    @app.delete("/v1/tenants/{tenant}/keys/{key}", status_code=204, tags=["keys"])
    async def revoke_key(actor: CurrentActor, tenant: TenantPath, key: IdPath) -> None:
        """At once for what comes; requests in hand are answered."""
        await backend.change(operations.revoke_key, actor, tenant, key)

    # -- tokens
    @app.get("/v1/tokens", tags=["tokens"])
    async def list_tokens(
        actor: CurrentActor, cursor: Cursor = "", limit: PageLimit = 100
    ) -> m.Page[m.TokenView]:
        found = await backend.read_latest(operations.list_tokens, actor, cursor, limit + 1)
        page = paginate(found, limit, lambda token: token.id)
        return m.Page(items=[m.TokenView.of(t) for t in page["items"]], next=page["next"])

    @app.post(
        "/v1/tokens",
        status_code=201,
        tags=["tokens"],
        response_model=m.TokenIssued,
        responses=_problem_responses(409),
    )
    async def issue_token(
        actor: CurrentActor, requested: m.TokenCreate, key: IdempotencyKey = None
    ) -> Response:
        return await run_post(
            actor,
            key,
            "token " + requested.model_dump_json(),
            lambda issued: m.TokenIssued(
                token=issued[1], **m.TokenView.of(issued[0]).model_dump()
            ).model_dump(mode="json"),
            ("token",),
            lambda: operations.issue_token(actor, requested),
        )

    @app.delete("/v1/tokens/{token}", status_code=204, tags=["tokens"], responses=_problem_responses(409))
    async def revoke_token(actor: CurrentActor, token: IdPath) -> None:
        await backend.change(operations.revoke_token, actor, token)

    # -- the running proxy
    @app.get("/v1/proxy", tags=["proxy"])
    async def read_proxy(actor: CurrentActor) -> m.ProxyView:
        operations.require_operator(actor)
        return m.ProxyView.model_validate(await backend.proxy.proxy_status())

    @app.post("/v1/proxy/standby", tags=["proxy"], responses=_problem_responses(409))
    async def stand_by(actor: CurrentActor) -> m.ProxyView:
        """Sends clients away: readiness says no, what still comes is served, connections end within 2 s."""
        operations.require_operator(actor)
        return await asyncio.shield(asyncio.ensure_future(backend.set_active(actor, active=False)))

    @app.post("/v1/proxy/active", tags=["proxy"], responses=_problem_responses(409))
    async def back_to_work(actor: CurrentActor) -> m.ProxyView:
        operations.require_operator(actor)
        return await asyncio.shield(asyncio.ensure_future(backend.set_active(actor, active=True)))

    @app.get("/v1/cluster", tags=["cluster"])
    async def read_cluster(actor: CurrentActor) -> m.ClusterView:
        """The fleet as this instance sees it; 404 where it is not a member of one."""
        operations.require_operator(actor)
        found = await backend.proxy.cluster_status()
        if found is None:
            raise ApiProblem(404, "not-found", "This instance is by itself: its file has no [cluster].")
        return m.ClusterView.model_validate(found)

    # -- nodes and events
    @app.get("/v1/boxes", tags=["boxes"])
    async def list_boxes(actor: CurrentActor) -> m.Boxes:
        """The boxes as this proxy knows them, draining ones too."""
        operations.require_operator(actor)
        return m.Boxes(items=[m.BoxView.model_validate(b) for b in await backend.proxy.node_statuses()])

    @app.get("/v1/events", tags=["events"])
    async def list_events(
        actor: CurrentActor,
        cursor: Annotated[int, Query(ge=0, le=1 << 62)] = 0,
        limit: PageLimit = 100,
        tenant: TenantId | None = None,
    ) -> m.Page[m.EventView]:
        """The audit log, oldest first."""
        found = await backend.read_latest(operations.list_events, actor, cursor, limit + 1, tenant)
        page = paginate(found, limit, lambda event: str(event.seq))
        return m.Page(items=[m.EventView.of(e) for e in page["items"]], next=page["next"])

    _add_problem_schema(app)
    return app


def _add_exception_handlers(app: FastAPI) -> None:
    @app.exception_handler(ApiProblem)
    async def on_problem(_: Request, error: ApiProblem) -> Response:
        return problem_response(error)

    @app.exception_handler(RequestValidationError)
    async def on_invalid(_: Request, error: RequestValidationError) -> Response:
        errors = [
            {"place": ".".join(str(part) for part in e["loc"]), "what": e["msg"]} for e in error.errors()[:20]
        ]
        return problem_response(
            ApiProblem(422, "invalid", "The request is not what the document describes.", errors=errors)
        )

    @app.exception_handler(HTTPException)
    async def on_http(_: Request, error: HTTPException) -> Response:
        kind = {404: "not-found", 405: "method-not-allowed"}.get(error.status_code, "bad-request")
        return problem_response(ApiProblem(error.status_code, kind, str(error.detail), error.headers))

    @app.exception_handler(Exception)
    async def on_failure(_: Request, error: Exception) -> Response:
        return problem_response(ApiProblem(500, "failed", "It is in the service's log."))


def _add_problem_schema(app: FastAPI) -> None:
    """Adds the schema of problems to the document, which FastAPI does not generate."""
    document = app.openapi()
    schemas = document.setdefault("components", {}).setdefault("schemas", {})
    schemas["Problem"] = m.Problem.model_json_schema(ref_template="#/components/schemas/{model}")
