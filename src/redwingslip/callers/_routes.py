"""The HTTP interface for callers.

A request is answered with the complete answer of an endpoint, or with a problem
document that says whether the work may have run.
"""

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
    BodyClaim,
    BodyRefusedError,
    HttpLimits,
    Problem,
    problem_response,
    read_body,
    request_claim,
)
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
    """Return the routes for callers and the load balancer.

    Parameters
    ----------
    runner : RequestRunner
        Runs the requests.
    cfg : HttpLimits
        Limits on request bodies and on waits for them.
    results : ResultLimits or None
        Limits on asynchronous requests and their results.
    clock : Clock or None
        Measures the age of results; the system clock by default.
    own_url : str
        Scheme and address of this entry. Only the entry that accepted an
        asynchronous request knows it, so the ``Location`` of the request has to
        bypass the load balancer.
    identify : callable
        See `CallerInterface`.
    """
    store = ResultStore(results or ResultLimits(), clock or SystemClock())
    interface = CallerInterface(runner, cfg, store, own_url=own_url, identify=identify)
    return interface.routes()


class CallerInterface:
    """Handles the HTTP requests of callers.

    Parameters
    ----------
    runner : RequestRunner
        Runs the requests.
    cfg : HttpLimits
        Limits on request bodies.
    store : ResultStore
        Runs the asynchronous requests and keeps their results.
    own_url : str
        Scheme and address at the start of each ``Location``.
    identify : callable
        Returns the owner of a key. Only requests with a key of the same owner can
        fetch or cancel an asynchronous request. Raises `UnauthorizedError` for a key
        that is unknown or has been withdrawn.
    """

    __slots__ = ("_cfg", "_identify", "_own_url", "_runner", "_store")

    def __init__(
        self,
        runner: RequestRunner,
        cfg: HttpLimits,
        store: ResultStore,
        *,
        own_url: str = "",
        identify: Callable[[str], str] = hash_secret,
    ) -> None:
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
        """Wait until no asynchronous request is running."""
        await self._store.drain()

    async def close(self) -> None:
        """Cancel the asynchronous requests and drop their results."""
        await self._store.close()

    async def post(self, req: Request) -> Response:
        """Run a request, or start it if the caller prefers an asynchronous run."""
        request_id = uuid.uuid4().hex
        try:
            body = await self._read_body(req)
            submission, is_async = parse_submission(req, request_id, body)
            if is_async:
                return self._start(submission, request_claim(req))
            return await self._run_while_connected(req, submission)
        except RequestError as exc:
            return _error_response(exc, request_id)

    async def _read_body(self, req: Request) -> bytes:
        """Return the body; raise `NotRunError` if there is no memory for it."""
        try:
            return await read_body(req, self._cfg)
        except BodyRefusedError as exc:
            raise NotRunError(str(exc), retry_after=RETRY_AFTER) from exc

    async def get(self, req: Request) -> Response:
        """Return the answer to an asynchronous request, or 202 while it runs."""
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
        """Cancel an asynchronous request and drop its result."""
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
        """Respond with 200 while the process is alive."""
        return Response(b"ok\n", media_type="text/plain")

    async def readyz(self, req: Request) -> Response:
        """Respond with 200 if new requests are accepted, else with 503."""
        if self._runner.is_ready():
            return Response(b"ready\n", media_type="text/plain")
        problem = Problem(
            status=503, title="not ready", detail="this entry accepts no new requests"
        )
        return problem_response(problem, retry_after=RETRY_AFTER)

    def _owner(self, key: str | None) -> str:
        """Return the owner of a key; all requests without a key have one owner."""
        return "" if key is None else self._identify(key)

    def _start(self, submission: Submission, claim: BodyClaim) -> Response:
        """Start an asynchronous request, whose run takes over the claim on memory."""
        request_id = submission.request_id
        owner = self._owner(submission.key)
        run_claim = claim.transfer()
        run = self._run_with_claim(submission, run_claim)
        try:
            self._store.start(request_id, owner, run)
        except TooManyResultsError as exc:
            run_claim.release()
            text = "the limit of asynchronous requests is reached; retry later"
            raise NotRunError(text, retry_after=RETRY_AFTER) from exc
        return _accepted_response(request_id, self._own_url)

    async def _run_with_claim(self, submission: Submission, claim: BodyClaim) -> Answer:
        """Run a request, and release the memory of its body when the run ends."""
        try:
            return await self._runner.run(submission)
        finally:
            claim.release()

    async def _run_while_connected(
        self, req: Request, submission: Submission
    ) -> Response:
        """Run a request, and cancel the run if the caller disconnects."""
        run = asyncio.create_task(self._runner.run(submission))
        disconnect = asyncio.create_task(_wait_for_disconnect(req))
        try:
            await asyncio.wait({run, disconnect}, return_when=asyncio.FIRST_COMPLETED)
            if not run.done():
                await _cancel(run)
                return Response(status_code=CLIENT_CLOSED_REQUEST)
            return _answer_response(await run, submission.request_id)
        finally:
            disconnect.cancel()
            run.cancel()


async def _wait_for_disconnect(req: Request) -> None:
    """Return once the caller has disconnected."""
    while True:
        message = await req.receive()
        if message["type"] == "http.disconnect":
            return


async def _cancel(run: asyncio.Task) -> None:
    """Cancel a run and wait until it has ended, in whichever way."""
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
        exc = OutcomeUnknownError(
            "an internal error occurred in this entry; ask its operator"
        )
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
        detail="this key has no request with this id, or its result was dropped",
        field="path",
        outcome=UNKNOWN,
        request_id=request_id,
    )
    return problem_response(problem)
