"""The starlette application around the routes."""

from collections.abc import Sequence

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute

from ._bodies import FieldError
from ._problems import NOT_RUN, UNKNOWN, Problem, problem_response
from .exceptions import BodyTooLargeError

__all__ = ["build_app"]


def build_app(routes: Sequence[BaseRoute]) -> Starlette:
    """Return an application that answers every failure with a problem document.

    Its ``state.is_stopping`` becomes true when its server begins to stop; answers
    that have no end of their own should end then.
    """
    handlers = {
        BodyTooLargeError: _on_too_large,
        FieldError: _on_field_error,
        HTTPException: _on_http_exception,
        Exception: _on_failure,
    }
    app = Starlette(
        routes=list(routes),
        exception_handlers=handlers,
        middleware=[Middleware(_CloseWhenStopping)],
    )
    app.state.is_stopping = False
    return app


class _CloseWhenStopping:
    """Adds ``Connection: close`` to every answer of a stopping server."""

    __slots__ = ("_app",)

    def __init__(self, app) -> None:
        self._app = app

    async def __call__(self, scope, receive, send) -> None:
        """Answer a request."""
        state = scope["app"].state

        async def send_closing(message) -> None:
            if message["type"] == "http.response.start" and state.is_stopping:
                headers = [*message.get("headers", ()), (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        await self._app(scope, receive, send_closing)


async def _on_too_large(req: Request, exc: BodyTooLargeError) -> Response:
    problem = Problem(
        status=413,
        title="body too large",
        detail=str(exc),
        field="body",
        outcome=NOT_RUN,
    )
    return problem_response(problem)


async def _on_field_error(req: Request, exc: FieldError) -> Response:
    problem = Problem(
        status=400,
        title="bad request",
        detail=exc.detail,
        field=exc.field,
        outcome=NOT_RUN,
    )
    return problem_response(problem)


async def _on_http_exception(req: Request, exc: HTTPException) -> Response:
    detail = f"{req.method} {req.url.path} can't be routed: {exc.detail}"
    problem = Problem(
        status=exc.status_code,
        title=exc.detail,
        detail=detail,
        field="path" if exc.status_code == 404 else "method",
        outcome=NOT_RUN,
    )
    return problem_response(problem, headers=exc.headers)


async def _on_failure(req: Request, exc: Exception) -> Response:
    problem = Problem(
        status=500,
        title="internal error",
        detail="this entry failed; its log tells more",
        outcome=UNKNOWN,
    )
    return problem_response(problem)
