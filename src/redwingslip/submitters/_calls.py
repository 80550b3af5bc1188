"""Submitters' calls, answered by the leader's job service."""

import re

import msgspec

from ..http import Problem
from ..jobs import JobRecord, Queue
from ..peers import RelayedAnswer, RelayedCall
from ..scheduling import JobService, SchedulingError
from ._documents import JobList, decode_job, view_job
from ._problems import error_answer
from .exceptions import InvalidJobDocumentError, NoJobError, SubmitterError

__all__ = ["answer_submitter"]

_PATH = re.compile(r"/v1/queues/(?P<queue>[^/]+)/jobs(?:/(?P<id>[^/]*))?")
_JOB_ID = re.compile(r"[0-9a-f]{16}")
CREATED = 201


async def answer_submitter(service: JobService, call: RelayedCall) -> RelayedAnswer:
    """Return the leader's answer to a submitter's call."""
    found = _PATH.fullmatch(call.path)
    if found is None:
        return _unknown_address(call)
    try:
        queue = service.queue_named(found["queue"])
        customer = service.find_customer(queue, call.token)
        if not found["id"]:
            jobs = service.jobs_of(queue, customer)
            return _answer(call, JobList(items=tuple(view_job(job) for job in jobs)))
        return await _answer_job(service, call, queue, customer, found["id"])
    except (SchedulingError, SubmitterError) as exc:
        return error_answer(call, exc)


async def _answer_job(
    service: JobService, call: RelayedCall, queue: Queue, customer: str, job_id: str
) -> RelayedAnswer:
    if call.method == "POST":
        if not _JOB_ID.fullmatch(job_id):
            raise InvalidJobDocumentError("id", "must be 16 hexadecimal digits")
        _check_owner(service.find_job(job_id), queue, customer, is_required=False)
        spec = decode_job(call.body, job_id=job_id, queue=queue, customer=customer)
        job = await service.submit(spec)
        return _answer(call, view_job(job), status=CREATED)
    job = _check_owner(service.find_job(job_id), queue, customer)
    if call.method == "DELETE":
        job = await service.cancel(job_id) or job
    return _answer(call, view_job(job))


def _check_owner(
    job: JobRecord | None, queue: Queue, customer: str, *, is_required: bool = True
) -> JobRecord | None:
    """Return a job; raise `NoJobError` for one of another customer or queue."""
    if job is None and not is_required:
        return None
    if job is None:
        raise NoJobError("it was never accepted here, or ended long ago")
    if job.spec.queue != queue.name or job.spec.customer != customer:
        raise NoJobError("the id belongs to a job of another customer or queue")
    return job


def _answer(
    call: RelayedCall, document: msgspec.Struct, *, status: int = 200
) -> RelayedAnswer:
    return RelayedAnswer(
        number=call.number, status=status, body=msgspec.json.encode(document)
    )


def _unknown_address(call: RelayedCall) -> RelayedAnswer:
    problem = Problem(status=404, title="no such address", detail=call.path)
    return _answer(call, problem, status=problem.status)
