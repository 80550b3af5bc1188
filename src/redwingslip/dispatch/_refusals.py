"""Refusal of requests, on arrival and while they wait."""

from datetime import timedelta

from ..observe._events import EventName
from ..peers import PermitRefusal, PermitRequest, RefusalReason
from ._admission import Admission
from ._outbox import Outbox
from ._outputs import Refused
from ._queue import WaitingRequest
from ._requests import RequestTable
from ._scheduler import Scheduler

__all__ = ["Refuser"]


class Refuser:
    """Refuses requests.

    The reason for refusing a waiting request is recorded, so that a resend gets the
    same answer.
    """

    __slots__ = ("_admission", "_outbox", "_pool", "_requests", "_scheduler")

    def __init__(
        self,
        *,
        pool: str,
        admission: Admission,
        scheduler: Scheduler,
        requests: RequestTable,
        outbox: Outbox,
    ) -> None:
        self._pool = pool
        self._admission = admission
        self._scheduler = scheduler
        self._requests = requests
        self._outbox = outbox

    def refuse_waiting(self, waiting: WaitingRequest, reason: RefusalReason) -> None:
        """Refuse a waiting request and record the reason."""
        retry_after = self._admission.retry_after(waiting, reason)
        self._scheduler.remove(waiting)
        known = self._requests.get(waiting.req.request_id)
        known.waiting = None
        known.refusal = reason
        self.refuse(waiting.req, reason, retry_after)

    def refuse_expired(self, now: timedelta) -> None:
        """Refuse the waiting requests that can no longer end in time."""
        waiting = self._scheduler.first_expired(now)
        while waiting is not None:
            self.refuse_waiting(waiting, RefusalReason.TOO_LATE)
            waiting = self._scheduler.first_expired(now)

    def refuse_all(self, reason: RefusalReason) -> None:
        """Refuse every waiting request."""
        waiting = self._scheduler.first_to_expire()
        while waiting is not None:
            self.refuse_waiting(waiting, reason)
            waiting = self._scheduler.first_to_expire()

    def refuse(
        self, req: PermitRequest, reason: RefusalReason, retry_after: timedelta
    ) -> None:
        """Send a refusal to the entry of a request.

        The reason is not recorded here: a request that is refused on arrival is
        examined again when it is resent.
        """
        refusal = PermitRefusal(
            request_id=req.request_id,
            pool=self._pool,
            reason=reason,
            retry_after=retry_after,
        )
        self._outbox.put(Refused(entry_id=req.entry_id, refusal=refusal))
        self._outbox.emit(
            EventName.REQUEST_REFUSED,
            request_id=req.request_id,
            team=req.team,
            queue=req.queue,
            detail=reason.value,
        )
