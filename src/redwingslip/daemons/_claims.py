"""Claims of non-idempotent requests: at most one run for each id."""

import asyncio
import contextlib
import uuid
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta

from ..callers import Answer, BadRequestError, NotRunError, OutcomeUnknownError
from ..clock import Clock
from ..fleet import (
    Accepted,
    Claim,
    ClaimKey,
    ClaimOutcome,
    ClaimTaken,
    SettleClaim,
)
from ..operators import NoLeaderError
from ..settings import RequestsSettings
from ._leader import LeaderLink

__all__ = ["ClaimDesk", "HeldClaim"]

CLAIM_TIMEOUT = timedelta(seconds=3)
SETTLE_TIMEOUT = timedelta(seconds=30)
JOIN_POLL = timedelta(milliseconds=250)
CLOCK_SLACK = timedelta(minutes=5)
UUID_TIME_SHIFT = 80
NOT_RUN = ClaimOutcome(run=False)


class HeldClaim:
    """The right to run a request once."""

    __slots__ = ("attempt", "key")

    def __init__(self, key: ClaimKey, attempt: str) -> None:
        self.key = key
        self.attempt = attempt


class ClaimDesk:
    """Takes claims before a run and settles them after it.

    Parameters
    ----------
    cfg : RequestsSettings
        Window and size of what is recorded.
    leader : LeaderLink
        Commits the claims.
    clock : Clock
        The process's clock; ids carry wall-clock time.
    entry_id, incarnation : str
        This entry.
    """

    __slots__ = ("_cfg", "_clock", "_entry_id", "_incarnation", "_leader", "_tasks")

    def __init__(
        self,
        *,
        cfg: RequestsSettings,
        leader: LeaderLink,
        clock: Clock,
        entry_id: str,
        incarnation: str,
    ) -> None:
        self._cfg = cfg
        self._leader = leader
        self._clock = clock
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._tasks: set[asyncio.Task] = set()

    async def claim(
        self, team: str, request_key: str, attempt: str, until: timedelta
    ) -> HeldClaim | Answer:
        """Claim the run of a request, or return the answer of its first run.

        Raises
        ------
        BadRequestError
            The id carries no time, or one outside the window.
        NotRunError
            The claim could not be committed; nothing was run for this request.
        OutcomeUnknownError
            The first run has no known outcome.
        """
        made_at = _read_time(request_key)
        self._check_window(made_at)
        held = HeldClaim(ClaimKey(team=team, request_id=request_key), attempt)
        command = Claim(
            key=held.key,
            entry_id=self._entry_id,
            incarnation=self._incarnation,
            attempt=attempt,
            forget_after=made_at + self._cfg.claim_window + 2 * CLOCK_SLACK,
        )
        while True:
            taken = await self._propose(command)
            if taken is None:
                return held
            if taken.settled:
                return _recorded(taken)
            if self._clock.monotonic() + JOIN_POLL >= until:
                raise OutcomeUnknownError("the first run of this id goes on")
            await asyncio.sleep(JOIN_POLL.total_seconds())

    def _check_window(self, made_at: datetime) -> None:
        now = self._clock.utcnow()
        if made_at > now + CLOCK_SLACK:
            raise BadRequestError("Idempotency-Key: its time lies in the future")
        if made_at < now - self._cfg.claim_window:
            raise BadRequestError(
                f"Idempotency-Key: older than {self._cfg.claim_window}; whether it "
                "ran is not known any more, so it is not run"
            )

    async def _propose(self, command: Claim) -> ClaimTaken | None:
        try:
            outcome = await self._leader.propose(command, CLAIM_TIMEOUT)
        except NoLeaderError as exc:
            self._start(self._give_up(command))
            raise NotRunError(f"the claim was not confirmed: {exc}") from exc
        except asyncio.CancelledError:
            self._start(self._give_up(command))
            raise
        match outcome:
            case Accepted():
                return None
            case ClaimTaken():
                return outcome
        raise NotRunError(f"the claim was not taken: {outcome}")

    def settle(self, held: HeldClaim, outcome: ClaimOutcome) -> None:
        """Record the outcome of a claimed run, in the background."""
        if len(outcome.body) > self._cfg.max_recorded_answer_bytes:
            outcome = ClaimOutcome(run=True, status=0)
        command = SettleClaim(key=held.key, attempt=held.attempt, outcome=outcome)
        self._start(self._settle(command))

    async def _settle(self, command: SettleClaim) -> None:
        # Without a leader the claim stays open; it is settled as unknown once this
        # entry's lease has ended.
        with contextlib.suppress(NoLeaderError):
            await self._leader.propose(command, SETTLE_TIMEOUT)

    async def _give_up(self, command: Claim) -> None:
        """End a claim that may have been committed without this entry's knowledge.

        It is proposed once more, so that the end can't come before it.
        """
        with contextlib.suppress(NoLeaderError):
            await self._leader.propose(command, SETTLE_TIMEOUT)
            settle = SettleClaim(
                key=command.key, attempt=command.attempt, outcome=NOT_RUN
            )
            await self._leader.propose(settle, SETTLE_TIMEOUT)

    def _start(self, coro: Coroutine) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self) -> None:
        """Wait until every outcome is recorded."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))


def _read_time(request_key: str) -> datetime:
    """Return the time that a version 7 UUID carries."""
    try:
        parsed = uuid.UUID(request_key)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != 7:
        raise BadRequestError(
            "Idempotency-Key: a non-idempotent request needs a version 7 UUID, which "
            "carries its time"
        )
    milliseconds = parsed.int >> UUID_TIME_SHIFT
    return datetime.fromtimestamp(milliseconds / 1000, UTC)


def _recorded(taken: ClaimTaken) -> Answer:
    if not taken.run:
        raise NotRunError("this attempt was given up before it ran")
    if not taken.status:
        raise OutcomeUnknownError(
            "the request was run before; its outcome is not known"
        )
    return Answer(
        status=taken.status,
        content_type=taken.content_type,
        body=taken.body,
        replayed=True,
    )
