"""The HTTP interface for submitters; it relays calls to the leader."""

from datetime import timedelta

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..http import HttpLimits, build_app
from ..peers import CallSource
from ..relay import Exchange, answer_response, decode_call

__all__ = ["submitter_app"]


def submitter_app(
    exchange: Exchange, limits: HttpLimits, max_wait: timedelta
) -> Starlette:
    """Return the application that relays submitters' calls to the leader.

    Parameters
    ----------
    exchange : callable
        Relays a call to the leader and returns the answer.
    limits : HttpLimits
        Limits of request bodies.
    max_wait : timedelta
        Longest wait for the leader's answer.
    """

    async def handle(req: Request) -> Response:
        call = await decode_call(req, CallSource.SUBMITTERS, limits)
        answer = await exchange(call, max_wait)
        return answer_response(answer)

    routes = [
        Route("/v1/queues/{queue}/jobs", handle, methods=["GET"]),
        Route(
            "/v1/queues/{queue}/jobs/{job_id}",
            handle,
            methods=["GET", "POST", "DELETE"],
        ),
    ]
    return build_app(routes)
