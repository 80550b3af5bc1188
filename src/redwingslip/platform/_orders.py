"""Client of the platform's workers, for orders to them."""

import re
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Literal

import msgspec

from ..decoding import Figure, UndecodableError, Whole, decode_document
from ..http import (
    AnswerLostError,
    ClientAnswer,
    ClientLimits,
    ClientPool,
    ClientRequest,
    HttpError,
    Identify,
    NotConnectedError,
    WrongPeerError,
)
from ..jobs import ActiveRun, EndKind, TaskKey, VmRecord
from ..scheduling import (
    HoldReport,
    ListedEnd,
    ListedRun,
    OrderNotSentError,
    OrderOutcomeUnknownError,
    StartOutcome,
    StartResult,
    VmReplacedError,
)

__all__ = ["WorkerClient"]

# Twice the round trip that the platform's links may take under load, plus the time
# that a worker may need to answer.
ORDER_TIMEOUT = timedelta(milliseconds=800)
# A list of the 100,000 tasks of the largest job; usual ones have a few kB. One of that
# size is received at a time.
MAX_ANSWER_BYTES = 8 << 20
# A worker lists at most as many ends in one answer (platform contract).
MAX_LISTED_ENDS = 500
# Answers of a worker that has done nothing, or of another worker.
_REFUSAL_STATUSES = frozenset({409, 421, 429, 503})

_TASK_ID = re.compile(r"([^.]+)\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})")

_RESULTS_BY_REASON = {
    "fence": StartResult.SUPERSEDED,
    "old": StartResult.OLD,
    "late": StartResult.LATE,
    "room": StartResult.NO_ROOM,
    "ticket": StartResult.NO_TICKET,
}


class _StartDoc(msgspec.Struct, frozen=True, rename="camel", omit_defaults=True):
    task: str
    run_id: int
    spec: str
    not_after_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class _StopDoc(msgspec.Struct, frozen=True, rename="camel"):
    task: str
    run_id: int
    fencing_token: int


class _HoldDoc(msgspec.Struct, frozen=True, rename="camel", omit_defaults=True):
    fencing_token: int
    # Ends up to this number are recorded; the worker need not list them again.
    ack_cursor: int | None = None
    not_after_ms: int | None = None
    wait_ms: int = 0


class _AnswerDoc(msgspec.Struct, frozen=True, rename="camel"):
    clock_ms: Whole | None = None
    reason: str = ""


class _RunRow(msgspec.Struct, frozen=True, array_like=True):
    task: str
    number: Whole
    checkpoint: str
    percent: Figure
    load: Figure = 0.0


class _EndRow(msgspec.Struct, frozen=True, array_like=True):
    cursor: Whole
    task: str
    number: Whole
    kind: Literal["done", "failed", "stopped", "lapsed", "broken", "alone"]
    checkpoint: str


class _ListsDoc(msgspec.Struct, frozen=True, rename="camel"):
    clock_ms: Whole
    running: tuple[_RunRow, ...] = ()
    ended_runs: tuple[_EndRow, ...] = ()
    born: Whole = 0


_ANSWER_DECODER = msgspec.json.Decoder(_AnswerDoc)
_LISTS_DECODER = msgspec.json.Decoder(_ListsDoc)


class _HoldRefusedError(HttpError):
    """A worker refused the hold that was to identify it."""

    def __init__(self, answer: ClientAnswer) -> None:
        super().__init__(f"a hold was refused with {answer.status}")
        self.answer = answer


class WorkerClient:
    """Implements `redwingslip.scheduling.VmOrders` over HTTP."""

    __slots__ = ("_pool",)

    def __init__(self) -> None:
        self._pool = ClientPool(
            ClientLimits(
                connect_timeout=ORDER_TIMEOUT,
                idle_timeout=timedelta(seconds=60),
                max_idle_per_peer=2,
                max_answer_bytes=MAX_ANSWER_BYTES,
                max_total_answer_bytes=MAX_ANSWER_BYTES,
            )
        )

    async def hold(
        self,
        vm: VmRecord,
        *,
        fence: int,
        cursor: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> HoldReport:
        """Renew a VM's lease, acknowledge ends up to `cursor`, list runs and ends."""
        doc = _HoldDoc(
            fencing_token=fence,
            ack_cursor=cursor,
            not_after_ms=until_ms,
            wait_ms=wait_ms,
        )
        timeout = ORDER_TIMEOUT + timedelta(milliseconds=wait_ms)
        answer = await self._order(vm, "/hold", doc, fence, timeout)
        if answer.status != 200:
            raise OrderOutcomeUnknownError(
                f"{vm.vm_id} answered a hold with {answer.status}"
            )
        try:
            lists = decode_document(_LISTS_DECODER, answer.body)
            return HoldReport(
                clock_ms=lists.clock_ms,
                born_ms=lists.born,
                runs=tuple(_decode_run(row) for row in lists.running),
                ends=tuple(_decode_end(row) for row in lists.ended_runs),
                has_more_ends=len(lists.ended_runs) >= MAX_LISTED_ENDS,
            )
        except (UndecodableError, ValueError) as exc:
            raise OrderOutcomeUnknownError(
                f"{vm.vm_id} sent invalid lists: {exc}"
            ) from exc

    async def start(
        self,
        vm: VmRecord,
        run: ActiveRun,
        *,
        payload: str,
        ticket: str,
        fence: int,
        until_ms: int,
    ) -> StartOutcome:
        """Have a VM start a run, at most once; `ticket` is empty if none is needed."""
        doc = _StartDoc(
            task=_format_task_id(run.key),
            run_id=run.number,
            spec=payload,
            not_after_ms=until_ms,
            fencing_token=fence,
            checkpoint=run.checkpoint,
            ticket=ticket,
        )
        answer = await self._order(vm, "/run-start", doc, fence)
        if answer.status in (429, 503):
            return StartOutcome(StartResult.UNHEALTHY)
        if answer.status >= 500:
            raise OrderOutcomeUnknownError(
                f"{vm.vm_id} answered a start with {answer.status}"
            )
        doc = _decode_answer(answer)
        if answer.status == 200:
            return StartOutcome(StartResult.ACCEPTED, doc.clock_ms)
        result = _RESULTS_BY_REASON.get(doc.reason, StartResult.REFUSED)
        return StartOutcome(result, doc.clock_ms)

    async def stop(
        self, vm: VmRecord, key: TaskKey, number: int, *, fence: int
    ) -> None:
        """Have a VM stop a run; after this order the run can't start there either."""
        doc = _StopDoc(task=_format_task_id(key), run_id=number, fencing_token=fence)
        answer = await self._order(vm, "/run-stop", doc, fence)
        if answer.status not in (200, 404, 410):
            raise OrderOutcomeUnknownError(
                f"{vm.vm_id} answered a stop with {answer.status}"
            )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()

    async def _order(
        self,
        vm: VmRecord,
        path: str,
        doc: msgspec.Struct,
        fence: int,
        timeout: timedelta = ORDER_TIMEOUT,
    ) -> ClientAnswer:
        """Send an order that no other incarnation than `vm` may carry out.

        The worker's id in the order does not suffice, since the next incarnation may
        have the same one. Therefore orders are sent only on connections on which the
        incarnation has answered a hold that changes nothing.
        """
        hold = _request(vm, "/hold", _HoldDoc(fencing_token=fence, ack_cursor=0))

        async def identify(
            send: Callable[[ClientRequest], Awaitable[ClientAnswer]],
        ) -> None:
            answer = await send(hold)
            if answer.status in _REFUSAL_STATUSES:
                raise _HoldRefusedError(answer)
            born_ms = _decode_born(answer)
            if born_ms and born_ms != vm.born_ms:
                raise WrongPeerError(f"incarnation {born_ms} answers")

        req = _request(vm, path, doc, timeout, peer=f"{vm.vm_id}/{vm.born_ms}")
        try:
            return await self._post(req, identify)
        except _HoldRefusedError as exc:
            # The order would have been refused as well.
            return _check_target(exc.answer, vm.address)

    async def _post(
        self, req: ClientRequest, identify: Identify | None = None
    ) -> ClientAnswer:
        try:
            answer = await self._pool.exchange(req, identify=identify)
        except _HoldRefusedError:
            raise
        except WrongPeerError as exc:
            raise VmReplacedError(str(exc)) from exc
        except NotConnectedError as exc:
            raise OrderNotSentError(str(exc)) from exc
        except (AnswerLostError, HttpError) as exc:
            raise OrderOutcomeUnknownError(str(exc)) from exc
        return _check_target(answer, req.address)


def _check_target(answer: ClientAnswer, address: str) -> ClientAnswer:
    if answer.status == 421:
        raise VmReplacedError(f"another incarnation answers at {address}")
    return answer


def _decode_born(answer: ClientAnswer) -> int:
    """Return the start time in the answer to a hold; 0 if not given."""
    if answer.status != 200:
        raise NotConnectedError(f"a hold was answered with {answer.status}")
    try:
        return decode_document(_LISTS_DECODER, answer.body).born
    except UndecodableError as exc:
        raise NotConnectedError(f"invalid lists: {exc}") from exc


def _request(
    vm: VmRecord,
    path: str,
    doc: msgspec.Struct,
    timeout: timedelta = ORDER_TIMEOUT,
    *,
    peer: str = "",
) -> ClientRequest:
    return ClientRequest(
        address=vm.address,
        peer=peer,
        method="POST",
        path=path,
        headers={"Content-Type": "application/json", "Target-Instance": vm.vm_id},
        body=msgspec.json.encode(doc),
        timeout=timeout,
    )


def _decode_answer(answer: ClientAnswer) -> _AnswerDoc:
    try:
        return decode_document(_ANSWER_DECODER, answer.body)
    except UndecodableError:
        return _AnswerDoc()


def _format_task_id(key: TaskKey) -> str:
    return f"{key.job_id}.{key.occurrence}.{key.step}.{key.index}"


def _parse_task_id(text: str) -> TaskKey:
    match = _TASK_ID.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a task id")
    return TaskKey(match[1], int(match[2]), int(match[3]), int(match[4]))


def _decode_run(row: _RunRow) -> ListedRun:
    return ListedRun(
        _parse_task_id(row.task), row.number, row.checkpoint, row.percent, row.load
    )


def _decode_end(row: _EndRow) -> ListedEnd:
    return ListedEnd(
        row.cursor,
        _parse_task_id(row.task),
        row.number,
        EndKind(row.kind),
        row.checkpoint,
    )
