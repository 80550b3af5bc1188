"""Claims: the right to the only run of a non-idempotent request."""

from datetime import UTC, datetime

import msgspec

from ._commands import Claim, ClaimKey, ClaimOutcome, SettleClaim
from ._outcomes import ClaimTaken

__all__ = ["ClaimSnapshot", "ClaimTable"]

N_ATTEMPTS_KEPT = 8

UNKNOWN_OUTCOME = ClaimOutcome(run=True)
NOT_RUN_OUTCOME = ClaimTaken(settled=True, run=False)

_Owner = tuple[str, str]


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A claimed run and its outcome, None while it is open.

    Attributes
    ----------
    ended : tuple of str
        The attempts that surely did not run, the latest last. When `attempt` is the
        last of them, the id is free for another attempt.
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
        """The incarnation of the entry that claimed."""
        return (self.entry_id, self.incarnation)

    @property
    def is_free(self) -> bool:
        """Whether another attempt may claim the id."""
        return self.attempt in self.ended


class ClaimSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All claims, and the time up to which claims were forgotten."""

    records: tuple[ClaimRecord, ...]
    forgotten_until: datetime


class ClaimTable:
    """The claims that are not forgotten yet."""

    __slots__ = ("_forgotten_until", "_open", "_records")

    def __init__(self) -> None:
        self.restore(
            ClaimSnapshot(records=(), forgotten_until=datetime.min.replace(tzinfo=UTC))
        )

    def __len__(self) -> int:
        return len(self._records)

    def describe(self, key: ClaimKey) -> ClaimTaken | None:
        """Return what is known of a claimed run, or None when the id is free."""
        record = self._records.get(key)
        if record is None or record.is_free:
            return None
        return _describe(record)

    def find(self, cmd: Claim) -> ClaimTaken | None:
        """Return why an attempt has no right to run, or None.

        An attempt that ended without a run has lost its right for good: its proposal
        may arrive once more, after its proposer has given it up.
        """
        record = self._records.get(cmd.key)
        if record is None:
            return None
        if cmd.attempt in record.ended:
            return NOT_RUN_OUTCOME
        is_own = record.attempt == cmd.attempt and record.outcome is None
        return None if is_own or record.is_free else _describe(record)

    def is_forgotten(self, cmd: Claim) -> bool:
        """Return whether the id may have run and been forgotten."""
        return cmd.forget_after <= self._forgotten_until

    def open(self, cmd: Claim) -> None:
        """Keep an attempt that `find` has nothing against."""
        old = self._records.get(cmd.key)
        self._put(
            ClaimRecord(
                key=cmd.key,
                attempt=cmd.attempt,
                entry_id=cmd.entry_id,
                incarnation=cmd.incarnation,
                forget_after=cmd.forget_after,
                ended=() if old is None else old.ended,
            )
        )

    def settle(self, cmd: SettleClaim) -> bool:
        """Record an outcome; return False when it contradicts what is known.

        Unknown may become known, but never "not run": a caller may have been told.
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
        """Settle the open claims of an entry's incarnation as unknown."""
        for key in self._open.pop((entry_id, incarnation), {}):
            record = self._records[key]
            self._records[key] = msgspec.structs.replace(
                record, outcome=UNKNOWN_OUTCOME
            )

    def forget(self, before: datetime) -> None:
        """Drop the claims whose time has passed, but the open ones."""
        self._forgotten_until = max(self._forgotten_until, before)
        old = [
            record.key
            for record in self._records.values()
            if record.forget_after <= before
            and (record.outcome is not None or record.is_free)
        ]
        for key in old:
            del self._records[key]

    def snapshot(self) -> ClaimSnapshot:
        """Return all claims."""
        return ClaimSnapshot(
            records=tuple(self._records.values()),
            forgotten_until=self._forgotten_until,
        )

    def restore(self, snapshot: ClaimSnapshot) -> None:
        """Replace everything by a snapshot."""
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


def _describe(record: ClaimRecord) -> ClaimTaken:
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
