"""The table of known requests, which makes resends idempotent."""

from collections import deque
from datetime import timedelta

from ..peers import RefusalReason, RunResult
from ._queue import WaitingRequest
from ._tasks import Task

__all__ = ["CANCELLED_ATTEMPT", "KnownRequest", "RequestTable"]

CANCELLED_ATTEMPT = 1 << 30
"""Attempt number of a cancelled request; it is higher than that of any resend."""


class KnownRequest:
    """The current attempt of a request.

    Attributes
    ----------
    n_attempts : int
        Number of the attempt. A message with a higher number requests a new permit,
        one with a lower number is out of date.
    waiting : WaitingRequest or None
        Set while the request waits.
    task : Task or None
        Set when a permit was granted; `RequestTable.settle` clears it.
    refusal : RefusalReason or None
        Set when the request was refused while it waited, or was cancelled.
    forget_at : timedelta
        Monotonic time before which the request is not forgotten.
    """

    __slots__ = ("forget_at", "n_attempts", "refusal", "task", "waiting")

    def __init__(self, n_attempts: int, forget_at: timedelta) -> None:
        self.n_attempts = n_attempts
        self.forget_at = forget_at
        self.waiting: WaitingRequest | None = None
        self.task: Task | None = None
        self.refusal: RefusalReason | None = None


class RequestTable:
    """Known requests by id.

    Parameters
    ----------
    retention : timedelta
        How long a request is known after its deadline.
    """

    __slots__ = ("_by_id", "_expiry_queue", "_retention")

    def __init__(self, *, retention: timedelta) -> None:
        self._by_id: dict[str, KnownRequest] = {}
        self._expiry_queue: deque[tuple[timedelta, str]] = deque()
        self._retention = retention

    def __len__(self) -> int:
        return len(self._by_id)

    def get(self, request_id: str) -> KnownRequest | None:
        """Return the current attempt of a request, or None."""
        return self._by_id.get(request_id)

    def add(
        self, request_id: str, n_attempts: int, now: timedelta, resend_window: timedelta
    ) -> KnownRequest:
        """Record an attempt of a request that may be resent during `resend_window`."""
        known = KnownRequest(n_attempts, now + resend_window + self._retention)
        self._by_id[request_id] = known
        self._expiry_queue.append((now + self._retention, request_id))
        return known

    def settle(self, request_id: str, task: Task) -> None:
        """Drop the task of a request that has run; the request itself stays known.

        The task of a call that was not run is kept. Whether its endpoint was at fault
        shows only when the next attempt arrives.
        """
        known = self._by_id.get(request_id)
        has_run = task.result in (RunResult.COMPLETED, RunResult.FAILED)
        if known is not None and known.task is task and has_run:
            known.task = None

    def forget_old(self, now: timedelta) -> None:
        """Forget expired requests that neither wait nor have an open task."""
        while self._expiry_queue and self._expiry_queue[0][0] <= now:
            _, request_id = self._expiry_queue.popleft()
            known = self._by_id.get(request_id)
            if known is None:
                continue
            is_in_use = known.waiting is not None or (
                known.task is not None and known.task.is_open
            )
            if is_in_use or known.forget_at > now:
                next_check_at = max(known.forget_at, now + self._retention)
                self._expiry_queue.append((next_check_at, request_id))
            else:
                del self._by_id[request_id]
