"""Claims, which limit a non-idempotent request to one run for each request id."""

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
from ._leader import LeaderClient

__all__ = ["ClaimClient", "HeldClaim"]

CLAIM_TIMEOUT = timedelta(seconds=3)
SETTLE_TIMEOUT = timedelta(seconds=30)
CLAIM_POLL_INTERVAL = timedelta(milliseconds=250)
MAX_CLOCK_SKEW = timedelta(minutes=5)
UUID_TIMESTAMP_SHIFT_BITS = 80
NOT_RUN_OUTCOME = ClaimOutcome(run=False)


class HeldClaim:
    """A committed claim: the right of one attempt to run a request.

    Parameters
    ----------
    key : ClaimKey
        Team and id of the request.
    attempt : str
        The attempt that holds the claim.
    """

    __slots__ = ("attempt", "key")

    def __init__(self, key: ClaimKey, attempt: str) -> None:
        self.key = key
        self.attempt = attempt


class ClaimClient:
    """Claims requests before their run and settles the claims after it.

    Parameters
    ----------
    cfg : RequestsSettings
        Largest age of a request id, and size limit of recorded answers.
    leader : LeaderClient
        Proposes the claims to the leader.
    clock : Clock
        The process's clock; its wall-clock time is compared with that of request ids.
    entry_id, incarnation : str
        Id and incarnation of this entry.
    """

    __slots__ = ("_cfg", "_clock", "_entry_id", "_incarnation", "_leader", "_tasks")

    def __init__(
        self,
        *,
        cfg: RequestsSettings,
        leader: LeaderClient,
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

        While another attempt runs the request, its claim is polled until it is settled.

        Parameters
        ----------
        team : str
            The team on whose account the request runs.
        request_key : str
            The request's idempotency key, a version 7 UUID.
        attempt : str
            Id of this attempt.
        until : timedelta
            Monotonic time until which another attempt's outcome is waited for.

        Raises
        ------
        BadRequestError
            The key contains no creation time, or one outside the accepted window.
        NotRunError
            The claim could not be committed; this attempt did not run the request.
        OutcomeUnknownError
            The outcome of the first run is unknown.
        """
        created_at = _parse_creation_time(request_key)
        self._check_window(created_at)
        held = HeldClaim(ClaimKey(team=team, request_id=request_key), attempt)
        command = Claim(
            key=held.key,
            entry_id=self._entry_id,
            incarnation=self._incarnation,
            attempt=attempt,
            forget_after=created_at + self._cfg.claim_window + 2 * MAX_CLOCK_SKEW,
        )
        while True:
            taken = await self._propose_claim(command)
            if taken is None:
                return held
            if taken.settled:
                return _replay_answer(taken)
            if self._clock.monotonic() + CLAIM_POLL_INTERVAL >= until:
                raise OutcomeUnknownError("the first run of this id has not ended yet")
            await asyncio.sleep(CLAIM_POLL_INTERVAL.total_seconds())

    def _check_window(self, created_at: datetime) -> None:
        """Refuse an id from the future, or one whose claim may have been deleted."""
        now = self._clock.utcnow()
        if created_at > now + MAX_CLOCK_SKEW:
            raise BadRequestError("Idempotency-Key: its time is in the future")
        if created_at < now - self._cfg.claim_window:
            raise BadRequestError(
                f"Idempotency-Key: older than {self._cfg.claim_window}; whether the "
                "request ran is no longer recorded, so it is not run"
            )

    async def _propose_claim(self, command: Claim) -> ClaimTaken | None:
        """Propose a claim; return the other attempt's claim if there is one."""
        try:
            outcome = await self._leader.propose(command, CLAIM_TIMEOUT)
        except NoLeaderError as exc:
            self._spawn(self._abandon(command))
            raise NotRunError(f"the claim was not confirmed: {exc}") from exc
        except asyncio.CancelledError:
            self._spawn(self._abandon(command))
            raise
        match outcome:
            case Accepted():
                return None
            case ClaimTaken():
                return outcome
        raise NotRunError(f"the claim was rejected: {outcome}")

    def settle(self, held: HeldClaim, outcome: ClaimOutcome) -> None:
        """Record the outcome of a claimed run, in the background.

        An answer that is too large to record is recorded as an unknown outcome.
        """
        if len(outcome.body) > self._cfg.max_recorded_answer_bytes:
            outcome = ClaimOutcome(run=True, status=0)
        command = SettleClaim(key=held.key, attempt=held.attempt, outcome=outcome)
        self._spawn(self._propose_settlement(command))

    async def _propose_settlement(self, command: SettleClaim) -> None:
        # Without a leader the claim stays open. The leader settles it as unknown once
        # this entry's lease has expired.
        with contextlib.suppress(NoLeaderError):
            await self._leader.propose(command, SETTLE_TIMEOUT)

    async def _abandon(self, command: Claim) -> None:
        """Settle a claim as not run when it is unknown whether it was committed.

        The claim is proposed again first, so that the log can't contain its settlement
        before the claim itself.
        """
        with contextlib.suppress(NoLeaderError):
            await self._leader.propose(command, SETTLE_TIMEOUT)
            settle = SettleClaim(
                key=command.key, attempt=command.attempt, outcome=NOT_RUN_OUTCOME
            )
            await self._leader.propose(settle, SETTLE_TIMEOUT)

    def _spawn(self, coro: Coroutine) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self) -> None:
        """Wait until all claims are settled or their proposals have timed out."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))


def _parse_creation_time(request_key: str) -> datetime:
    """Return the creation time that a version 7 UUID contains."""
    try:
        parsed = uuid.UUID(request_key)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != 7:
        raise BadRequestError(
            "Idempotency-Key: a non-idempotent request needs a version 7 UUID, which "
            "contains its creation time"
        )
    milliseconds = parsed.int >> UUID_TIMESTAMP_SHIFT_BITS
    return datetime.fromtimestamp(milliseconds / 1000, UTC)


def _replay_answer(taken: ClaimTaken) -> Answer:
    """Return the recorded answer of a settled claim, or raise its error."""
    if not taken.run:
        raise NotRunError("this attempt was abandoned before it ran")
    if not taken.status:
        raise OutcomeUnknownError(
            "the request may have run before; its answer is not recorded"
        )
    return Answer(
        status=taken.status,
        content_type=taken.content_type,
        body=taken.body,
        replayed=True,
    )
