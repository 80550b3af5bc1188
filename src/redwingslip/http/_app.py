"""The starlette application that serves the routes."""

from collections.abc import Sequence
from datetime import timedelta

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute

from ._bodies import FieldError
from ._body_middleware import HoldBody
from ._problems import NOT_RUN, UNKNOWN, Problem, problem_response
from .exceptions import BodyRefusedError, BodyTooLargeError

__all__ = ["build_app"]

RETRY_AFTER = timedelta(seconds=1)


def build_app(routes: Sequence[BaseRoute]) -> Starlette:
    """Return an application that answers every failure with a problem document.

    The server sets ``state.bodies``, the budget for the bodies of requests, when it is
    created, and ``state.is_stopping`` when it begins to stop. Routes whose answers are
    streams without an end should end them then.
    """
    handlers = {
        BodyRefusedError: _handle_body_refused,
        BodyTooLargeError: _handle_body_too_large,
        FieldError: _handle_field_error,
        HTTPException: _handle_http_exception,
        Exception: _handle_unexpected_error,
    }
    app = Starlette(
        routes=list(routes),
        exception_handlers=handlers,
        middleware=[Middleware(_CloseWhenStopping), Middleware(HoldBody)],
    )
    app.state.is_stopping = False
    return app


class _CloseWhenStopping:
    """Middleware that adds ``Connection: close`` while the server is stopping."""

    __slots__ = ("_app",)

    def __init__(self, app) -> None:
        self._app = app

    async def __call__(self, scope, receive, send) -> None:
        """Run the application with a `send` that adds the header."""
        state = scope["app"].state

        async def send_with_close(message) -> None:
            if message["type"] == "http.response.start" and state.is_stopping:
                headers = [*message.get("headers", ()), (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await self._app(scope, receive, send_with_close)


async def _handle_body_refused(req: Request, exc: BodyRefusedError) -> Response:
    problem = Problem(
        status=503,
        title="no memory for the body",
        detail=str(exc),
        field="body",
        outcome=NOT_RUN,
    )
    return problem_response(problem, retry_after=RETRY_AFTER)


async def _handle_body_too_large(req: Request, exc: BodyTooLargeError) -> Response:
    problem = Problem(
        status=413,
        title="body too large",
        detail=str(exc),
        field="body",
        outcome=NOT_RUN,
    )
    return problem_response(problem)


async def _handle_field_error(req: Request, exc: FieldError) -> Response:
    problem = Problem(
        status=400,
        title="bad request",
        detail=exc.detail,
        field=exc.field,
        outcome=NOT_RUN,
    )
    return problem_response(problem)


async def _handle_http_exception(req: Request, exc: HTTPException) -> Response:
    detail = f"{req.method} {req.url.path} can't be handled: {exc.detail}"
    problem = Problem(
        status=exc.status_code,
        title=exc.detail,
        detail=detail,
        field="path" if exc.status_code == 404 else "method",
        outcome=NOT_RUN,
    )
    return problem_response(problem, headers=exc.headers)


async def _handle_unexpected_error(req: Request, exc: Exception) -> Response:
    problem = Problem(
        status=500,
        title="internal error",
        detail="an internal error occurred in this entry; its log has the details",
        outcome=UNKNOWN,
    )
    return problem_response(problem)
