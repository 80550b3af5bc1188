"""The callers' interface: requests in, whole answers or true refusals out."""

import asyncio
import contextlib
import uuid
from collections.abc import Callable
from datetime import timedelta

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..clock import Clock, SystemClock
from ..http import (
    NOT_RUN,
    UNKNOWN,
    HttpLimits,
    Problem,
    expected_body_bytes,
    problem_response,
    read_body,
)
from ._budget import ByteBudget
from ._headers import parse_submission
from ._keys import bearer_token, hash_secret
from ._requests import Answer, RequestRunner, Submission, WaitingAnswer
from ._results import ResultLimits, ResultStore, TooManyResultsError
from .exceptions import NotRunError, OutcomeUnknownError, RequestError

__all__ = ["CallerInterface", "caller_routes"]

CLIENT_CLOSED_REQUEST = 499
RETRY_AFTER = timedelta(seconds=1)
REQUEST_ID = "Redwingslip-Request"


def caller_routes(
    runner: RequestRunner,
    cfg: HttpLimits,
    *,
    results: ResultLimits | None = None,
    clock: Clock | None = None,
    own_url: str = "",
    identify: Callable[[str], str] = hash_secret,
) -> list[Route]:
    """Return the routes that callers and the balancer use.

    Parameters
    ----------
    runner : RequestRunner
        Runs the requests.
    cfg : HttpLimits
        Limits of bodies and waits.
    results : ResultLimits or None
        Bounds of the asynchronous requests.
    clock : Clock or None
        The machine's by default.
    own_url : str
        Scheme and address of this entry. An asynchronous request is known only to
        the entry that took it, so its ``Location`` has to lead past the balancer.
    identify : callable
        See `CallerInterface`.
    """
    store = ResultStore(results or ResultLimits(), clock or SystemClock())
    interface = CallerInterface(runner, cfg, store, own_url=own_url, identify=identify)
    return interface.routes()


class CallerInterface:
    """Answers callers.

    Parameters
    ----------
    runner : RequestRunner
        Runs the requests.
    cfg : HttpLimits
        Limits of bodies.
    store : ResultStore
        Keeps the asynchronous requests.
    own_url : str
        Scheme and address that a ``Location`` begins with.
    identify : callable
        Returns whom a key belongs to; only the same one gets at a result. Raises
        `UnauthorizedError` for a key that is not, or no longer, valid.
    """

    __slots__ = ("_budget", "_cfg", "_identify", "_own_url", "_runner", "_store")

    def __init__(
        self,
        runner: RequestRunner,
        cfg: HttpLimits,
        store: ResultStore,
        *,
        own_url: str = "",
        identify: Callable[[str], str] = hash_secret,
    ) -> None:
        self._budget = ByteBudget(cfg.max_total_body_bytes)
        self._own_url = own_url
        self._identify = identify
        self._runner = runner
        self._cfg = cfg
        self._store = store

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route("/v1/queues/{queue}/requests", self.post, methods=["POST"]),
            Route("/v1/requests/{request_id}", self.get, methods=["GET"]),
            Route("/v1/requests/{request_id}", self.delete, methods=["DELETE"]),
            Route("/healthz", self.healthz, methods=["GET"]),
            Route("/readyz", self.readyz, methods=["GET"]),
        ]

    async def drain(self) -> None:
        """Wait until no asynchronous request is under way."""
        await self._store.drain()

    async def close(self) -> None:
        """Cancel the asynchronous requests and drop their results."""
        await self._store.close()

    async def post(self, req: Request) -> Response:
        """Run a request."""
        request_id = uuid.uuid4().hex
        n_bytes = expected_body_bytes(req, self._cfg)
        try:
            with contextlib.ExitStack() as held:
                held.enter_context(self._budget.reserve(n_bytes))
                body = await read_body(req, self._cfg)
                submission, is_async = parse_submission(req, request_id, body)
                if is_async:
                    return self._start(submission, held)
                return await self._run_while_connected(req, submission)
        except RequestError as exc:
            return _error_response(exc, request_id)

    async def get(self, req: Request) -> Response:
        """Return the answer of an asynchronous request, or 202 while it runs."""
        request_id = req.path_params["request_id"]
        try:
            owner = self._owner(_key(req))
        except RequestError as exc:
            return _error_response(exc, request_id)
        waiting = self._store.get(request_id, owner)
        if waiting is None:
            return _unknown_request(request_id)
        return _waiting_response(waiting, self._own_url)

    async def delete(self, req: Request) -> Response:
        """Cancel an asynchronous request."""
        request_id = req.path_params["request_id"]
        try:
            owner = self._owner(_key(req))
        except RequestError as exc:
            return _error_response(exc, request_id)
        waiting = await self._store.cancel(request_id, owner)
        if waiting is None:
            return _unknown_request(request_id)
        return Response(status_code=204)

    async def healthz(self, req: Request) -> Response:
        """Say that the process is alive."""
        return Response(b"ok\n", media_type="text/plain")

    async def readyz(self, req: Request) -> Response:
        """Say whether new work is taken."""
        if self._runner.is_ready():
            return Response(b"ready\n", media_type="text/plain")
        problem = Problem(
            status=503, title="not ready", detail="this entry takes no new work now"
        )
        return problem_response(problem, retry_after=RETRY_AFTER)

    def _owner(self, key: str | None) -> str:
        """Return who may ask for a result; requests without a key share one."""
        return "" if key is None else self._identify(key)

    def _start(self, submission: Submission, held: contextlib.ExitStack) -> Response:
        request_id = submission.request_id
        owner = self._owner(submission.key)
        kept = held.pop_all()
        run = self._run_holding(submission, kept)
        try:
            self._store.start(request_id, owner, run)
        except TooManyResultsError as exc:
            kept.close()
            text = "too many asynchronous requests; send it again later"
            raise NotRunError(text, retry_after=RETRY_AFTER) from exc
        return _accepted_response(request_id, self._own_url)

    async def _run_holding(
        self, submission: Submission, held: contextlib.ExitStack
    ) -> Answer:
        """Run a request whose body counts until its end."""
        with held:
            return await self._runner.run(submission)

    async def _run_while_connected(
        self, req: Request, submission: Submission
    ) -> Response:
        """Run a request; cancel it when its caller is gone."""
        run = asyncio.create_task(self._runner.run(submission))
        gone = asyncio.create_task(_disconnected(req))
        try:
            await asyncio.wait({run, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not run.done():
                await _cancelled(run)
                return Response(status_code=CLIENT_CLOSED_REQUEST)
            return _answer_response(await run, submission.request_id)
        finally:
            gone.cancel()
            run.cancel()


async def _disconnected(req: Request) -> None:
    """Return once the caller is gone."""
    while True:
        message = await req.receive()
        if message["type"] == "http.disconnect":
            return


async def _cancelled(run: asyncio.Task) -> None:
    """Cancel a run and wait for its end, whatever that is."""
    run.cancel()
    with contextlib.suppress(asyncio.CancelledError, RequestError):
        await run


def _key(req: Request) -> str | None:
    return bearer_token(req.headers.get("authorization"))


def _answer_response(answer: Answer, request_id: str) -> Response:
    headers = {REQUEST_ID: request_id, "Content-Type": answer.content_type}
    if answer.replayed:
        headers["Redwingslip-Replayed"] = "true"
    return Response(answer.body, status_code=answer.status, headers=headers)


def _accepted_response(request_id: str, own_url: str) -> Response:
    headers = {
        REQUEST_ID: request_id,
        "Location": f"{own_url}/v1/requests/{request_id}",
        "Retry-After": "1",
    }
    return Response(status_code=202, headers=headers)


def _waiting_response(waiting: WaitingAnswer, own_url: str) -> Response:
    if waiting.answer is not None:
        return _answer_response(waiting.answer, waiting.request_id)
    if isinstance(waiting.problem, RequestError):
        return _error_response(waiting.problem, waiting.request_id)
    if waiting.problem is not None:
        exc = OutcomeUnknownError("the entry failed; ask its operator")
        return _error_response(exc, waiting.request_id)
    return _accepted_response(waiting.request_id, own_url)


def _error_response(exc: RequestError, request_id: str) -> Response:
    problem = Problem(
        status=exc.status,
        title=exc.title,
        detail=exc.detail,
        field=getattr(exc, "field", ""),
        outcome=UNKNOWN if exc.may_have_run else NOT_RUN,
        request_id=request_id,
    )
    headers = {REQUEST_ID: request_id}
    if exc.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return problem_response(problem, retry_after=exc.retry_after, headers=headers)


def _unknown_request(request_id: str) -> Response:
    problem = Problem(
        status=404,
        title="no such request",
        detail="no request of this key has this id, or its result was dropped",
        field="path",
        outcome=UNKNOWN,
        request_id=request_id,
    )
    return problem_response(problem)
