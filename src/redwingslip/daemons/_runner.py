"""How an entry runs a caller's request."""

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
from ._claims import NOT_RUN, ClaimDesk, HeldClaim
from ._permits import GrantedPermit, PermitDesk
from ._refusals import refusal_error
from ._retry_budget import RetryBudget
from .exceptions import PermitRefusedError, StalePermitError

__all__ = ["EntryRunner"]

OPEN_TEAM = "open"

# Outcomes of requests in the metrics.
ANSWERED = "answered"
CANCELLED = "cancelled"
REFUSED = "not-run"
UNKNOWN = "unknown"

N_ATTEMPTS_MAX = 6
SERVER_ERROR = 500


class _Run:
    """One caller's request on its way."""

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
    """Runs callers' requests: key, claim, permit, call, answer.

    Parameters
    ----------
    cfg : RequestsSettings
        Retry budget and what is recorded.
    entry_id : str
        This entry.
    view : FleetView
        The entry's view.
    has_lease : callable
        Tells whether the entry's lease holds now.
    permits : PermitDesk
        Asks for permits.
    claims : ClaimDesk
        Takes and settles claims.
    client : EndpointClient
        Calls endpoints.
    clock : Clock
        The process's clock.
    events : EventSink
        Takes the events of requests.
    metrics : Metrics
        Takes the times of requests and calls.
    """

    __slots__ = (
        "_budget",
        "_claims",
        "_client",
        "_clock",
        "_entry_id",
        "_events",
        "_has_lease",
        "_metrics",
        "_permits",
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
        permits: PermitDesk,
        claims: ClaimDesk,
        client: EndpointClient,
        clock: Clock,
        events: EventSink,
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._budget = RetryBudget(cfg.retry_budget)
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
        """Return whether new work is taken."""
        return not self.is_stopping and self._has_lease()

    async def run(self, submission: Submission) -> Answer:
        """Run a request and return its whole answer; see `RequestRunner`."""
        began = self._clock.monotonic()
        self.n_running += 1
        run = None
        outcome = CANCELLED
        try:
            run = self._admit(submission)
            self._emit(EventName.REQUEST_RECEIVED, run)
            answer = await self._run_once(run)
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
                duration=self._clock.monotonic() - began,
            )
        self._emit(EventName.REQUEST_ANSWERED, run, status=answer.status)
        return answer

    # Admission.

    def _admit(self, submission: Submission) -> _Run:
        queue = self._view.queue(submission.queue)
        if queue is None and not self._has_lease():
            raise NotRunError("this entry has no current configuration")
        if queue is None:
            raise UnknownQueueError(f"there is no queue {submission.queue!r}")
        team = self._team_of(submission, queue)
        idempotent = submission.idempotent
        if idempotent is None:
            idempotent = queue.idempotent
        longest = queue.max_wait + queue.max_run
        timeout = longest if submission.timeout is None else submission.timeout
        self._budget.add_request()
        return _Run(
            submission,
            queue=queue,
            team=team,
            idempotent=idempotent,
            expires_at=self._clock.monotonic() + min(timeout, longest),
        )

    def _team_of(self, submission: Submission, queue: QueueSpec) -> str:
        """Return the team on whose account a request runs, if it may."""
        if queue.open and submission.key is None:
            return OPEN_TEAM
        if not self._has_lease():
            raise NotRunError("this entry can't check keys now", retry_after=_SECOND)
        return authenticate(self._view, submission.key)

    def _check_again(self, run: _Run, granted: GrantedPermit) -> None:
        """Check immediately before the send what may have ended meanwhile.

        The process may have been frozen since the permit came, and the key withdrawn.
        """
        if self._clock.monotonic() >= granted.start_until:
            raise StalePermitError("the permit's start window has ended")
        queue = self._view.queue(run.submission.queue)
        if queue is None:
            raise UnknownQueueError(f"queue {run.submission.queue!r} was deleted")
        team = self._team_of(run.submission, queue)
        if team != run.team:
            raise UnauthorizedError("the key now belongs to another team")

    # Claims.

    async def _run_once(self, run: _Run) -> Answer:
        """Run a request under a claim where one is needed."""
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
            outcome = NOT_RUN
            raise
        finally:
            self._claims.settle(held, outcome)
        return answer

    # Permits and calls.

    async def _run_attempts(self, run: _Run) -> Answer:
        while True:
            granted = await self._obtain(run)
            run.n_attempts += 1
            try:
                answer = await self._use(run, granted)
            except (
                EndpointUnreachableError,
                EndpointRefusedError,
                StalePermitError,
            ) as exc:
                self._prepare_retry(run, granted.permit)
                if run.n_attempts >= N_ATTEMPTS_MAX:
                    raise NotRunError(str(exc), retry_after=_SECOND) from exc
                continue
            except EndpointOutcomeUnknownError as exc:
                if not self._may_run_again(run, granted.permit):
                    raise OutcomeUnknownError(str(exc)) from exc
                continue
            if answer.status < SERVER_ERROR:
                return answer
            if not self._may_run_again(run, granted.permit):
                return answer

    def _may_run_again(self, run: _Run, permit: Permit) -> bool:
        """Return whether a request that may have run can be tried elsewhere."""
        run.n_failed += 1
        self._prepare_retry(run, permit)
        if not run.idempotent or run.n_attempts >= N_ATTEMPTS_MAX:
            return False
        if self._clock.monotonic() >= run.expires_at:
            return False
        return self._budget.take()

    def _prepare_retry(self, run: _Run, permit: Permit) -> None:
        run.excluded = (*run.excluded, permit.endpoint_id)

    async def _obtain(self, run: _Run) -> GrantedPermit:
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
                    f"a run failed, and there is no other: {exc}"
                ) from exc
            raise refusal_error(exc.refusal) from exc

    async def _use(self, run: _Run, granted: GrantedPermit) -> Answer:
        permit = granted.permit
        result = RunResult.NOT_RUN
        started = self._clock.monotonic()
        try:
            self._check_again(run, granted)
            result = RunResult.UNKNOWN
            answer = await self._call(run, permit)
            result = RunResult.COMPLETED
            if answer.status >= SERVER_ERROR:
                result = RunResult.FAILED
            return answer
        except (EndpointUnreachableError, EndpointRefusedError):
            result = RunResult.NOT_RUN
            raise
        finally:
            run_time = self._clock.monotonic() - started
            self._metrics.record_call(
                pool=permit.pool, outcome=result, duration=run_time
            )
            self._permits.done(permit, result, run_time)
            self._emit(EventName.CALL_ENDED, run, permit=permit, detail=result)

    async def _call(self, run: _Run, permit: Permit) -> Answer:
        self._emit(EventName.CALL_SENT, run, permit=permit)
        left = run.expires_at - self._clock.monotonic()
        call = EndpointCall(
            permit=permit,
            path=run.queue.path,
            team=run.team,
            content_type=run.submission.content_type,
            body=run.submission.body,
            timeout=min(left, permit.lease),
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
