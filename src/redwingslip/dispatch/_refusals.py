"""Refusing requests, on arrival and while they wait."""

from datetime import timedelta

from ..observe._events import EventName
from ..peers import PermitRefusal, PermitRequest, RefusalReason
from ._admission import Admission
from ._outbox import Outbox
from ._outputs import Refused
from ._queue import Waiting
from ._requests import RequestTable
from ._scheduler import Scheduler

__all__ = ["Refuser"]


class Refuser:
    """Refuses requests and remembers why, for their resends."""

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

    def refuse_waiting(self, item: Waiting, reason: RefusalReason) -> None:
        """Refuse a request that waits."""
        retry_after = self._admission.retry_after(item, reason)
        self._scheduler.remove(item)
        known = self._requests.get(item.req.request_id)
        known.waiting = None
        known.refusal = reason
        self.say(item.req, reason, retry_after)

    def refuse_expired(self, now: timedelta) -> None:
        """Refuse the waiting requests that can't be in time any more."""
        item = self._scheduler.first_expired(now)
        while item is not None:
            self.refuse_waiting(item, RefusalReason.TOO_LATE)
            item = self._scheduler.first_expired(now)

    def refuse_all(self, reason: RefusalReason) -> None:
        """Refuse every waiting request."""
        item = self._scheduler.first_to_expire()
        while item is not None:
            self.refuse_waiting(item, reason)
            item = self._scheduler.first_to_expire()

    def say(
        self, req: PermitRequest, reason: RefusalReason, retry_after: timedelta
    ) -> None:
        """Put a refusal out.

        One on arrival is not remembered: a resend is looked at anew.
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
