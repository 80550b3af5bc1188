"""Translation of operators' calls into calls of the leader's `JobService`."""

import re
from datetime import UTC, datetime, timedelta

import msgspec

from ..http import Problem
from ..peers import RelayedAnswer, RelayedCall
from ..relay import document_answer, problem_answer
from ..scheduling import EvacuationStatus, JobService, SchedulingError, VmStatus
from ._problems import error_answer

__all__ = ["answer_operator", "rules_out_earlier"]

_VMS_PATH = "/v1/vms"
_EVACUATIONS_PATH = re.compile(r"/v1/evacuations(?:/(?P<name>[^/]+))?")
EPOCH = datetime.fromtimestamp(0, UTC)
MS = timedelta(milliseconds=1)


class EvacuationView(msgspec.Struct, frozen=True, kw_only=True):
    """An evacuation in progress, and what is left in its data centre.

    Attributes
    ----------
    n_vms : int
        VMs there.
    n_long_running, n_short : int
        Long-running and other tasks that run there.
    """

    data_centre: str
    started_at: datetime
    n_vms: int
    n_long_running: int
    n_short: int


class EvacuationList(msgspec.Struct, frozen=True, kw_only=True):
    """The evacuations in progress."""

    items: tuple[EvacuationView, ...]


class VmView(msgspec.Struct, frozen=True, kw_only=True):
    """A VM that runs tasks, see `VmStatus`; its age in seconds."""

    vm_id: str
    machine: str
    pool: str
    data_centre: str
    is_ready: bool
    n_runs: int
    is_slow: bool
    speed: float | None
    error: float | None
    success: float | None
    n_results: int
    age_s: float | None


class VmList(msgspec.Struct, frozen=True, kw_only=True):
    """The VMs, by pool and name."""

    items: tuple[VmView, ...]


class FinishedView(msgspec.Struct, frozen=True, kw_only=True):
    """A data centre that is not being evacuated."""

    data_centre: str


async def answer_operator(service: JobService, call: RelayedCall) -> RelayedAnswer:
    """Return the leader's answer to an operator's call."""
    if call.path == _VMS_PATH:
        views = tuple(_vm_view(status) for status in service.vm_statuses())
        return document_answer(call, VmList(items=views))
    match = _EVACUATIONS_PATH.fullmatch(call.path)
    if match is None:
        return _not_found_answer(call, "no such address", call.path)
    name = match["name"]
    try:
        if call.method == "PUT" and name:
            await service.evacuations.start(name)
        elif call.method == "DELETE" and name:
            await service.evacuations.finish(name)
            return document_answer(call, FinishedView(data_centre=name))
    except SchedulingError as exc:
        return error_answer(call, exc)
    views = [_view(status) for status in service.evacuations.statuses()]
    if not name:
        return document_answer(call, EvacuationList(items=tuple(views)))
    for view in views:
        if view.data_centre == name:
            return document_answer(call, view)
    return _not_found_answer(call, "not being evacuated", name)


def rules_out_earlier(service: JobService, call: RelayedCall) -> bool:
    """Return whether no earlier attempt of a repeated call has changed anything."""
    match = _EVACUATIONS_PATH.fullmatch(call.path)
    if match is None or not match["name"]:
        return True
    is_start = call.method == "PUT"
    return is_start and not service.earlier_attempts.may_have_evacuated(match["name"])


def _view(status: EvacuationStatus) -> EvacuationView:
    return EvacuationView(
        data_centre=status.data_centre,
        started_at=EPOCH + status.started_ms * MS,
        n_vms=status.n_vms,
        n_long_running=status.n_tasks,
        n_short=status.n_short_tasks,
    )


def _vm_view(status: VmStatus) -> VmView:
    fields = msgspec.structs.asdict(status)
    age = fields.pop("age")
    return VmView(**fields, age_s=None if age is None else age.total_seconds())


def _not_found_answer(call: RelayedCall, title: str, detail: str) -> RelayedAnswer:
    problem = Problem(status=404, title=title, detail=detail)
    return problem_answer(call, problem)
