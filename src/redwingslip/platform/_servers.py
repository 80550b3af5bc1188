"""The HTTP interfaces that the platform calls; they relay calls to the leader."""

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
# Part of a caller's deadline that is reserved for sending the answer back.
ANSWER_RESERVE = timedelta(milliseconds=100)
JSON_TYPE = "application/json"


def relay_app(
    source: CallSource, exchange: Exchange, limits: HttpLimits, max_wait: timedelta
) -> Starlette:
    """Return the application that relays the calls of one interface to the leader.

    Parameters
    ----------
    source : CallSource
        The interface.
    exchange : callable
        Relays a call to the leader and returns the answer.
    limits : HttpLimits
        Limits of request bodies.
    max_wait : timedelta
        Longest wait for the leader's answer; a caller's own deadline may shorten it.
    """

    async def handle(req: Request) -> Response:
        call = await decode_call(req, source, limits)
        wait = min(max_wait, _caller_wait(req, max_wait))
        answer = await exchange(call, wait)
        return Response(
            answer.body,
            status_code=answer.status,
            headers=retry_headers(answer),
            media_type=JSON_TYPE,
        )

    return build_app([Route("/{path:path}", handle, methods=METHODS)])


def readiness_app(is_ready: Callable[[], bool]) -> Starlette:
    """Return the application that reports whether to send new connections here."""

    async def handle(req: Request) -> Response:
        return Response(status_code=200 if is_ready() else 503)

    return build_app([Route("/ready", handle, methods=["GET"])])


def _caller_wait(req: Request, max_wait: timedelta) -> timedelta:
    """Return the longest wait for an answer that the caller's deadline allows.

    The request-deadline header holds the time in milliseconds. The wait is at least
    `ANSWER_RESERVE`. Without a valid header, `max_wait` is returned.
    """
    with contextlib.suppress(ValueError, OverflowError):
        wait = timedelta(milliseconds=float(req.headers.get("request-deadline", "")))
        return max(wait - ANSWER_RESERVE, ANSWER_RESERVE)
    return max_wait
