"""Translation of submitters' calls into calls of the leader's `JobService`."""

import re

from ..http import Problem
from ..jobs import JobRecord, Queue
from ..peers import RelayedAnswer, RelayedCall
from ..relay import document_answer, final_answer, problem_answer
from ..scheduling import JobService, SchedulingError
from ._documents import JobList, decode_job, view_job
from ._problems import error_answer
from .exceptions import InvalidJobDocumentError, NoJobError, SubmitterError

__all__ = ["answer_submitter", "find_earlier_answer", "rules_out_earlier"]

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
        job = await service.submit(spec, call_id=call.call_id)
        return document_answer(call, view_job(job), status=CREATED_STATUS)
    job = service.find_job(job_id)
    if call.method == "DELETE" and _JOB_ID.fullmatch(job_id):
        _check_owner(job, queue, customer, is_required=False)
        job = await service.cancel(job_id, customer=customer, call_id=call.call_id)
        if job is None:
            # The cancellation is stored, so that this is no refusal.
            return final_answer(error_answer(call, _unknown_job_error()))
    job = _check_owner(job, queue, customer)
    return document_answer(call, view_job(job))


def find_earlier_answer(service: JobService, call: RelayedCall) -> RelayedAnswer | None:
    """Return the answer to a repeated call that an earlier attempt has carried out.

    None stands for a call of which no attempt is known to have been carried out.
    """
    match = _JOBS_PATH.fullmatch(call.path)
    if match is None or not match["id"]:
        return None
    job, status = None, 200
    if call.method == "POST":
        job = service.earlier_attempts.submitted_job(match["id"], call.call_id)
        status = CREATED_STATUS
    elif call.method == "DELETE":
        job = service.earlier_attempts.cancelled_job(match["id"], call.call_id)
    return None if job is None else document_answer(call, view_job(job), status=status)


def rules_out_earlier(service: JobService, call: RelayedCall) -> bool:
    """Return whether no earlier attempt of a repeated call has changed anything."""
    match = _JOBS_PATH.fullmatch(call.path)
    if match is None or not match["id"]:
        return True
    attempts = service.earlier_attempts
    if call.method == "DELETE":
        return not attempts.may_have_cancelled(match["id"], call.call_id)
    return not attempts.may_have_submitted(match["id"], call.call_id)


def _check_owner(
    job: JobRecord | None, queue: Queue, customer: str, *, is_required: bool = True
) -> JobRecord | None:
    """Return the job; raise `NoJobError` if it is of another customer or queue.

    A missing job is an error only if `is_required`.
    """
    if job is None and not is_required:
        return None
    if job is None:
        raise _unknown_job_error()
    if job.spec.queue != queue.name or job.spec.customer != customer:
        raise NoJobError("the id belongs to a job of another customer or queue")
    return job


def _unknown_job_error() -> NoJobError:
    return NoJobError("no job with this id was accepted, or it ended long ago")


def _unknown_address_answer(call: RelayedCall) -> RelayedAnswer:
    problem = Problem(status=404, title="no such address", detail=call.path)
    return problem_answer(call, problem)
