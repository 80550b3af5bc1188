"""The JSON documents in which submitters send jobs and read their progress."""

from datetime import UTC, datetime, timedelta
from typing import Annotated

import msgspec

from ..decoding import MAX_WHOLE, Amount, Whole, map_in_turns
from ..http import FieldError, decode_json, strict_convert
from ..jobs import (
    Amounts,
    InvalidJobError,
    JobRecord,
    JobSpec,
    JobStatus,
    Queue,
    Repetition,
    StepSpec,
    check_steps,
)
from .exceptions import InvalidJobDocumentError

__all__ = ["JobList", "JobView", "decode_job", "view_job"]

MS = timedelta(milliseconds=1)
EPOCH = datetime.fromtimestamp(0, UTC)

_Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_WHOLE)]


class _Need(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Resources that a task uses; `cpu` is in thousandths of a core."""

    cpu: Amount = 0
    memory_mb: Amount = 0
    accelerators: Amount = 0


class _Step(StepSpec, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A step; its fields are those of `StepSpec`."""

    n_tasks: _Positive
    need: _Need = _Need()
    estimate_ms: Whole = 0
    max_per_vm: Whole = 0
    target_ms: Whole = 0
    disruption_budget: Whole = 0

    def decode(self) -> StepSpec:
        need = Amounts(self.need.cpu, self.need.memory_mb, self.need.accelerators)
        fields = {name: getattr(self, name) for name in StepSpec.__struct_fields__}
        return StepSpec(**{**fields, "need": need})


class _Repeat(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Schedule of the occurrences of a repeated job."""

    first_at: datetime
    interval: timedelta
    count: _Positive

    def decode(self) -> Repetition:
        if self.first_at.tzinfo is None:
            raise InvalidJobDocumentError("repeat.first_at", "needs a time zone")
        if self.interval < timedelta(0):
            raise InvalidJobDocumentError("repeat.interval", "must not be negative")
        return Repetition(
            first_at_ms=(self.first_at - EPOCH) // MS,
            interval_ms=self.interval // MS,
            count=self.count,
        )


class _Job(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A job as it is submitted."""

    steps: Annotated[tuple[_Step, ...], msgspec.Meta(min_length=1)]
    payload: Annotated[str, msgspec.Meta(max_length=4000)] = ""
    repeat: _Repeat | None = None


class StepView(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a step, summed over all occurrences of the job."""

    n_tasks: int
    n_done: int
    n_running: int
    n_failures: int


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """Status and progress of a job.

    Attributes
    ----------
    accepted_at : datetime
        When the job was accepted.
    ended_at : datetime or None
        When the job ended; None while it is active.
    steps : tuple of StepView
        Progress of each step.
    """

    id: str
    queue: str
    status: JobStatus
    accepted_at: datetime
    ended_at: datetime | None
    steps: tuple[StepView, ...]


class JobList(msgspec.Struct, frozen=True, kw_only=True):
    """A customer's jobs in a queue."""

    items: tuple[JobView, ...]


async def decode_job(
    body: bytes, *, job_id: str, queue: Queue, customer: str
) -> JobSpec:
    """Return the job in a request body.

    The steps of a large job are decoded in turns with other work.

    Raises
    ------
    InvalidJobDocumentError
        The body is not a valid job.
    """
    doc = _read_job(body)
    steps = await map_in_turns(_Step.decode, doc.steps)
    return _job_spec(doc, steps, job_id=job_id, queue=queue, customer=customer)


def _read_job(body: bytes) -> _Job:
    try:
        return strict_convert(decode_json(body), _Job)
    except FieldError as exc:
        raise InvalidJobDocumentError(exc.field, exc.detail) from exc


def _job_spec(
    doc: _Job, steps: tuple[StepSpec, ...], *, job_id: str, queue: Queue, customer: str
) -> JobSpec:
    try:
        n_occurrences = doc.repeat.count if doc.repeat else 1
        check_steps(steps, n_occurrences=n_occurrences)
    except InvalidJobError as exc:
        raise InvalidJobDocumentError(exc.field, exc.detail) from exc
    return JobSpec(
        job_id=job_id,
        queue=queue.name,
        pool=queue.pool,
        customer=customer,
        payload=doc.payload,
        steps=steps,
        repetition=doc.repeat.decode() if doc.repeat else None,
    )


def view_job(job: JobRecord) -> JobView:
    """Return the status and progress of a job."""
    return JobView(
        id=job.spec.job_id,
        queue=job.spec.queue,
        status=job.status,
        accepted_at=EPOCH + job.accepted_ms * MS,
        ended_at=EPOCH + job.ended_ms * MS if job.ended_ms else None,
        steps=tuple(_view_step(job, number) for number in range(len(job.spec.steps))),
    )


def _view_step(job: JobRecord, number: int) -> StepView:
    tasks = [task for steps in job.tasks for task in steps[number]]
    return StepView(
        n_tasks=len(tasks),
        n_done=sum(task.is_done for task in tasks),
        n_running=sum(bool(task.runs) for task in tasks),
        n_failures=sum(task.n_failures for task in tasks),
    )
