"""Claims, each of which is the right to the only run of a non-idempotent request."""

from datetime import UTC, datetime

import msgspec

from ._commands import Claim, ClaimKey, ClaimOutcome, SettleClaim
from ._outcomes import ClaimTaken

__all__ = ["ClaimSnapshot", "ClaimTable"]

N_ATTEMPTS_KEPT = 8

UNKNOWN_OUTCOME = ClaimOutcome(run=True)
TAKEN_NOT_RUN = ClaimTaken(settled=True, run=False)

_Owner = tuple[str, str]


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A claimed run and its outcome.

    Attributes
    ----------
    key : ClaimKey
        The claimed request id.
    attempt : str
        The attempt that holds the claim.
    outcome : ClaimOutcome or None
        The outcome of the run, None while the claim is open.
    ended : tuple of str
        The latest attempts that are known not to have run, newest last. The request
        id is free for another attempt when `attempt` is among them.
    """

    key: ClaimKey
    attempt: str
    entry_id: str
    incarnation: str
    forget_after: datetime
    outcome: ClaimOutcome | None = None
    ended: tuple[str, ...] = ()

    @property
    def owner(self) -> _Owner:
        """The entry that made the claim, with its incarnation."""
        return (self.entry_id, self.incarnation)

    @property
    def is_free(self) -> bool:
        """Whether another attempt may claim the request id."""
        return self.attempt in self.ended


class ClaimSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All claims and the latest time up to which claims have been deleted."""

    records: tuple[ClaimRecord, ...]
    forgotten_until: datetime


class ClaimTable:
    """The claims that have not been deleted."""

    __slots__ = ("_forgotten_until", "_open", "_records")

    def __init__(self) -> None:
        self.restore(
            ClaimSnapshot(records=(), forgotten_until=datetime.min.replace(tzinfo=UTC))
        )

    def __len__(self) -> int:
        return len(self._records)

    def describe_claim(self, key: ClaimKey) -> ClaimTaken | None:
        """Return the status of a claimed run, or None when the request id is free."""
        record = self._records.get(key)
        if record is None or record.is_free:
            return None
        return _to_claim_taken(record)

    def find_refusal(self, cmd: Claim) -> ClaimTaken | None:
        """Return why an attempt can't get the claim, or None if it can.

        An attempt that ended without a run can never get the claim again. A copy of
        its proposal may arrive late, after the proposer has abandoned the attempt.
        """
        record = self._records.get(cmd.key)
        if record is None:
            return None
        if cmd.attempt in record.ended:
            return TAKEN_NOT_RUN
        is_own = record.attempt == cmd.attempt and record.outcome is None
        return None if is_own or record.is_free else _to_claim_taken(record)

    def is_forgotten(self, cmd: Claim) -> bool:
        """Return whether an earlier claim of the id may have been deleted."""
        return cmd.forget_after <= self._forgotten_until

    def open(self, cmd: Claim) -> None:
        """Open the claim for an attempt that `find_refusal` has accepted."""
        previous = self._records.get(cmd.key)
        self._put(
            ClaimRecord(
                key=cmd.key,
                attempt=cmd.attempt,
                entry_id=cmd.entry_id,
                incarnation=cmd.incarnation,
                forget_after=cmd.forget_after,
                ended=() if previous is None else previous.ended,
            )
        )

    def settle(self, cmd: SettleClaim) -> bool:
        """Record an outcome; return False when it contradicts the recorded one.

        An unknown outcome may be replaced by an answer but not by "not run", because
        the caller may already have received the unknown outcome.
        """
        record = self._records.get(cmd.key)
        if record is None or record.attempt != cmd.attempt:
            return False
        if record.is_free:
            return not cmd.outcome.run
        if cmd.outcome.run:
            if record.outcome not in (None, UNKNOWN_OUTCOME):
                return record.outcome == cmd.outcome
            self._put(msgspec.structs.replace(record, outcome=cmd.outcome))
            return True
        if record.outcome is not None:
            return False
        ended = (*record.ended, record.attempt)[-N_ATTEMPTS_KEPT:]
        self._put(msgspec.structs.replace(record, ended=ended))
        return True

    def expire(self, entry_id: str, incarnation: str) -> None:
        """Settle the open claims of an incarnation of an entry as unknown."""
        for key in self._open.pop((entry_id, incarnation), {}):
            record = self._records[key]
            self._records[key] = msgspec.structs.replace(
                record, outcome=UNKNOWN_OUTCOME
            )

    def forget(self, before: datetime) -> None:
        """Delete the claims with `forget_after` up to `before`, except open ones."""
        self._forgotten_until = max(self._forgotten_until, before)
        forgettable = [
            record.key
            for record in self._records.values()
            if record.forget_after <= before
            and (record.outcome is not None or record.is_free)
        ]
        for key in forgettable:
            del self._records[key]

    def snapshot(self) -> ClaimSnapshot:
        """Return a snapshot of all claims."""
        return ClaimSnapshot(
            records=tuple(self._records.values()),
            forgotten_until=self._forgotten_until,
        )

    def restore(self, snapshot: ClaimSnapshot) -> None:
        """Replace all claims with those of a snapshot."""
        self._forgotten_until = snapshot.forgotten_until
        self._records: dict[ClaimKey, ClaimRecord] = {}
        self._open: dict[_Owner, dict[ClaimKey, None]] = {}
        for record in snapshot.records:
            self._put(record)

    def _put(self, record: ClaimRecord) -> None:
        self._records[record.key] = record
        if record.outcome is None and not record.is_free:
            self._open.setdefault(record.owner, {})[record.key] = None
            return
        still_open = self._open.get(record.owner, {})
        still_open.pop(record.key, None)
        if not still_open:
            self._open.pop(record.owner, None)


def _to_claim_taken(record: ClaimRecord) -> ClaimTaken:
    outcome = record.outcome
    if outcome is None:
        return ClaimTaken(settled=False)
    return ClaimTaken(
        settled=True,
        run=outcome.run,
        status=outcome.status,
        content_type=outcome.content_type,
        body=outcome.body,
    )
