"""The HTTP interface for the announcements of endpoints."""

from collections.abc import Iterable
from datetime import timedelta
from typing import Annotated, Literal

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..callers import has_known_token
from ..decoding import Whole
from ..http import (
    FieldError,
    HttpLimits,
    Problem,
    decode_json,
    is_address,
    problem_response,
    read_body,
    strict_convert,
    unauthorized_response,
)
from ..peers import EndpointReport, RunningTask
from ._calls import AnnouncementHandler
from .exceptions import AnnouncementError

__all__ = ["Announcement", "RunningRecord", "announcement_routes"]

RETRY_AFTER = timedelta(seconds=1)

Text = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]


class RunningRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A task that is running on the endpoint."""

    permit_id: Text
    team: Annotated[str, msgspec.Meta(max_length=255)] = ""


class Announcement(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The announcement of an endpoint, as it is sent.

    Attributes
    ----------
    address : str
        IP address and port.
    clock_s : float
        The monotonic clock of the endpoint, in seconds.
    """

    incarnation: Text
    service: Text
    address: Annotated[str, msgspec.Meta(pattern=r"^(\[[0-9a-f:]+\]|[0-9.]+):\d+$")]
    vm: Text
    slots: Annotated[int, msgspec.Meta(ge=0, le=100_000)]
    state: Literal["serving", "leaving"]
    clock_s: Annotated[float, msgspec.Meta(ge=0, le=1e9)]
    fencing_token: Whole = 0
    running: tuple[RunningRecord, ...] = ()


class _Reply(msgspec.Struct, frozen=True, kw_only=True):
    fencing_token: int
    announce_within_s: float


def announcement_routes(
    announcements: AnnouncementHandler,
    cfg: HttpLimits,
    *,
    token_hashes: Iterable[str] = (),
) -> list[Route]:
    """Return the routes for endpoints.

    Parameters
    ----------
    announcements : AnnouncementHandler
        Handles each announcement.
    cfg : HttpLimits
        Limits on request bodies.
    token_hashes : iterable of str
        SHA-256 of each token that is accepted from endpoints, in hexadecimal.
    """
    hashes = tuple(token_hashes)

    async def put(req: Request) -> Response:
        if not has_known_token(req.headers.get("authorization"), hashes):
            return unauthorized_response("the endpoints'")
        body = decode_json(await read_body(req, cfg))
        announcement = strict_convert(body, Announcement)
        if not is_address(announcement.address):
            raise FieldError("address", "the port must be between 1 and 65535")
        report = _endpoint_report(req.path_params["endpoint_id"], announcement)
        try:
            reply = announcements.announce(report)
        except AnnouncementError as exc:
            return _not_accepted_response(exc)
        out = _Reply(
            fencing_token=reply.fencing_token,
            announce_within_s=reply.announce_within.total_seconds(),
        )
        return Response(msgspec.json.encode(out), media_type="application/json")

    return [Route("/v1/endpoints/{endpoint_id}", put, methods=["PUT"])]


def _endpoint_report(endpoint_id: str, announcement: Announcement) -> EndpointReport:
    running = tuple(
        RunningTask(permit_id=task.permit_id, team=task.team)
        for task in announcement.running
    )
    return EndpointReport(
        endpoint_id=endpoint_id,
        incarnation=announcement.incarnation,
        service=announcement.service,
        address=announcement.address,
        vm=announcement.vm,
        slots=announcement.slots,
        leaving=announcement.state == "leaving",
        clock=timedelta(seconds=announcement.clock_s),
        fencing_token=announcement.fencing_token,
        running=running,
    )


def _not_accepted_response(exc: AnnouncementError) -> Response:
    problem = Problem(status=503, title="announcement not taken", detail=str(exc))
    return problem_response(problem, retry_after=RETRY_AFTER)
