"""Construction of permits and of the tasks that track them."""

from datetime import timedelta

import msgspec

from ..peers import Permit
from ._endpoints import Endpoint
from ._queue import WaitingRequest
from ._tasks import PermitId, Task

__all__ = ["make_task", "with_start_window"]


def make_task(
    waiting: WaitingRequest,
    endpoint: Endpoint,
    *,
    pool: str,
    epoch: int,
    number: int,
    start_window: timedelta,
    lease: timedelta,
    clock_margin: timedelta,
    now: timedelta,
) -> Task:
    """Return a task that holds a new permit.

    The fencing token is the one that the endpoint has reported, not the newest one of
    the view: if the VM was reassigned since, the endpoint must refuse this permit.

    Parameters
    ----------
    start_window : timedelta
        How long the entry may take to start the call.
    lease : timedelta
        How long the task may run.
    clock_margin : timedelta
        Added to the start and to the end, since the endpoint's clock may run slower.
    """
    req = waiting.req
    size = PermitId(
        epoch=epoch,
        slots=waiting.shape[1],
        accelerators=req.accelerators,
        memory_mb=req.memory_mb,
    )
    permit = Permit(
        permit_id=size.encode(pool, number),
        request_id=req.request_id,
        pool=pool,
        epoch=epoch,
        endpoint_id=endpoint.endpoint_id,
        incarnation=endpoint.last_report.incarnation,
        address=endpoint.last_report.address,
        fencing_token=endpoint.last_report.fencing_token,
        start_by=endpoint.clock_at(now) + start_window,
        start_within=start_window,
        lease=lease,
    )
    latest_start_at = now + start_window + clock_margin
    task = Task(
        permit_id=permit.permit_id,
        team=req.team,
        endpoint_id=endpoint.endpoint_id,
        vm=endpoint.vm.record.name,
        size=size,
        now=now,
        ends_by=latest_start_at + lease + clock_margin,
    )
    task.permit = permit
    task.req = req
    task.latest_start_at = latest_start_at
    task.charged_slot_seconds = waiting.work
    return task


def with_start_window(permit: Permit, time_left: timedelta) -> Permit:
    """Return a permit with the rest of its start window."""
    return msgspec.structs.replace(permit, start_within=time_left)
