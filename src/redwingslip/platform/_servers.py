"""The HTTP interfaces that the platform calls, in front of the way to the leader."""

import contextlib
from collections.abc import Callable
from datetime import timedelta

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..http import HttpLimits, build_app
from ..peers import CallSource
from ..relay import Exchange, decode_call, retry_headers

__all__ = ["readiness_app", "relay_app"]

METHODS = ["GET", "POST", "PUT", "DELETE", "PATCH"]
# Kept back from a caller's deadline for the way of the answer to the caller.
ANSWER_TIME = timedelta(milliseconds=100)
JSON = "application/json"


def relay_app(
    source: CallSource, exchange: Exchange, limits: HttpLimits, max_wait: timedelta
) -> Starlette:
    """Return the application that passes calls of one interface to the leader."""

    async def answer(req: Request) -> Response:
        call = await decode_call(req, source, limits)
        wait = min(max_wait, _deadline(req, max_wait))
        answer = await exchange(call, wait)
        return Response(
            answer.body,
            status_code=answer.status,
            headers=retry_headers(answer),
            media_type=JSON,
        )

    return build_app([Route("/{path:path}", answer, methods=METHODS)])


def readiness_app(is_ready: Callable[[], bool]) -> Starlette:
    """Return the application that says whether new connections are wanted."""

    async def answer(req: Request) -> Response:
        return Response(status_code=200 if is_ready() else 503)

    return build_app([Route("/ready", answer, methods=["GET"])])


def _deadline(req: Request, max_wait: timedelta) -> timedelta:
    """Return how long a caller waits, as far as it says; in milliseconds."""
    with contextlib.suppress(ValueError, OverflowError):
        wait = timedelta(milliseconds=float(req.headers.get("request-deadline", "")))
        return max(wait - ANSWER_TIME, ANSWER_TIME)
    return max_wait
