"""The requests that a dispatcher knows, so that a resend changes nothing."""

from collections import deque
from datetime import timedelta

from ..peers import RefusalReason, RunResult
from ._queue import Waiting
from ._tasks import Task

__all__ = ["CANCELLED", "KnownRequest", "RequestTable"]

CANCELLED = 1 << 30
"""The number of tries of a cancelled request, above any other."""


class KnownRequest:
    """One try of a request.

    Attributes
    ----------
    n_attempts : int
        The try: a higher one is a new permit, a lower one is out of date.
    waiting : Waiting or None
        While it waits.
    task : Task or None
        Once it was granted.
    refusal : RefusalReason or None
        Once it was refused.
    """

    __slots__ = ("forget_at", "n_attempts", "refusal", "task", "waiting")

    def __init__(self, n_attempts: int, forget_at: timedelta) -> None:
        self.n_attempts = n_attempts
        self.forget_at = forget_at
        self.waiting: Waiting | None = None
        self.task: Task | None = None
        self.refusal: RefusalReason | None = None


class RequestTable:
    """Known requests by id, forgotten some time after their deadline."""

    __slots__ = ("_by_id", "_oldest", "_remember")

    def __init__(self, *, remember: timedelta) -> None:
        self._by_id: dict[str, KnownRequest] = {}
        self._oldest: deque[tuple[timedelta, str]] = deque()
        self._remember = remember

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, request_id: str) -> KnownRequest | None:
        """Return what is known of a request, or None."""
        return self._by_id.get(request_id)

    def add(
        self, request_id: str, n_attempts: int, now: timedelta, lasts: timedelta
    ) -> KnownRequest:
        """Note a try of a request that may be resent for `lasts` from now."""
        known = KnownRequest(n_attempts, now + lasts + self._remember)
        self._by_id[request_id] = known
        self._oldest.append((now + self._remember, request_id))
        return known

    def settle(self, request_id: str, task: Task) -> None:
        """Keep no more of a run request than that it is known.

        A call that was not run is kept: its retry tells who was at fault.
        """
        known = self._by_id.get(request_id)
        is_over = task.result in (RunResult.COMPLETED, RunResult.FAILED)
        if known is not None and known.task is task and is_over:
            known.task = None

    def forget_old(self, now: timedelta) -> None:
        """Forget the requests whose time is over and that hold nothing."""
        while self._oldest and self._oldest[0][0] <= now:
            _, request_id = self._oldest.popleft()
            known = self._by_id.get(request_id)
            if known is None:
                continue
            is_held = known.waiting is not None or (
                known.task is not None and known.task.is_open
            )
            if is_held or known.forget_at > now:
                again = max(known.forget_at, now + self._remember)
                self._oldest.append((again, request_id))
            else:
                del self._by_id[request_id]
