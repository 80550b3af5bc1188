"""The HTTP interface for operators; it relays calls to the leader."""

from datetime import timedelta

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..callers import has_known_token
from ..http import HttpLimits, build_app, unauthorized_response
from ..peers import CallSource
from ..relay import Exchange, answer_response, decode_call

__all__ = ["control_app"]


def control_app(
    exchange: Exchange,
    limits: HttpLimits,
    max_wait: timedelta,
    token_hashes: tuple[str, ...],
) -> Starlette:
    """Return the application that relays operators' calls to the leader.

    Parameters
    ----------
    exchange : callable
        Relays a call to the leader and returns the answer.
    limits : HttpLimits
        Limits of request bodies.
    max_wait : timedelta
        Longest wait for the leader's answer.
    token_hashes : tuple of str
        SHA-256 of each token that is accepted from operators, in hexadecimal.
    """

    async def handle(req: Request) -> Response:
        if not has_known_token(req.headers.get("authorization"), token_hashes):
            return unauthorized_response("an operator's")
        call = await decode_call(req, CallSource.OPERATORS, limits)
        answer = await exchange(call, max_wait)
        return answer_response(answer)

    routes = [
        Route("/v1/vms", handle, methods=["GET"]),
        Route("/v1/evacuations", handle, methods=["GET"]),
        Route(
            "/v1/evacuations/{data_centre}", handle, methods=["GET", "PUT", "DELETE"]
        ),
    ]
    return build_app(routes)
