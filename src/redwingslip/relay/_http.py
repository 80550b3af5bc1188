"""Conversion of HTTP requests to relayed calls, and of answers to HTTP headers."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from starlette.requests import Request

from ..http import HttpLimits, read_body
from ..peers import CallSource, RelayedAnswer, RelayedCall

__all__ = ["Exchange", "decode_call", "retry_headers"]

# Relays a call to the leader and returns its answer; the time is the longest wait.
Exchange = Callable[[RelayedCall, timedelta], Awaitable[RelayedAnswer]]


async def decode_call(
    req: Request, source: CallSource, limits: HttpLimits
) -> RelayedCall:
    """Return a request as a relayed call; the last segment of the path is its id."""
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


def retry_headers(answer: RelayedAnswer) -> dict[str, str]:
    """Return a Retry-After header if the answer has a retry time, else no header."""
    if not answer.retry_after_s:
        return {}
    return {"Retry-After": str(answer.retry_after_s)}


def _token(req: Request) -> str:
    scheme, _, token = req.headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""
