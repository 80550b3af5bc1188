"""From an HTTP request to a call for the leader, and back."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from starlette.requests import Request

from ..http import HttpLimits, read_body
from ..peers import CallSource, RelayedAnswer, RelayedCall

__all__ = ["Exchange", "decode_call", "retry_headers"]

Exchange = Callable[[RelayedCall, timedelta], Awaitable[RelayedAnswer]]


async def decode_call(
    req: Request, source: CallSource, limits: HttpLimits
) -> RelayedCall:
    """Return the call that a request makes, its last part of the path as the id."""
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
    """Return the header that says when to come back, if the answer says it."""
    if not answer.retry_after_s:
        return {}
    return {"Retry-After": str(answer.retry_after_s)}


def _token(req: Request) -> str:
    scheme, _, token = req.headers.get("authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""
