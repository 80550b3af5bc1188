"""Runs callers' requests on an entry."""

import contextlib
from collections.abc import Callable
from datetime import timedelta

import msgspec

from ..callers import (
    Answer,
    BadRequestError,
    NotRunError,
    OutcomeUnknownError,
    RequestError,
    Submission,
    UnauthorizedError,
    UnknownQueueError,
    authenticate,
)
from ..clock import Clock
from ..endpoints import (
    EndpointCall,
    EndpointClient,
    EndpointOutcomeUnknownError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from ..fleet import ClaimOutcome, FleetView, QueueSpec
from ..observe import Event, EventName, EventSink, Metrics
from ..peers import Permit, PermitRequest, RunResult
from ..settings import RequestsSettings
from ._claims import NOT_RUN_OUTCOME, ClaimClient, HeldClaim
from ._permits import GrantedPermit, PermitClient
from ._refusals import refusal_error
from ._retry_budget import RetryBudget
from .exceptions import PermitRefusedError, StalePermitError

__all__ = ["EntryRunner"]

OPEN_TEAM = "open"

# Values of the outcome of a request in the metrics.
ANSWERED = "answered"
CANCELLED = "cancelled"
REFUSED = "not-run"
UNKNOWN = "unknown"

MAX_ATTEMPTS = 6
FIRST_SERVER_ERROR_STATUS = 500


class _Run:
    """The state of one caller's request, across all its attempts."""

    __slots__ = (
        "excluded",
        "expires_at",
        "idempotent",
        "n_attempts",
        "n_failed",
        "queue",
        "submission",
        "team",
    )

    def __init__(
        self,
        submission: Submission,
        *,
        queue: QueueSpec,
        team: str,
        idempotent: bool,
        expires_at: timedelta,
    ) -> None:
        self.submission = submission
        self.queue = queue
        self.team = team
        self.idempotent = idempotent
        self.expires_at = expires_at
        self.excluded: tuple[str, ...] = ()
        self.n_attempts = 0
        self.n_failed = 0


class EntryRunner:
    """Runs callers' requests: checks the key, claims, gets a permit, calls an endpoint.

    Parameters
    ----------
    cfg : RequestsSettings
        Settings of requests, of which the retry budget is used here.
    entry_id : str
        Id of this entry.
    view : FleetView
        The entry's view.
    has_lease : callable
        Returns whether the entry's lease is valid.
    permits : PermitClient
        Requests permits.
    claims : ClaimClient
        Makes and settles claims.
    client : EndpointClient
        Calls endpoints.
    clock : Clock
        The process's clock.
    events : EventSink
        Receives the events of requests.
    metrics : Metrics
        Receives the durations of requests and calls.
    """

    __slots__ = (
        "_claims",
        "_client",
        "_clock",
        "_entry_id",
        "_events",
        "_has_lease",
        "_metrics",
        "_permits",
        "_retry_budget",
        "_view",
        "is_stopping",
        "n_running",
    )

    def __init__(
        self,
        *,
        cfg: RequestsSettings,
        entry_id: str,
        view: FleetView,
        has_lease: Callable[[], bool],
        permits: PermitClient,
        claims: ClaimClient,
        client: EndpointClient,
        clock: Clock,
        events: EventSink,
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._retry_budget = RetryBudget(cfg.retry_budget)
        self._entry_id = entry_id
        self._view = view
        self._has_lease = has_lease
        self._permits = permits
        self._claims = claims
        self._client = client
        self._clock = clock
        self._events = events
        self.is_stopping = False
        self.n_running = 0

    def is_ready(self) -> bool:
        """Return whether new requests are accepted."""
        return not self.is_stopping and self._has_lease()

    async def run(self, submission: Submission) -> Answer:
        """Run a request and return its complete answer; see `RequestRunner`."""
        started_at = self._clock.monotonic()
        self.n_running += 1
        run = None
        outcome = CANCELLED
        try:
            run = self._admit(submission)
            self._emit(EventName.REQUEST_RECEIVED, run)
            answer = await self._claim_and_run(run)
            outcome = ANSWERED
        except RequestError as exc:
            outcome = UNKNOWN if exc.may_have_run else REFUSED
            self._emit(EventName.REQUEST_REFUSED, run, detail=str(exc))
            raise
        finally:
            self.n_running -= 1
            self._metrics.record_request(
                queue="" if run is None else submission.queue,
                outcome=outcome,
                duration=self._clock.monotonic() - started_at,
            )
        self._emit(EventName.REQUEST_ANSWERED, run, status=answer.status)
        return answer

    # Admission.

    def _admit(self, submission: Submission) -> _Run:
        """Check queue and key of a request; raise `RequestError` if it may not run."""
        queue = self._view.queue(submission.queue)
        if queue is None and not self._has_lease():
            raise NotRunError("this entry has no up-to-date configuration")
        if queue is None:
            raise UnknownQueueError(f"unknown queue {submission.queue!r}")
        team = self._find_team(submission, queue)
        idempotent = submission.idempotent
        if idempotent is None:
            idempotent = queue.idempotent
        max_timeout = queue.max_wait + queue.max_run
        timeout = max_timeout if submission.timeout is None else submission.timeout
        self._retry_budget.add_request()
        return _Run(
            submission,
            queue=queue,
            team=team,
            idempotent=idempotent,
            expires_at=self._clock.monotonic() + min(timeout, max_timeout),
        )

    def _find_team(self, submission: Submission, queue: QueueSpec) -> str:
        """Return the team on whose account a request runs, after checking its key."""
        if queue.open and submission.key is None:
            return OPEN_TEAM
        if not self._has_lease():
            raise NotRunError("no lease: keys can't be checked", retry_after=_SECOND)
        return authenticate(self._view, submission.key)

    def _recheck(self, run: _Run, granted: GrantedPermit) -> None:
        """Check start window, queue and key again, immediately before the call.

        The process may have been frozen since it received the permit, and the key may
        have been withdrawn meanwhile.
        """
        if self._clock.monotonic() >= granted.start_until:
            raise StalePermitError("the permit's start window has expired")
        queue = self._view.queue(run.submission.queue)
        if queue is None:
            raise UnknownQueueError(f"queue {run.submission.queue!r} was deleted")
        team = self._find_team(run.submission, queue)
        if team != run.team:
            raise UnauthorizedError("the key now belongs to another team")

    async def _claim_and_run(self, run: _Run) -> Answer:
        """Run a request, under a claim if it is non-idempotent and has a key."""
        key = run.submission.idempotency_key
        if run.idempotent or key is None:
            return await self._run_attempts(run)
        held = await self._claims.claim(
            run.team, key, run.submission.request_id, run.expires_at
        )
        if isinstance(held, Answer):
            return held
        return await self._run_claimed(run, held)

    async def _run_claimed(self, run: _Run, held: HeldClaim) -> Answer:
        outcome = ClaimOutcome(run=True)
        try:
            answer = await self._run_attempts(run)
            outcome = ClaimOutcome(
                run=True,
                status=answer.status,
                content_type=answer.content_type,
                body=answer.body,
            )
        except (NotRunError, BadRequestError, UnauthorizedError, UnknownQueueError):
            outcome = NOT_RUN_OUTCOME
            raise
        finally:
            self._claims.settle(held, outcome)
        return answer

    # Permits and calls.

    async def _run_attempts(self, run: _Run) -> Answer:
        """Run a request until an attempt succeeds or no further one is permitted."""
        while True:
            granted = await self._obtain_permit(run)
            run.n_attempts += 1
            try:
                answer = await self._run_under_permit(run, granted)
            except (
                EndpointUnreachableError,
                EndpointRefusedError,
                StalePermitError,
            ) as exc:
                self._exclude_endpoint(run, granted.permit)
                if run.n_attempts >= MAX_ATTEMPTS:
                    raise NotRunError(str(exc), retry_after=_SECOND) from exc
                continue
            except EndpointOutcomeUnknownError as exc:
                if not self._may_run_again(run, granted.permit):
                    raise OutcomeUnknownError(str(exc)) from exc
                continue
            if answer.status < FIRST_SERVER_ERROR_STATUS:
                return answer
            if not self._may_run_again(run, granted.permit):
                return answer

    def _may_run_again(self, run: _Run, permit: Permit) -> bool:
        """Count a failed run; return whether another endpoint may repeat it."""
        run.n_failed += 1
        self._exclude_endpoint(run, permit)
        if not run.idempotent or run.n_attempts >= MAX_ATTEMPTS:
            return False
        if self._clock.monotonic() >= run.expires_at:
            return False
        return self._retry_budget.try_spend()

    def _exclude_endpoint(self, run: _Run, permit: Permit) -> None:
        run.excluded = (*run.excluded, permit.endpoint_id)

    async def _obtain_permit(self, run: _Run) -> GrantedPermit:
        submission = run.submission
        request = PermitRequest(
            request_id=f"{submission.request_id}.{run.n_attempts}",
            entry_id=self._entry_id,
            pool=run.queue.pool,
            queue=submission.queue,
            service=run.queue.service,
            team=run.team,
            urgent=run.queue.urgent,
            deadline=timedelta(0),
            max_run=run.queue.max_run,
            expected_run=submission.expected_run,
            slots=submission.slots,
            accelerators=submission.accelerators,
            memory_mb=submission.memory_mb,
            excluded=run.excluded,
            n_attempts=run.n_failed,
        )
        try:
            return await self._permits.obtain(request, run.expires_at)
        except PermitRefusedError as exc:
            if run.n_failed:
                raise OutcomeUnknownError(
                    f"a run failed, and no other one is permitted: {exc}"
                ) from exc
            raise refusal_error(exc.refusal) from exc

    async def _run_under_permit(self, run: _Run, granted: GrantedPermit) -> Answer:
        """Call the permit's endpoint, and return the permit with the result."""
        permit = granted.permit
        result = RunResult.NOT_RUN
        started_at = self._clock.monotonic()
        try:
            self._recheck(run, granted)
            result = RunResult.UNKNOWN
            answer = await self._call(run, permit)
            result = RunResult.COMPLETED
            if answer.status >= FIRST_SERVER_ERROR_STATUS:
                result = RunResult.FAILED
            return answer
        except (EndpointUnreachableError, EndpointRefusedError):
            result = RunResult.NOT_RUN
            raise
        finally:
            run_time = self._clock.monotonic() - started_at
            self._metrics.record_call(
                pool=permit.pool, outcome=result, duration=run_time
            )
            self._permits.return_permit(permit, result, run_time)
            self._emit(EventName.CALL_ENDED, run, permit=permit, detail=result)

    async def _call(self, run: _Run, permit: Permit) -> Answer:
        self._emit(EventName.CALL_SENT, run, permit=permit)
        remaining = run.expires_at - self._clock.monotonic()
        call = EndpointCall(
            permit=permit,
            path=run.queue.path,
            team=run.team,
            content_type=run.submission.content_type,
            body=run.submission.body,
            timeout=min(remaining, permit.lease),
        )
        answer = await self._client.call(call)
        return Answer(
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
            endpoint_id=permit.endpoint_id,
        )

    def _emit(
        self,
        name: EventName,
        run: _Run | None,
        *,
        permit: Permit | None = None,
        status: int = 0,
        detail: str = "",
    ) -> None:
        event = Event(name=name, status=status, detail=detail)
        if run is not None:
            event = msgspec.structs.replace(
                event,
                request_id=run.submission.request_id,
                team=run.team,
                queue=run.submission.queue,
            )
        if permit is not None:
            event = msgspec.structs.replace(
                event,
                permit_id=permit.permit_id,
                endpoint_id=permit.endpoint_id,
                pool=permit.pool,
                epoch=permit.epoch,
            )
        with contextlib.suppress(OSError):
            self._events.emit(event)


_SECOND = timedelta(seconds=1)
