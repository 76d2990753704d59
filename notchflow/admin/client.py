"""`notchflow admin`: a command-line client for the administration API."""

from __future__ import annotations

import argparse
import json
import os
import sys
import uuid
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Any, Final

import httpx
from rich.console import Console
from rich.table import Table

from notchflow.tenancy.keys import ADMIN, public_id

DEFAULT_URL: Final = "http://127.0.0.1:18081"
REQUEST_TIMEOUT_S: Final = 15.0


class ApiError(Exception):
    """The API responded with a problem, or could not be reached."""


class Client:
    """Sends requests to one API with one token."""

    def __init__(self, url: str, token: str) -> None:
        self.http = httpx.Client(
            base_url=url,
            timeout=REQUEST_TIMEOUT_S,
            trust_env=False,
            headers={"Authorization": f"Bearer {token}"},
        )

    def request(self, method: str, path: str, body: Any = None, **headers: str) -> Any:
        """Sends one request; returns its JSON body, or None if the body is empty. ApiError."""
        header_fields = {name.replace("_", "-"): value for name, value in headers.items()}
        try:
            response = self.http.request(method, path, json=body, headers=header_fields)
        except httpx.HTTPError as error:
            raise ApiError(f"{self.http.base_url}: {error}") from None
        if response.status_code >= 400:
            raise ApiError(_format_problem(response))
        return response.json() if response.content else None

    def list_items(self, path: str, **query: str) -> Iterator[Any]:
        """Yields all items of a list, requesting page after page. ApiError."""
        cursor: str | None = ""
        while cursor is not None:
            params = {k: v for k, v in query.items() if v} | ({"cursor": cursor} if cursor else {})
            page = self.request("GET", f"{path}?{httpx.QueryParams(params)}")
            yield from page["items"]
            cursor = page.get("next")

    def change_tenant(self, method: str, tenant: str, path: str, body: Any = None) -> Any:
        """Reads the version of a tenant, then changes it on condition that this is still the version.
        ApiError."""
        version = self.request("GET", f"/v1/tenants/{tenant}")["version"]
        return self.request(method, path, body, If_Match=f'"{version}"')


def _format_problem(response: httpx.Response) -> str:
    try:
        problem = response.json()
    except ValueError:
        return f"status {response.status_code}"
    errors = "".join(f"\n  {e['place']}: {e['what']}" for e in problem.get("errors", []))
    return f"{problem.get('title', 'failed')} ({response.status_code}): {problem.get('detail', '')}{errors}"


def make_parser() -> argparse.ArgumentParser:
    """The commands, in groups by the kind of resource."""
    parser = argparse.ArgumentParser(prog="notchflow admin", description="Calls the administration API.")
    parser.add_argument(
        "--url",
        default=os.environ.get("NOTCHFLOW_ADMIN", DEFAULT_URL),
        help="the API (default: $NOTCHFLOW_ADMIN, else %(default)s)",
    )
    parser.add_argument("--token-file", type=Path, help="a file with the token (default: $NOTCHFLOW_TOKEN)")
    parser.add_argument("--json", action="store_true", help="JSON instead of tables")
    groups = parser.add_subparsers(
        dest="about", required=True, metavar="tenants|keys|limits|boxes|proxy|events|tokens"
    )

    def add_group(name: str) -> Any:
        return groups.add_parser(name).add_subparsers(dest="call", required=True)

    tenants = add_group("tenants")
    list_tenants = tenants.add_parser("list")
    list_tenants.add_argument("--state", default="")
    for name in ("create", "show", "suspend", "resume", "retire", "usage"):
        command = tenants.add_parser(name)
        command.add_argument("tenant")
        if name == "create":
            command.add_argument("--name", default="")
    keys = add_group("keys")
    keys.add_parser("list").add_argument("tenant")
    issue_key = keys.add_parser("issue")
    issue_key.add_argument("tenant")
    issue_key.add_argument("--label", default="")
    issue_key.add_argument("--expires-at", help="RFC 3339, such as 2027-01-31T00:00:00Z")
    revoke_key = keys.add_parser("revoke")
    revoke_key.add_argument("tenant")
    revoke_key.add_argument("key")
    limits = add_group("limits")
    limits.add_parser("show").add_argument("tenant")
    set_limits = limits.add_parser("set")
    set_limits.add_argument("tenant")
    for name, value_type in LIMIT_TYPES.items():
        set_limits.add_argument("--" + name.replace("_", "-"), type=value_type)
    add_group("boxes").add_parser("list")
    proxy = add_group("proxy")
    for name in ("show", "standby", "active"):
        proxy.add_parser(name)
    add_group("events").add_parser("list").add_argument("--tenant", default="")
    tokens = add_group("tokens")
    tokens.add_parser("list")
    issue_token = tokens.add_parser("issue")
    issue_token.add_argument("--tenant")
    issue_token.add_argument("--label", default="")
    tokens.add_parser("revoke").add_argument("token")
    return parser


LIMIT_TYPES: Final[dict[str, Any]] = {
    "rate_per_s": float,
    "burst": float,
    "in_hand": int,
    "bytes_held": int,
    "weight": float,
}


def run_command(client: Client, options: argparse.Namespace) -> Any:
    """Runs one command; returns the JSON value to print. ApiError."""
    idempotency_key = str(uuid.uuid4())
    match options.about, options.call:
        case "tenants", "list":
            return list(client.list_items("/v1/tenants", state=options.state))
        case "tenants", "create":
            return client.request(
                "POST",
                "/v1/tenants",
                {"id": options.tenant, "name": options.name},
                Idempotency_Key=idempotency_key,
            )
        case "tenants", "show":
            return client.request("GET", f"/v1/tenants/{options.tenant}")
        case "tenants", "usage":
            return client.request("GET", f"/v1/tenants/{options.tenant}/usage")
        case "tenants", "retire":
            return client.change_tenant("DELETE", options.tenant, f"/v1/tenants/{options.tenant}")
        case "tenants", _:
            state = "suspended" if options.call == "suspend" else "active"
            return client.change_tenant(
                "PATCH", options.tenant, f"/v1/tenants/{options.tenant}", {"state": state}
            )
        case "keys", "list":
            return list(client.list_items(f"/v1/tenants/{options.tenant}/keys"))
        case "keys", "issue":
            body = {"label": options.label} | (
                {"expires_at": options.expires_at} if options.expires_at else {}
            )
            return client.request(
                "POST", f"/v1/tenants/{options.tenant}/keys", body, Idempotency_Key=idempotency_key
            )
        case "keys", "revoke":
            return client.request("DELETE", f"/v1/tenants/{options.tenant}/keys/{options.key}")
        case "limits", "show":
            return client.request("GET", f"/v1/tenants/{options.tenant}/limits")
        case "limits", "set":
            current = client.request("GET", f"/v1/tenants/{options.tenant}/limits")["limits"]
            given = {
                name: getattr(options, name) for name in LIMIT_TYPES if getattr(options, name) is not None
            }
            return client.change_tenant(
                "PUT", options.tenant, f"/v1/tenants/{options.tenant}/limits", current | given
            )
        case "boxes", _:
            return client.request("GET", "/v1/boxes")["items"]
        case "proxy", "show":
            return client.request("GET", "/v1/proxy")
        case "proxy", _:
            return client.request("POST", f"/v1/proxy/{options.call}")
        case "events", _:
            return list(client.list_items("/v1/events", tenant=options.tenant))
        case "tokens", "list":
            return list(client.list_items("/v1/tokens"))
        case "tokens", "issue":
            body = {"label": options.label} | ({"tenant": options.tenant} if options.tenant else {})
            return client.request("POST", "/v1/tokens", body, Idempotency_Key=idempotency_key)
        case _:
            return client.request("DELETE", f"/v1/tokens/{options.token}")


def print_result(result: Any, as_json: bool) -> None:
    """Prints a list as a table, an object as lines."""
    if as_json:
        print(json.dumps(result, indent=2))
        return
    console = Console()
    if isinstance(result, dict):
        for name, value in result.items():
            console.print(f"{name}: {_format_value(value)}", markup=False, soft_wrap=True)
    elif isinstance(result, list) and result:
        if "before" in result[0]:
            result = [_audit_row(item) for item in result]
        table = Table(*result[0])
        for item in result:
            table.add_row(*(_format_value(value) for value in item.values()))
        console.print(table)
    elif isinstance(result, list):
        console.print("none")


def _audit_row(item: dict[str, Any]) -> dict[str, Any]:
    """An audit event as a row: only the changed fields instead of the full objects before and after, which
    `--json` prints."""
    before, after = item["before"] or {}, item["after"] or {}
    changed = [
        f"{name}: {_format_value(before.get(name))} -> {_format_value(after.get(name))}"
        for name in before | after
        if before.get(name) != after.get(name) and name not in ("version", "changed_at")
    ]
    row = {name: value for name, value in item.items() if name not in ("before", "after", "tenant")}
    return row | {"change": "; ".join(changed) if before else "new"}


def _format_value(value: Any) -> str:
    return "-" if value is None else value if isinstance(value, str) else json.dumps(value)


class TokenNotFound(Exception):
    """No valid token was found; the message says where it was expected."""


def load_token(file: Path | None) -> str:
    """Reads the token from a file or from the environment. TokenNotFound."""
    try:
        token = file.read_text().strip() if file else os.environ.get("NOTCHFLOW_TOKEN", "")
    except OSError as error:
        raise TokenNotFound(f"{file}: {error.strerror}") from None
    if public_id(token, ADMIN) is None:  # the text is not printed, as it may be another secret
        source = file or "NOTCHFLOW_TOKEN"
        raise TokenNotFound(f"{source} holds no token (nva_...); set NOTCHFLOW_TOKEN or give --token-file")
    return token


def main(arguments: Sequence[str]) -> int:
    """Runs one command; returns the exit status: 1 if the request failed, 2 if the arguments are invalid."""
    options = make_parser().parse_args(arguments)
    try:
        result = run_command(Client(options.url, load_token(options.token_file)), options)
    except TokenNotFound as error:
        print(f"notchflow admin: {error}", file=sys.stderr)
        return 2
    except ApiError as error:
        print(f"notchflow admin: {error}", file=sys.stderr)
        return 1
    print_result(result, options.json)
    return 0
