"""Translation of the platform's calls into calls of the leader's `JobService`."""

import re

from ..jobs import JobRecord
from ..peers import CallSource, RelayedAnswer, RelayedCall
from ..relay import final_answer
from ..scheduling import (
    FutureStartError,
    JobService,
    SchedulingError,
    UnknownPoolError,
    VmAtWorkError,
)
from ._answers import error_answer, json_answer
from ._documents import (
    decode_deregistration,
    decode_job,
    decode_plan,
    decode_report,
    decode_wave,
)
from .exceptions import DocumentError

__all__ = ["answer_call", "find_earlier_answer", "rules_out_earlier"]

_JOB_ID = re.compile(r"[0-9a-f]{16}")
_INSTANCE_PATH = re.compile(r"/instances/(?P<id>[^/]+)/(?P<verb>heartbeat|deregister)")
_EVACUATION_PATH = re.compile(r"/evacuations/(?P<zone>[^/]+)/(?P<verb>start|finish)")
_WAVE_PATH = re.compile(r"/wave-get/(?P<number>[0-9]{1,16})")


async def answer_call(
    service: JobService, call: RelayedCall, *, own_address: str
) -> RelayedAnswer:
    """Return the leader's answer to an external call.

    Parameters
    ----------
    service : JobService
        The leader's job service.
    call : RelayedCall
        The call.
    own_address : str
        Address to which workers should send their next reports.
    """
    try:
        if call.source is CallSource.CALLERS:
            return await _answer_caller(service, call)
        return await _answer_control(service, call, own_address)
    except (SchedulingError, DocumentError) as exc:
        return error_answer(call, exc)


async def _answer_caller(service: JobService, call: RelayedCall) -> RelayedAnswer:
    queue, job_id = service.find_queue(call.host, call.path)
    customer = service.find_customer(queue, call.token)
    if not job_id:
        if call.method != "GET":
            return json_answer(call, 405, {"error": "a queue can only be read"})
        return json_answer(call, 200, {"pending": service.n_not_begun(queue)})
    if not _JOB_ID.fullmatch(job_id):
        return json_answer(call, 404, {"error": "an id has 16 hexadecimal digits"})
    if call.method == "POST":
        spec = await decode_job(
            call.body, job_id=job_id, queue=queue, customer=customer
        )
        await service.submit(spec, call_id=call.call_id)
        return json_answer(call, 200, {})
    if call.method == "DELETE":
        job = await service.cancel(job_id, customer=customer, call_id=call.call_id)
        return final_answer(_state_answer(call, job))
    if call.method != "GET":
        return json_answer(call, 405, {"error": f"{call.method} is not known"})
    return _state_answer(call, service.find_job(job_id))


def _state_answer(call: RelayedCall, job: JobRecord | None) -> RelayedAnswer:
    if job is None:
        return json_answer(call, 410, {"error": "no such submission"})
    return json_answer(call, 200, {"state": job.status.value})


def find_earlier_answer(service: JobService, call: RelayedCall) -> RelayedAnswer | None:
    """Return the answer to a repeated call that an earlier attempt has carried out.

    None stands for a call of which no attempt is known to have been carried out.
    """
    job_id = call.path.rpartition("/")[2]
    if call.source is not CallSource.CALLERS:
        return None
    if call.method == "POST":
        job = service.earlier_attempts.submitted_job(job_id, call.call_id)
        return json_answer(call, 200, {}) if job else None
    if call.method == "DELETE":
        job = service.earlier_attempts.cancelled_job(job_id, call.call_id)
        return _state_answer(call, job) if job else None
    return None


def rules_out_earlier(service: JobService, call: RelayedCall) -> bool:
    """Return whether no earlier attempt of a repeated call has changed anything.

    Plans and waves are not looked for, since a repeated one is acknowledged again.
    """
    attempts, path = service.earlier_attempts, call.path
    if call.source is CallSource.CALLERS:
        job_id = path.rpartition("/")[2]
        if call.method == "DELETE":
            return not attempts.may_have_cancelled(job_id, call.call_id)
        return not attempts.may_have_submitted(job_id, call.call_id)
    if match := _EVACUATION_PATH.fullmatch(path):
        is_start = match["verb"] == "start"
        return is_start and not attempts.may_have_evacuated(match["zone"])
    match = _INSTANCE_PATH.fullmatch(path)
    if match and match["verb"] == "heartbeat":
        try:
            report = decode_report(call.body, vm_id=match["id"])
        except DocumentError:
            return True
        return not attempts.may_have_reported(report.vm.vm_id, report.vm.born_ms)
    return True


async def _answer_control(
    service: JobService, call: RelayedCall, own_address: str
) -> RelayedAnswer:
    path = call.path
    if call.method == "POST" and path == "/config/replace":
        version = await service.replace_plan(decode_plan(call.body))
        return json_answer(call, 200, {"version": version})
    if call.method == "GET" and path == "/config/read":
        return RelayedAnswer(number=call.number, body=service.plan.document)
    if call.method == "POST" and path == "/wave-start":
        order = decode_wave(call.body)
        await service.start_wave(
            number=order.number,
            machines=order.machines,
            duration_ms=order.duration_ms,
            max_at_once=order.max_at_once,
        )
        return json_answer(call, 200, {})
    if (match := _EVACUATION_PATH.fullmatch(path)) and call.method == "POST":
        if match["verb"] == "start":
            await service.evacuations.start(match["zone"])
        else:
            await service.evacuations.finish(match["zone"])
        return json_answer(call, 200, {})
    if match := _INSTANCE_PATH.fullmatch(path):
        if match["verb"] == "deregister":
            await service.remove_vm(match["id"], decode_deregistration(call.body))
            return json_answer(call, 200, {})
        report = decode_report(call.body, vm_id=match["id"])
        try:
            await service.report_vm(report.vm, report.sequence, report.clock_ms)
        except (FutureStartError, VmAtWorkError) as exc:
            raise DocumentError(f"born: {exc}") from exc
        except UnknownPoolError as exc:
            raise DocumentError(f"service: {exc}") from exc
        if report.cold_remaining_ms is not None:
            service.note_cold(report.vm, report.cold_remaining_ms)
        return json_answer(call, 200, {"heartbeatAddress": own_address})
    if match := _WAVE_PATH.fullmatch(path):
        is_complete = service.is_wave_complete(int(match["number"]))
        if is_complete is None:
            return json_answer(call, 404, {"error": "no such wave"})
        return json_answer(
            call, 200, {"state": "completed" if is_complete else "running"}
        )
    return json_answer(call, 404, {"error": f"no interface at {path}"})
