"""The HTTP interfaces that the platform calls, in front of the way to the leader."""

import contextlib
from collections.abc import Awaitable, Callable
from datetime import timedelta

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..http import HttpLimits, build_app, read_body
from ..peers import CallSource, RelayedAnswer, RelayedCall

__all__ = ["readiness_app", "relay_app"]

Exchange = Callable[[RelayedCall, timedelta], Awaitable[RelayedAnswer]]

METHODS = ["GET", "POST", "PUT", "DELETE", "PATCH"]
# Kept back from a caller's deadline for the way of the answer to the caller.
ANSWER_TIME = timedelta(milliseconds=100)
JSON = "application/json"


def relay_app(
    source: CallSource, exchange: Exchange, limits: HttpLimits, patience: timedelta
) -> Starlette:
    """Return the application that passes calls of one interface to the leader."""

    async def answer(req: Request) -> Response:
        call = await _decode_call(req, source, limits)
        wait = min(patience, _deadline(req, patience))
        answer = await exchange(call, wait)
        headers = {}
        if answer.retry_after_s:
            headers["Retry-After"] = str(answer.retry_after_s)
        return Response(
            answer.body, status_code=answer.status, headers=headers, media_type=JSON
        )

    return build_app([Route("/{path:path}", answer, methods=METHODS)])


def readiness_app(is_ready: Callable[[], bool]) -> Starlette:
    """Return the application that says whether new connections are wanted."""

    async def answer(req: Request) -> Response:
        return Response(status_code=200 if is_ready() else 503)

    return build_app([Route("/ready", answer, methods=["GET"])])


async def _decode_call(
    req: Request, source: CallSource, limits: HttpLimits
) -> RelayedCall:
    path = req.url.path
    return RelayedCall(
        number=0,
        source=source,
        method=req.method,
        path=path,
        host=req.headers.get("host", ""),
        token=_token(req),
        request_id=path.rpartition("/")[2],
        body=await read_body(req, limits) if req.method in ("POST", "PUT") else b"",
    )


def _token(req: Request) -> str:
    scheme, _, token = req.headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def _deadline(req: Request, patience: timedelta) -> timedelta:
    """Return how long a caller waits, as far as it says; in milliseconds."""
    with contextlib.suppress(ValueError, OverflowError):
        wait = timedelta(milliseconds=float(req.headers.get("request-deadline", "")))
        return max(wait - ANSWER_TIME, ANSWER_TIME)
    return patience
