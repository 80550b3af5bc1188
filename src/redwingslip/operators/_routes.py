"""The HTTP interface for operators."""

import hashlib
import re
import secrets
from collections.abc import Iterable
from datetime import timedelta

import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from ..callers import has_known_token, hash_secret, make_secret
from ..decoding import is_whole
from ..fleet import (
    Command,
    DeleteResource,
    Invalid,
    KeySpec,
    Kind,
    Outcome,
    PutResource,
)
from ..http import (
    FieldError,
    HttpLimits,
    Problem,
    decode_json,
    problem_response,
    read_body,
    strict_convert,
    unauthorized_response,
)
from ._outcomes import outcome_problem
from ._resources import parse_record, record_of
from ._service import FleetService
from ._watch import watch_lines
from .exceptions import NoLeaderError

__all__ = ["OperatorInterface", "operator_routes"]

PROPOSE_TIMEOUT = timedelta(seconds=10)
RETRY_AFTER = timedelta(seconds=2)
N_NAME_DIGITS = 10
MAX_ID_LENGTH = 255

_NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
_ETAG_PATTERN = re.compile(r'(?:W/)?"?(\d+)"?')


class KeyGrant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request for a new key; a name is generated if `name` is empty."""

    name: str = ""


def operator_routes(
    service: FleetService, cfg: HttpLimits, token_hashes: Iterable[str]
) -> list[Route]:
    """Return the routes for operators.

    Parameters
    ----------
    service : FleetService
        The replicated state.
    cfg : HttpLimits
        Limits on request bodies.
    token_hashes : iterable of str
        SHA-256 of each token that is accepted from operators, in hexadecimal.
    """
    return OperatorInterface(service, cfg, tuple(token_hashes)).routes()


class OperatorInterface:
    """Handles the HTTP requests of operators.

    Parameters
    ----------
    service : FleetService
        The replicated state.
    cfg : HttpLimits
        Limits on request bodies.
    token_hashes : tuple of str
        SHA-256 of each token that is accepted from operators, in hexadecimal.
    """

    __slots__ = ("_cfg", "_service", "_token_hashes")

    def __init__(
        self, service: FleetService, cfg: HttpLimits, token_hashes: tuple[str, ...]
    ) -> None:
        self._service = service
        self._cfg = cfg
        self._token_hashes = token_hashes

    def routes(self) -> list[Route]:
        """Return the routes."""
        routes = [
            Route("/v1/status", self._authenticated(self.get_status), methods=["GET"]),
            Route(
                "/v1/replicas", self._authenticated(self.get_replicas), methods=["GET"]
            ),
            Route(
                "/v1/teams/{team}/keys",
                self._authenticated(self.grant_key),
                methods=["POST"],
            ),
        ]
        for kind in Kind:
            routes += self._kind_routes(kind)
        return routes

    def _kind_routes(self, kind: Kind) -> list[Route]:
        async def list_all(req: Request) -> Response:
            return await self.list_all(req, kind)

        async def get(req: Request) -> Response:
            return self.get(req, kind)

        async def put(req: Request) -> Response:
            return await self.put(req, kind)

        async def delete(req: Request) -> Response:
            return await self.delete(req, kind)

        path = f"/v1/{kind}"
        return [
            Route(path, self._authenticated(list_all), methods=["GET"]),
            Route(path + "/{name}", self._authenticated(get), methods=["GET"]),
            Route(path + "/{name}", self._authenticated(put), methods=["PUT"]),
            Route(path + "/{name}", self._authenticated(delete), methods=["DELETE"]),
        ]

    def _authenticated(self, handler):
        """Return a handler that requires a token and handles errors of requests."""

        async def authenticated(req: Request) -> Response:
            if not has_known_token(
                req.headers.get("authorization"), self._token_hashes
            ):
                return unauthorized_response("an operator's")
            try:
                return await handler(req)
            except FieldError as exc:
                return _invalid_response(exc)
            except NoLeaderError as exc:
                return _no_leader_response(exc)

        return authenticated

    async def get_replicas(self, req: Request) -> Response:
        """Return the state of the replicas, as the leader knows it."""
        return _json_response(await self._service.replicas(PROPOSE_TIMEOUT))

    async def get_status(self, req: Request) -> Response:
        """Return the status of this entry, and what it knows of the leader."""
        return _json_response(self._service.status())

    async def list_all(self, req: Request, kind: Kind) -> Response:
        """Return all resources of a kind, or watch them from a revision."""
        if "watch" in req.query_params:
            return await self._watch(req, kind)
        view = self._service.view
        in_force = self._service.status().in_force_index
        items = [
            record_of(resource, view, in_force)
            for _, resource in sorted(view.resources[kind].items())
        ]
        return _json_response(
            {"revision": view.index, "in_force": in_force, "items": items}
        )

    def get(self, req: Request, kind: Kind) -> Response:
        """Return a resource."""
        name = req.path_params["name"]
        resource = self._service.view.resources[kind].get(name)
        if resource is None:
            return _not_found_response(kind, name)
        in_force = self._service.status().in_force_index
        record = record_of(resource, self._service.view, in_force)
        return _json_response(record, headers={"ETag": f'"{resource.version}"'})

    async def put(self, req: Request, kind: Kind) -> Response:
        """Write a resource."""
        name = _checked_name(req.path_params["name"])
        body = decode_json(await read_body(req, self._cfg))
        spec, version = parse_record(body, kind, name)
        if_version = self._if_version(req, kind, name)
        command = PutResource(
            name=name,
            spec=spec,
            if_version=version if if_version is None else if_version,
            operation_id=_operation_id(req),
        )
        outcome = await self._propose(command)
        refusal = outcome_problem(outcome)
        if refusal is not None:
            return refusal
        return self._written_response(kind, name, outcome.version)

    async def delete(self, req: Request, kind: Kind) -> Response:
        """Delete a resource."""
        name = req.path_params["name"]
        if name not in self._service.view.resources[kind] and not _operation_id(req):
            return _not_found_response(kind, name)
        command = DeleteResource(
            kind=kind,
            name=name,
            if_version=self._if_version(req, kind, name),
            operation_id=_operation_id(req),
        )
        outcome = await self._propose(command)
        refusal = outcome_problem(outcome)
        if refusal is not None:
            return refusal
        return _json_response({"kind": kind, "name": name, "version": outcome.version})

    async def grant_key(self, req: Request) -> Response:
        """Grant a team a new key; only this answer contains its secret."""
        team = req.path_params["team"]
        body = await read_body(req, self._cfg)
        grant = strict_convert(decode_json(body) if body else {}, KeyGrant)
        name = _checked_name(grant.name or _key_name(team, _operation_id(req)))
        secret = make_secret(name)
        spec = KeySpec(team=team, sha256=hash_secret(secret))
        command = PutResource(
            name=name, spec=spec, if_version=0, operation_id=_operation_id(req)
        )
        outcome = await self._propose(command)
        if isinstance(outcome, Invalid) and outcome.field == "operation_id":
            # A resend contains a newly generated secret, so the state rejects it as a
            # different operation with the same id.
            return _granted_before_response(name)
        refusal = outcome_problem(outcome)
        if refusal is not None:
            return refusal
        granted = {
            "kind": Kind.KEY,
            "name": name,
            "version": outcome.version,
            "secret": secret,
        }
        headers = {"Location": f"/v1/keys/{name}", "Cache-Control": "no-store"}
        return _json_response(granted, status=201, headers=headers)

    async def _propose(self, command: Command) -> Outcome:
        return await self._service.propose(command, PROPOSE_TIMEOUT)

    def _written_response(self, kind: Kind, name: str, version: int) -> Response:
        """Return the written resource, or only its version if it has changed since."""
        headers = {"ETag": f'"{version}"'}
        view = self._service.view
        resource = view.resources[kind].get(name)
        if resource is None or resource.version != version:
            written = {"kind": kind, "name": name, "version": version}
            return _json_response(written, headers=headers)
        in_force = self._service.status().in_force_index
        return _json_response(record_of(resource, view, in_force), headers=headers)

    def _if_version(self, req: Request, kind: Kind, name: str) -> int | None:
        """Return the version that must be the current one, or None for any version."""
        if_none_match = req.headers.get("if-none-match")
        if if_none_match is not None:
            if if_none_match.strip() != "*":
                raise FieldError("If-None-Match", "must be '*'")
            return 0
        if_match = req.headers.get("if-match")
        if if_match is None:
            return None
        if if_match.strip() == "*":
            resource = self._service.view.resources[kind].get(name)
            return -1 if resource is None else resource.version
        match = _ETAG_PATTERN.fullmatch(if_match.strip())
        if match is None or not is_whole(match[1]):
            raise FieldError("If-Match", "must be a version such as \"12\", or '*'")
        return int(match[1])

    async def _watch(self, req: Request, kind: Kind) -> Response:
        value = req.query_params["watch"]
        if not is_whole(value):
            raise FieldError("watch", "must be a revision, a whole number")
        index = int(value)
        changes = await self._service.changes_after(index, timedelta(0))
        if changes is None:
            return _too_old_response(self._service.view.index)
        state = req.app.state
        lines = watch_lines(
            self._service, kind, changes, index, lambda: state.is_stopping
        )
        return StreamingResponse(lines, media_type="application/jsonl")


def _json_response(
    value, *, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    body = msgspec.json.encode(value)
    return Response(
        body, status_code=status, headers=headers, media_type="application/json"
    )


def _checked_name(name: str) -> str:
    if not _NAME_PATTERN.fullmatch(name):
        detail = "use 1 to 63 of a-z, 0-9, '.' and '-', letters or digits at both ends"
        raise FieldError("name", detail)
    return name


def _operation_id(req: Request) -> str:
    value = req.headers.get("idempotency-key", "")
    if len(value) > MAX_ID_LENGTH:
        raise FieldError("Idempotency-Key", f"at most {MAX_ID_LENGTH} characters")
    return value


def _key_name(team: str, operation_id: str) -> str:
    """Return a name for a new key; a resend of the operation gets the same name."""
    if operation_id:
        digits = hashlib.sha256(f"{team}/{operation_id}".encode()).hexdigest()
    else:
        digits = secrets.token_hex(N_NAME_DIGITS)
    return f"{team[:40]}-{digits[:N_NAME_DIGITS]}"


def _invalid_response(exc: FieldError) -> Response:
    problem = Problem(status=422, title="invalid", detail=exc.detail, field=exc.field)
    return problem_response(problem)


def _no_leader_response(exc: NoLeaderError) -> Response:
    detail = f"{exc}; it may still be applied: resend it with the same Idempotency-Key"
    problem = Problem(
        status=503,
        title="no leader confirmed the change",
        detail=detail,
        outcome="unknown",
    )
    return problem_response(problem, retry_after=RETRY_AFTER)


def _not_found_response(kind: Kind, name: str) -> Response:
    problem = Problem(
        status=404,
        title="no such resource",
        detail=f"there is no {kind}/{name}",
        field="name",
    )
    return problem_response(problem)


def _too_old_response(index: int) -> Response:
    problem = Problem(
        status=410,
        title="revision too old",
        detail="list the resources again and watch from the revision given there",
        field="watch",
        version=index,
    )
    return problem_response(problem)


def _granted_before_response(name: str) -> Response:
    detail = (
        "an earlier send of this operation granted the key, and its secret was in "
        f"that answer only; if it is lost, delete keys/{name} and grant another"
    )
    problem = Problem(
        status=409, title="granted before", detail=detail, field="Idempotency-Key"
    )
    return problem_response(problem)
