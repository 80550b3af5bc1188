"""The limit on the memory that all bodies of a process use together."""

import enum
from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock
from .exceptions import BodyRefusedError

__all__ = ["BodyBudget", "BodyClaim", "BodyRank", "RefusalCause"]

# An ordinary submission or a status report has a few kB, a configuration up to 500 kB.
SMALL_BYTES = 64 << 10
MEDIUM_BYTES = 512 << 10
# Part of the budget that large bodies leave free for smaller ones.
RESERVED_FRACTION = 0.25
# A client that sends a few bytes now and then must not count as one that makes
# progress.
PROGRESS_BYTES = 16 << 10


class BodyRank(enum.IntEnum):
    """Which bodies may use more of the reserve than others of their size."""

    DIRECT = 0
    RELAYED_FOR_CALLER = 1
    DECODED_DIRECT = 2


# Parts of the reserve that small, medium and large bodies leave free. On the leader,
# reports and operators' calls must fit beside any number of callers' bodies.
RESERVE_SHARES = {
    BodyRank.DIRECT: (0.0, 0.25, 1.0),
    BodyRank.RELAYED_FOR_CALLER: (0.5, 0.75, 1.0),
    # A configuration of medium size is large once it is decoded.
    BodyRank.DECODED_DIRECT: (0.0, 0.25, 0.25),
}


class RefusalCause(enum.StrEnum):
    """Why memory was refused or taken back."""

    BODY_BUDGET = "body-budget"
    STALLED_BODY = "stalled-body"
    UNREAD_ANSWER = "unread-answer"
    CONNECTIONS = "connections"
    IDLE_CONNECTION = "idle-connection"
    CONNECTION_SHARE = "connection-share"
    RELAYED_BODY = "relayed-body"
    DECODED_BODY = "decoded-body"
    LINK = "link"


class BodyBudget:
    """Limits the bytes of all bodies in memory, and drops stalled ones under pressure.

    A body counts with its announced size, or with the bytes received if it has none,
    from before they are kept until its call has ended. Large bodies leave a reserve
    free, medium ones a part of it, so that small ones always find room. If a body does
    not fit, those that have made no progress for `stall` are dropped for it, the one
    without progress for longest first.

    Parameters
    ----------
    max_bytes : int
        Limit of the bytes that are held at the same time.
    max_body_bytes : int
        Largest body; one of this size fits into an empty budget if `max_bytes` does.
    stall : timedelta
        A body counts as stalled if it has grown by less than 16 KiB for this long.
    clock : Clock
        Clock of the process.
    """

    __slots__ = (
        "_claims",
        "_clock",
        "_reserve",
        "_stall",
        "max_bytes",
        "n_bytes",
        "on_refusal",
        "on_usage",
    )

    def __init__(
        self, *, max_bytes: int, max_body_bytes: int, stall: timedelta, clock: Clock
    ) -> None:
        self._clock = clock
        self._claims: set[BodyClaim] = set()
        self._stall = stall
        # A body of the largest size must fit beside the reserve.
        spare = max(0, max_bytes - max_body_bytes)
        self._reserve = min(int(max_bytes * RESERVED_FRACTION), spare)
        self.max_bytes = max_bytes
        self.n_bytes = 0
        self.on_refusal: Callable[[RefusalCause], None] = lambda cause: None
        self.on_usage: Callable[[int], None] = lambda n_bytes: None

    @property
    def max_large_bytes(self) -> int:
        """Return how many bytes large bodies may use together."""
        return self.max_bytes - self._reserve

    def claim(self, rank: BodyRank = BodyRank.DIRECT) -> "BodyClaim":
        """Return a claim on the budget that holds nothing yet."""
        return BodyClaim(self, rank)

    def now(self) -> timedelta:
        """Return the time of the budget's clock."""
        return self._clock.monotonic()

    def stalls_at(self, claim: "BodyClaim | None") -> timedelta | None:
        """Return when the body of a claim may be dropped for lack of progress.

        None stands for a body that can't be dropped.
        """
        if claim is None or claim.on_drop is None:
            return None
        claim.update_progress()
        return claim.progress_at + self._stall

    def is_stalled(self, claim: "BodyClaim") -> bool:
        """Return whether the body of a claim may be dropped for lack of progress."""
        stalls_at = self.stalls_at(claim)
        return stalls_at is not None and stalls_at <= self.now()

    def take(self, claim: "BodyClaim", n_bytes: int) -> bool:
        """Add bytes to a claim if they fit, and return whether they do."""
        if not n_bytes:
            return True
        limit = self.max_bytes - self._withheld(claim, claim.n_bytes + n_bytes)
        missing = self.n_bytes + n_bytes - limit
        if missing > 0 and not self._drop_stalled(claim, missing):
            return False
        self.n_bytes += n_bytes
        claim.n_bytes += n_bytes
        self._claims.add(claim)
        self.on_usage(self.n_bytes)
        return True

    def free(self, claim: "BodyClaim") -> None:
        """Remove all bytes of a claim."""
        self._claims.discard(claim)
        self.n_bytes -= claim.n_bytes
        claim.n_bytes = 0
        self.on_usage(self.n_bytes)

    def move(self, claim: "BodyClaim", heir: "BodyClaim") -> None:
        """Let another claim hold the bytes of a claim."""
        self._claims.discard(claim)
        self._claims.add(heir)
        heir.n_bytes, claim.n_bytes = claim.n_bytes, 0

    def _withheld(self, claim: "BodyClaim", n_bytes: int) -> int:
        """Return the part of the budget that a claim of a size must leave free."""
        level = (n_bytes > SMALL_BYTES) + (n_bytes > MEDIUM_BYTES)
        return int(self._reserve * RESERVE_SHARES[claim.rank][level])

    def _drop_stalled(self, wanting: "BodyClaim", missing: int) -> bool:
        """Drop stalled claims until `missing` bytes are free; return whether they are.

        None is dropped if all together are too few.
        """
        stalled = [
            claim
            for claim in self._claims
            if claim is not wanting and self.is_stalled(claim)
        ]
        if sum(claim.n_bytes for claim in stalled) < missing:
            return False
        stalled.sort(key=lambda claim: claim.progress_at)
        target = self.n_bytes - missing
        for claim in stalled:
            if self.n_bytes <= target:
                break
            self.on_refusal(claim.drop_cause)
            claim.drop()
        return True


class BodyClaim:
    """The part of a budget that one body holds, and the parts of the body.

    Attributes
    ----------
    n_bytes : int
        Bytes that the claim holds of the budget.
    on_drop : callable or None
        Ends the transfer of the body when it is dropped; None if it can't be.
    is_dropped : bool
        Whether the body was dropped because it had stalled.
    count_unsent : callable or None
        Returns the bytes of an answer that its peer has yet to read; None for a body
        that is received.
    """

    __slots__ = (
        "_budget",
        "_n_counted",
        "_n_received",
        "_n_unsent",
        "_parts",
        "count_unsent",
        "drop_cause",
        "is_dropped",
        "n_bytes",
        "on_drop",
        "progress_at",
        "rank",
    )

    def __init__(self, budget: BodyBudget, rank: BodyRank) -> None:
        self._budget = budget
        self._n_counted = 0
        self._n_received = 0
        self._n_unsent = 0
        self._parts: list[bytes] = []
        self.rank = rank
        self.drop_cause = RefusalCause.STALLED_BODY
        self.is_dropped = False
        self.n_bytes = 0
        self.on_drop: Callable[[], None] | None = None
        self.count_unsent: Callable[[], int] | None = None
        self.progress_at = budget.now()

    def reserve(
        self, n_bytes: int, cause: RefusalCause = RefusalCause.BODY_BUDGET
    ) -> None:
        """Hold further bytes of the budget.

        Raises
        ------
        BodyRefusedError
            The bytes don't fit.
        """
        if not self._budget.take(self, n_bytes):
            self._budget.on_refusal(cause)
            raise BodyRefusedError(
                "bodies use all the memory set aside for them; retry later"
            )

    def add(self, part: bytes) -> None:
        """Keep a part of the body.

        Raises
        ------
        BodyRefusedError
            The part doesn't fit, or the body was dropped before.
        """
        self.check_kept()
        self._n_received += len(part)
        if self._n_received > self.n_bytes:
            self.reserve(self._n_received - self.n_bytes)
        self._parts.append(part)
        if self._n_received - self._n_counted >= PROGRESS_BYTES:
            self._n_counted = self._n_received
            self.progress_at = self._budget.now()

    def update_progress(self) -> None:
        """Note whether the peer has read any of an answer since the last call."""
        if self.count_unsent is None:
            return
        n_unsent = self.count_unsent()
        if n_unsent < (self._n_unsent or self.n_bytes):
            self.progress_at = self._budget.now()
        self._n_unsent = n_unsent

    def finish(self) -> bytes:
        """Return the complete body, which can't be dropped any more.

        Raises
        ------
        BodyRefusedError
            The body was dropped before.
        """
        self.check_kept()
        self.on_drop = None
        body = b"".join(self._parts)
        self._parts.clear()
        return body

    def drop(self) -> None:
        """Give up a stalled body, and end its transfer."""
        self.is_dropped = True
        on_drop, self.on_drop = self.on_drop, None
        self.release()
        on_drop()

    def check_kept(self) -> None:
        """Raise `BodyRefusedError` if the body was dropped."""
        # The task that reads may run once more before its cancellation.
        if self.is_dropped:
            raise BodyRefusedError(
                "the body had stalled, and its memory was needed; retry later"
            )

    def release(self) -> None:
        """Free the bytes that the claim holds."""
        self.on_drop = None
        self._parts.clear()
        self._budget.free(self)

    def transfer(self) -> "BodyClaim":
        """Return a new claim that holds the bytes in place of this one."""
        heir = BodyClaim(self._budget, self.rank)
        self._budget.move(self, heir)
        return heir
