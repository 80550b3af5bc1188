"""Making a permit, and the task that stands for it."""

from datetime import timedelta

import msgspec

from ..peers import Permit
from ._endpoints import Endpoint
from ._queue import Waiting
from ._tasks import PermitId, Task

__all__ = ["make_task", "with_window"]


def make_task(
    item: Waiting,
    endpoint: Endpoint,
    *,
    pool: str,
    epoch: int,
    number: int,
    window: timedelta,
    lease: timedelta,
    margin: timedelta,
    now: timedelta,
) -> Task:
    """Return the task of a new permit.

    The token is the one that the endpoint has reported, not the newest of the view:
    if the VM was assigned anew since, the endpoint must refuse this permit.

    Parameters
    ----------
    window : timedelta
        How long the entry may take to start the call.
    lease : timedelta
        The task lease.
    margin : timedelta
        Added for a clock of the endpoint that runs slower.
    """
    req = item.req
    size = PermitId(
        epoch=epoch,
        slots=item.shape[1],
        accelerators=req.accelerators,
        memory_mb=req.memory_mb,
    )
    permit = Permit(
        permit_id=size.encode(pool, number),
        request_id=req.request_id,
        pool=pool,
        epoch=epoch,
        endpoint_id=endpoint.endpoint_id,
        incarnation=endpoint.last.incarnation,
        address=endpoint.last.address,
        fencing_token=endpoint.last.fencing_token,
        start_by=endpoint.clock_at(now) + window,
        start_within=window,
        lease=lease,
    )
    starts_until = now + window + margin
    task = Task(
        permit_id=permit.permit_id,
        team=req.team,
        endpoint_id=endpoint.endpoint_id,
        vm=endpoint.vm.record.name,
        size=size,
        now=now,
        ends_by=starts_until + lease + margin,
    )
    task.permit = permit
    task.req = req
    task.starts_until = starts_until
    task.charged = item.work
    return task


def with_window(permit: Permit, left: timedelta) -> Permit:
    """Return a permit with what is left of its start window."""
    return msgspec.structs.replace(permit, start_within=left)
