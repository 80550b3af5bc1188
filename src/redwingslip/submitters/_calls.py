"""Translation of submitters' calls into calls of the leader's `JobService`."""

import re

from ..http import Problem
from ..jobs import JobRecord, Queue
from ..peers import RelayedAnswer, RelayedCall
from ..relay import document_answer, problem_answer
from ..scheduling import JobService, SchedulingError
from ._documents import JobList, decode_job, view_job
from ._problems import error_answer
from .exceptions import InvalidJobDocumentError, NoJobError, SubmitterError

__all__ = ["answer_submitter"]

_JOBS_PATH = re.compile(r"/v1/queues/(?P<queue>[^/]+)/jobs(?:/(?P<id>[^/]*))?")
_JOB_ID = re.compile(r"[0-9a-f]{16}")
CREATED_STATUS = 201


async def answer_submitter(service: JobService, call: RelayedCall) -> RelayedAnswer:
    """Return the leader's answer to a submitter's call."""
    match = _JOBS_PATH.fullmatch(call.path)
    if match is None:
        return _unknown_address_answer(call)
    try:
        queue = service.queue_named(match["queue"])
        customer = service.find_customer(queue, call.token)
        if not match["id"]:
            jobs = service.jobs_of(queue, customer)
            return document_answer(
                call, JobList(items=tuple(view_job(job) for job in jobs))
            )
        return await _answer_job(service, call, queue, customer, match["id"])
    except (SchedulingError, SubmitterError) as exc:
        return error_answer(call, exc)


async def _answer_job(
    service: JobService, call: RelayedCall, queue: Queue, customer: str, job_id: str
) -> RelayedAnswer:
    if call.method == "POST":
        if not _JOB_ID.fullmatch(job_id):
            raise InvalidJobDocumentError("id", "must be 16 hexadecimal digits")
        _check_owner(service.find_job(job_id), queue, customer, is_required=False)
        spec = await decode_job(
            call.body, job_id=job_id, queue=queue, customer=customer
        )
        job = await service.submit(spec)
        return document_answer(call, view_job(job), status=CREATED_STATUS)
    job = service.find_job(job_id)
    if call.method == "DELETE" and _JOB_ID.fullmatch(job_id):
        _check_owner(job, queue, customer, is_required=False)
        job = await service.cancel(job_id, customer=customer)
    job = _check_owner(job, queue, customer)
    return document_answer(call, view_job(job))


def _check_owner(
    job: JobRecord | None, queue: Queue, customer: str, *, is_required: bool = True
) -> JobRecord | None:
    """Return the job; raise `NoJobError` if it is of another customer or queue.

    A missing job is an error only if `is_required`.
    """
    if job is None and not is_required:
        return None
    if job is None:
        raise NoJobError("no job with this id was accepted, or it ended long ago")
    if job.spec.queue != queue.name or job.spec.customer != customer:
        raise NoJobError("the id belongs to a job of another customer or queue")
    return job


def _unknown_address_answer(call: RelayedCall) -> RelayedAnswer:
    problem = Problem(status=404, title="no such address", detail=call.path)
    return problem_answer(call, problem)
