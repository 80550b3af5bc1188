"""The leader's interface to callers, operators and endpoints."""

import asyncio
from collections.abc import Iterator, Mapping
from contextlib import AbstractContextManager, nullcontext
from datetime import timedelta

import msgspec
from msgspec import UNSET

from ..jobs import (
    ACTIVE_STATUSES,
    CancelJob,
    ForgetVm,
    JobRecord,
    JobSpec,
    JobStatus,
    NoteVm,
    Plan,
    Queue,
    ReplacePlan,
    StartWave,
    SubmitJob,
    VmRecord,
)
from ..observe import EventName
from ._earlier_attempts import EarlierAttempts
from ._evacuation_calls import EvacuationCalls
from ._job_memory import JobMemory
from ._refusals import JobGate
from ._replacements import ReplacementChecks
from ._report_history import ReportHistory
from ._scheduler import Scheduler
from ._term import Term
from ._vm_admission import VmAdmission
from ._vm_statuses import VmStatus
from .exceptions import (
    FutureStartError,
    KeyRefusedError,
    NoPlanError,
    NoQueueError,
    UnknownPoolError,
)

__all__ = ["JobService"]

MS = timedelta(milliseconds=1)
# Time by which the clock of a VM may be ahead of the leader's.
MAX_CLOCK_LEAD = timedelta(minutes=10)
# Shorter than the time after which a VM sends its deregistration again.
STOP_WAIT = timedelta(milliseconds=600)
STOP_CHECK_INTERVAL = timedelta(milliseconds=10)


class JobService:
    """The leader's operations on queues, jobs, VMs, plans and waves.

    It is independent of the names and formats that outer interfaces use.

    Parameters
    ----------
    term : Term
        The term of this leader.
    scheduler : Scheduler
        Scheduling during this term.
    gate : JobGate, optional
        Refuses jobs for which there is no room in time.
    memory : JobMemory, optional
        Refuses jobs for which there is no memory.
    vm_admission : VmAdmission, optional
        Refuses reports of unknown VMs for which there is no room.
    """

    __slots__ = (
        "_checks",
        "_customer_of_key",
        "_gate",
        "_history",
        "_indexed_plan",
        "_memory",
        "_scheduler",
        "_state",
        "_term",
        "_vm_admission",
    )

    def __init__(
        self,
        *,
        term: Term,
        scheduler: Scheduler,
        gate: JobGate | None = None,
        memory: JobMemory | None = None,
        vm_admission: VmAdmission | None = None,
    ) -> None:
        self._term = term
        self._gate = gate
        self._memory = memory
        self._vm_admission = vm_admission
        self._state = term.state
        self._scheduler = scheduler
        self._checks = ReplacementChecks(term, scheduler)
        self._history = ReportHistory(term.clock, term.started_at, self._is_known)
        self._indexed_plan: Plan | None = None
        self._customer_of_key: Mapping[str, str] = {}

    def is_leading(self) -> bool:
        """Return whether this replica leads in the service's term."""
        return self._term.is_leading()

    @property
    def plan(self) -> Plan:
        """Return the plan in force.

        Raises
        ------
        NoPlanError
            No plan has been submitted yet.
        """
        if not self._state.plan.version:
            raise NoPlanError("no plan has been submitted yet")
        return self._state.plan

    @property
    def evacuations(self) -> EvacuationCalls:
        """Return the operations on evacuations of data centres."""
        return self._scheduler.evacuations

    def vm_statuses(self) -> tuple[VmStatus, ...]:
        """Return the VMs as the leader knows them, by pool and name."""
        return self._scheduler.vm_statuses()

    def find_queue(self, host: str, path: str) -> tuple[Queue, str]:
        """Return the queue with the longest matching prefix, and the rest of the path.

        Raises
        ------
        NoPlanError
            No plan has been submitted yet.
        NoQueueError
            No queue has this host and a path prefix that matches.
        """
        best_match = max(
            (
                queue
                for queue in self.plan.queues
                if queue.host == host and path.startswith(queue.path_prefix)
            ),
            key=lambda queue: len(queue.path_prefix),
            default=None,
        )
        if best_match is None:
            raise NoQueueError(f"no queue at {host}{path}")
        return best_match, path[len(best_match.path_prefix) :]

    def queue_named(self, name: str) -> Queue:
        """Return the queue with a name; see `find_queue` for errors."""
        queue = next((q for q in self.plan.queues if q.name == name), None)
        if queue is None:
            raise NoQueueError(f"no queue is named {name}")
        return queue

    def jobs_of(self, queue: Queue, customer: str) -> list[JobRecord]:
        """Return the jobs that a customer submitted to a queue, the newest first."""
        jobs = [
            job
            for job in self._state.jobs.values()
            if job.spec.queue == queue.name and job.spec.customer == customer
        ]
        return sorted(jobs, key=lambda job: (-job.accepted_ms, job.spec.job_id))

    def find_customer(self, queue: Queue, key: str) -> str:
        """Return the name of the customer with a key.

        The name is empty if no customer has the key and the queue is public.

        Raises
        ------
        KeyRefusedError
            No customer has the key, and the queue is not public.
        """
        if self._indexed_plan is not self._state.plan:
            self._indexed_plan = self._state.plan
            self._customer_of_key = {
                key: customer.name
                for customer in self._indexed_plan.customers
                for key in customer.keys
            }
        customer = self._customer_of_key.get(key, "")
        if not customer and not queue.is_public:
            raise KeyRefusedError("the key is not accepted")
        return customer

    @property
    def earlier_attempts(self) -> EarlierAttempts:
        """Return what earlier attempts of repeated calls have changed."""
        return EarlierAttempts(self._state)

    async def submit(self, spec: JobSpec, *, call_id: int = 0) -> JobRecord:
        """Accept a job and return it once it is committed.

        A job that is known already is returned as it is. One that its customer has
        cancelled before it arrived is stored as cancelled.

        Parameters
        ----------
        spec : JobSpec
            The job.
        call_id : int
            Identifies the call, see `RelayedCall`; 0 if unknown.

        Raises
        ------
        JobRefusedError
            The job was refused for lack of room or memory and never runs.
        NotLeadingError
            The job was not accepted and never runs.
        CommandOutcomeUnknownError
            The job may be accepted or not.
        """
        known = self._state.jobs.get(spec.job_id)
        if known is not None:
            return known
        with (
            self._memory.submission(spec) if self._memory else nullcontext(),
            self._gate.submission(spec) if self._gate else nullcontext(),
        ):
            command = SubmitJob(spec=spec, now_ms=self._term.now_ms(), call_id=call_id)
            job = await self._term.propose(command)
        if job.status is JobStatus.CANCELLED:
            detail = "before its submission was committed"
            self._term.emit(
                EventName.JOB_CANCELLED, request_id=spec.job_id, detail=detail
            )
            return job
        n_tasks = sum(step.n_tasks for step in spec.steps)
        self._term.emit(
            EventName.JOB_ACCEPTED,
            request_id=spec.job_id,
            detail=f"queue {spec.queue}, customer {spec.customer or 'none'}, "
            f"plan {self._state.plan.version}, {n_tasks} tasks"
            + "".join(_long_running_details(spec)),
        )
        return job

    def find_job(self, job_id: str) -> JobRecord | None:
        """Return a job; None for an unknown one."""
        return self._state.jobs.get(job_id)

    async def cancel(
        self, job_id: str, *, customer: str, call_id: int = 0
    ) -> JobRecord | None:
        """Cancel a job and return it; None for an unknown one.

        A job that has ended is returned unchanged. The cancellation of an unknown job
        is committed as well, since its submission may be delayed or not committed yet.
        See `submit` for errors.

        Parameters
        ----------
        job_id : str
            Id of the job.
        customer : str
            The customer that cancels; empty for a caller without a key.
        call_id : int
            Identifies the call, as in `submit`.
        """
        job = self._state.jobs.get(job_id)
        if job is None and (job_id, customer) in self._state.early_cancels:
            return None
        if job is not None and job.status not in ACTIVE_STATUSES:
            return job
        command = CancelJob(
            job_id=job_id,
            customer=customer,
            now_ms=self._term.now_ms(),
            call_id=call_id or UNSET,
        )
        job = await self._term.propose(command)
        detail = "by its caller"
        if job is None:
            detail += ", while it was not known"
        self._term.emit(EventName.JOB_CANCELLED, request_id=job_id, detail=detail)
        return job

    def n_not_begun(self, queue: Queue) -> int:
        """Return the number of a queue's accepted jobs without any started task."""
        return self._scheduler.n_not_begun(queue.name)

    async def replace_plan(self, plan: Plan) -> int:
        """Put a plan in force if its version is newer; return the version in force."""
        if plan.version <= self._state.plan.version:
            return self._state.plan.version
        return await self._term.propose(ReplacePlan(plan=plan))

    def note_cold(self, vm: VmRecord, remaining_ms: int) -> None:
        """Record how long a VM reports to be cold; it is then filled gradually.

        Only this leader knows it; the VM reports it again.
        """
        self._scheduler.note_cold(vm, remaining_ms)

    async def report_vm(self, vm: VmRecord, sequence: int, clock_ms: int) -> None:
        """Store the report of an endpoint; return once it is committed.

        A report has no effect if it comes from an earlier incarnation than the known
        one, or if a VM that started later has the same address or machine, or if the
        incarnation has left. Only a drain counts if a later report of the same
        incarnation was received before it, see `ReportHistory`. A VM that has reported
        a drain stays draining for the rest of its incarnation, unless its later reports
        refute that.

        Raises
        ------
        FutureStartError
            The incarnation starts in the future. Such a report would make all true ones
            of its VM outdated, and remove the VM at its address or machine.
        UnknownPoolError
            The plan does not have the pool, and the incarnation was not known in it.
        VmAtWorkError
            It would replace an incarnation that answers, see `ReplacementChecks`.
        VmUnconfirmedError
            It would replace an incarnation of which it is not known whether it ended.
        VmUnansweredError
            Too many VMs have not answered yet, and nor has this one.
        """
        reported, replaced, verified = vm, [], set()
        is_admitted = self._vm_admission is None
        while (vm := self._applicable(reported, sequence)) is not None:
            replaced = list(self._replaced_by(vm))
            unverified = [old for old in replaced if _identity(old) not in verified]
            if not unverified:
                if is_admitted or vm == self._state.vms.get(vm.vm_id):
                    break
                await self._vm_admission.verify(vm)
                is_admitted = True
                continue
            known = self._state.vms.get(vm.vm_id)
            is_new = known is None or known.born_ms != vm.born_ms
            await self._checks.verify(vm, unverified, is_new=is_new)
            # The state may have changed meanwhile.
            verified.update(map(_identity, unverified))
        if vm is None or self._history.is_outdated(reported, sequence):
            # A report that is not used must not make later ones outdated.
            self._history.note_outdated(reported, sequence)
        else:
            self._history.note(reported, sequence)
        if vm is None or vm == self._state.vms.get(vm.vm_id):
            return
        for old in replaced:
            if old.vm_id != vm.vm_id:
                await self._term.forget_vm(
                    old, f"replaced by {vm.vm_id}", has_crashed=True
                )
        known = self._state.vms.get(vm.vm_id)
        command = NoteVm(vm=vm, now_ms=self._term.now_ms())
        with self._reservation(vm):
            await self._term.propose(command)
        detail = f"incarnation {vm.born_ms} of machine {vm.machine} in {vm.pool} "
        detail += f"at {vm.address}"
        if vm.is_draining:
            detail += ", draining"
        elif known is not None and known.born_ms == vm.born_ms and known.is_draining:
            detail += ", its drain is refuted"
        self._term.emit(EventName.VM_NOTED, vm=vm.vm_id, detail=detail)

    def _reservation(self, vm: VmRecord) -> AbstractContextManager[None]:
        """Count a VM as unconfirmed while its report is being committed."""
        if self._vm_admission is None:
            return nullcontext()
        return self._vm_admission.reservation(vm)

    async def remove_vm(self, vm_id: str, born_ms: int) -> None:
        """Remove a VM that reports its end, once all its runs have ended.

        The VM goes on until it receives the answer, or for some seconds without one.
        Its runs are therefore stopped first. If some remain after a short wait, it
        stays known as draining, and its agent removes it later.

        A `born_ms` of 0 stands for the known incarnation; a report of any other
        incarnation has no effect. Later reports of one that has left have none under
        any leader, if it reported a drain or is named here. An end without either may
        be that of an earlier incarnation.
        """
        known = self._state.vms.get(vm_id)
        if known is None or (born_ms and born_ms != known.born_ms):
            return
        has_left = known.is_draining or bool(born_ms)
        self._history.note_drain(known)
        if not known.is_draining:
            vm = msgspec.structs.replace(known, is_draining=True)
            await self._term.propose(NoteVm(vm=vm, now_ms=self._term.now_ms()))
        if not await self._stop_runs_of(known):
            return
        self._term.emit(EventName.VM_LOST, vm=vm_id, detail="has left")
        command = ForgetVm(
            vm_id=vm_id,
            born_ms=known.born_ms,
            now_ms=self._term.now_ms(),
            has_left=has_left,
        )
        await self._term.propose(command)

    async def start_wave(
        self,
        *,
        number: int,
        machines: tuple[str, ...],
        duration_ms: int,
        max_at_once: int,
    ) -> None:
        """Start a wave, unless one with this number is known."""
        if number in self._state.waves:
            return
        command = StartWave(
            number=number,
            machines=machines,
            duration_ms=duration_ms,
            max_at_once=max_at_once,
            now_ms=self._term.now_ms(),
        )
        await self._term.propose(command)

    def is_wave_complete(self, number: int) -> bool | None:
        """Return whether a wave is complete; None for an unknown one."""
        wave = self._state.waves.get(number)
        return None if wave is None else wave.is_complete

    async def _stop_runs_of(self, vm: VmRecord) -> bool:
        """Stop the runs of a VM; return whether all have ended within a short time."""
        deadline = self._term.clock.monotonic() + STOP_WAIT
        while runs := self._state.runs_of(vm.vm_id, vm.born_ms):
            agent = self._scheduler.agents.get(vm.vm_id)
            if agent is None or self._term.clock.monotonic() >= deadline:
                return False
            for run in runs:
                if not agent.is_stopping(run.key, run.number):
                    agent.stop(run.key, run.number)
            await asyncio.sleep(STOP_CHECK_INTERVAL.total_seconds())
        return True

    def _applicable(self, vm: VmRecord, sequence: int) -> VmRecord | None:
        """Return the record that a report leads to; None if it has no effect.

        See `report_vm` for errors.
        """
        known = self._state.vms.get(vm.vm_id)
        is_known = known is not None and known.born_ms == vm.born_ms
        if self._history.is_outdated(vm, sequence):
            if not (is_known and vm.is_draining):
                return None
            return msgspec.structs.replace(known, is_draining=True)
        if known is not None and known.born_ms > vm.born_ms:
            return None
        # Reports that go on for long refute a false deregistration, like a false drain.
        has_left = self._state.has_left(vm.vm_id, vm.born_ms)
        if has_left:
            self._history.note_end(vm)
            has_left = not self._history.refutes_drain(vm, sequence)
        if not is_known:
            if has_left:
                self._history.note(vm, sequence)
                return None
            self._check_start(vm)
            self._check_pool(vm)
        else:
            if vm.pool != known.pool:
                self._check_pool(vm)
            # A controller of an earlier version may have noted it after its end.
            is_draining = (
                vm.is_draining
                or has_left
                or (known.is_draining and not self._history.refutes_drain(vm, sequence))
            )
            vm = msgspec.structs.replace(
                vm, end_cursor=known.end_cursor, is_draining=is_draining
            )
        if vm != known and self._is_superseded(vm):
            return None
        return vm

    def _is_known(self, vm_id: str, born_ms: int) -> bool:
        """Return whether the state has an incarnation."""
        vm = self._state.vms.get(vm_id)
        return vm is not None and vm.born_ms == born_ms

    def _check_start(self, vm: VmRecord) -> None:
        """Raise `FutureStartError` if a VM starts later than clocks may differ."""
        if vm.born_ms > self._term.now_ms() + MAX_CLOCK_LEAD // MS:
            raise FutureStartError(
                f"the start at {vm.born_ms} ms is in the future; "
                "set the clock of its machine"
            )

    def _check_pool(self, vm: VmRecord) -> None:
        """Raise `UnknownPoolError` if there is a plan without the pool of a VM."""
        plan = self._state.plan
        if plan.version and all(pool.name != vm.pool for pool in plan.pools):
            raise UnknownPoolError(f"plan {plan.version} has no {vm.pool!r}")

    def _is_superseded(self, vm: VmRecord) -> bool:
        """Return whether a later VM already has the address or machine of this one."""
        return any(
            other.vm_id != vm.vm_id
            and other.born_ms > vm.born_ms
            and _share_place(other, vm)
            for other in self._state.vms.values()
        )

    def _replaced_by(self, vm: VmRecord) -> Iterator[VmRecord]:
        """Yield the known records that are no longer true if a report is.

        These are the earlier incarnation of the VM, earlier VMs at its place, and its
        own record if that has another address.
        """
        if vm == self._state.vms.get(vm.vm_id):
            return
        for other in self._state.vms.values():
            if other.vm_id == vm.vm_id:
                if other.born_ms < vm.born_ms or other.address != vm.address:
                    yield other
            elif other.born_ms < vm.born_ms and _share_place(other, vm):
                yield other


def _long_running_details(spec: JobSpec) -> Iterator[str]:
    """Yield what limits the placement of each long-running step, for the log."""
    for number, step in enumerate(spec.steps):
        if step.is_long_running:
            yield (
                f"; step {number} is long-running: {step.n_tasks} tasks of "
                f"{step.need.cpu} mcpu and {step.need.memory_mb} MB"
                + (f", at most {step.max_per_vm} a VM" if step.max_per_vm else "")
                + (
                    f", budget {step.disruption_budget}"
                    if step.disruption_budget
                    else ""
                )
                + (", filler" if step.is_filler else "")
            )


def _identity(vm: VmRecord) -> tuple[str, int, str]:
    """Return what tells incarnations, and the addresses of one, apart."""
    return vm.vm_id, vm.born_ms, vm.address


def _share_place(vm: VmRecord, other: VmRecord) -> bool:
    """Return whether two VMs share an address or machine, so that only one can run."""
    same_machine = bool(vm.machine) and vm.machine == other.machine
    return vm.address == other.address or same_machine
