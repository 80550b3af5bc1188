"""Fakes for tests of the scheduling: endpoint, platform and term of a leader."""

import asyncio
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    Amounts,
    ForgetVm,
    JobSpec,
    JobsState,
    NoteVm,
    Plan,
    Pool,
    Queue,
    RecordEnds,
    ReplacePlan,
    StepSpec,
    SubmitJob,
    VmRecord,
)
from redwingslip.observe import NullSink, new_metrics
from redwingslip.scheduling import (
    HoldReport,
    ListedRun,
    MachineOutcome,
    OrderOutcomeUnknownError,
    StartOutcome,
    StartResult,
    VmAgent,
    VmPolicy,
)
from redwingslip.scheduling._unconfirmed_vms import UnconfirmedVms
from redwingslip.settings import MetricsSettings
from redwingslip.workers import RunTimeModel

LOOK_S = 0.002
PLAN = Plan(
    version=1,
    queues=(Queue(name="q", host="h", path_prefix="/q/", pool="p", max_attempts=2),),
    pools=(Pool(name="p"), Pool(name="off", is_standby=True)),
)


def make_vm(vm_id="v1", *, born_ms=1, machine="", **options):
    """Return the record of one incarnation of a VM."""
    fields = {
        "pool": "p",
        "address": f"{vm_id}:1",
        "capacity": Amounts(4000, 4000),
        "labels": ("a", "r1"),
        **options,
    }
    return VmRecord(
        vm_id=vm_id, born_ms=born_ms, machine=machine or f"m-{vm_id}", **fields
    )


def make_job(job_id="j1", **step):
    """Return a job with one step."""
    fields = {"n_tasks": 1, "need": Amounts(1000, 100), **step}
    return JobSpec(job_id=job_id, queue="q", pool="p", steps=(StepSpec(**fields),))


def make_state(*vms, jobs=()):
    """Return a state with the plan and the given VMs and jobs."""
    state = JobsState()
    state.apply(ReplacePlan(plan=PLAN))
    for vm in vms:
        state.apply(NoteVm(vm=vm, now_ms=1))
    for job in jobs:
        state.apply(SubmitJob(spec=job, now_ms=1))
    return state


class FakeEndpoint:
    """An endpoint that carries out orders and answers as a test configures it.

    Attributes
    ----------
    start_responses : list
        Results of the next start orders; an exception is raised instead.
    runs : dict
        Progress of its runs in percent, by task and run number.
    first_percent : int
        Progress of a run that has just started.
    ends : list
        Ends of runs that it lists.
    is_unresponsive : bool
        Whether it leaves all calls without an answer.
    """

    def __init__(self):
        self.start_responses = []
        self.runs = {}
        self.ends = []
        self.started = []
        self.stopped = []
        self.cursors = []
        self.is_unresponsive = False
        self.born_ms = 1
        self.clock_ms = 10_000
        self.first_percent = 100

    async def hold(self, vm, *, fence, cursor, until_ms, wait_ms):
        """Answer a poll with the runs and ends."""
        await asyncio.sleep(0.002)
        if self.is_unresponsive:
            raise OrderOutcomeUnknownError("unresponsive")
        self.cursors.append(cursor)
        return HoldReport(
            clock_ms=self.clock_ms,
            born_ms=self.born_ms,
            runs=tuple(
                ListedRun(key, number, "", percent)
                for (key, number), percent in self.runs.items()
            ),
            ends=tuple(end for end in self.ends if end.cursor > cursor),
        )

    async def start(self, vm, run, *, payload, ticket, fence, until_ms):
        """Start a run, or respond with the next configured result."""
        await asyncio.sleep(0)
        if self.is_unresponsive:
            raise OrderOutcomeUnknownError("unresponsive")
        self.started.append((run.key, run.number))
        if self.start_responses:
            answer = self.start_responses.pop(0)
            if isinstance(answer, Exception):
                raise answer
            return StartOutcome(answer, self.clock_ms)
        self.runs[(run.key, run.number)] = self.first_percent
        return StartOutcome(StartResult.ACCEPTED, self.clock_ms)

    async def stop(self, vm, key, number, *, fence):
        """Stop a run."""
        await asyncio.sleep(0)
        if self.is_unresponsive:
            raise OrderOutcomeUnknownError("unresponsive")
        self.stopped.append((key, number))
        self.runs.pop((key, number), None)


class FakeEndpoints:
    """One endpoint for each VM, created by the first order for it.

    Attributes
    ----------
    by_vm : dict of str to FakeEndpoint
        The endpoints, by VM.
    """

    def __init__(self):
        self.by_vm = {}

    def of_vm(self, vm_id):
        """Return the endpoint of a VM."""
        return self.by_vm.setdefault(vm_id, FakeEndpoint())

    async def hold(self, vm, **options):
        """Pass a poll to the endpoint of the VM."""
        return await self.of_vm(vm.vm_id).hold(vm, **options)

    async def start(self, vm, run, **options):
        """Pass a start order to the endpoint of the VM."""
        return await self.of_vm(vm.vm_id).start(vm, run, **options)

    async def stop(self, vm, key, number, *, fence):
        """Pass a stop order to the endpoint of the VM."""
        await self.of_vm(vm.vm_id).stop(vm, key, number, fence=fence)


class FakeTerm:
    """A term of leadership whose commands are applied immediately.

    It is also the listener of the agents.

    Attributes
    ----------
    is_leader : bool
        Whether this replica leads.
    forgotten : list of str
        VMs that were removed.
    restarted : list of TaskKey
        Tasks whose runs were stopped, to be restarted on another VM.
    on_command : callable
        Called with each command after it was applied.
    """

    def __init__(self, state, clock=None):
        self.state = state
        self.clock = clock or ManualClock()
        self.started_at = self.clock.monotonic()
        self.events = EVENTS
        self.metrics = METRICS
        self.fence = 3
        self.is_leader = True
        self.forgotten = []
        self.restarted = []
        self.n_commands = 0
        self.on_command = lambda command: None

    def is_leading(self):
        """Return `is_leader`."""
        return self.is_leader

    def now_ms(self):
        """Return the time of the clock in ms."""
        return self.clock.monotonic() // timedelta(milliseconds=1)

    async def propose(self, command):
        """Apply a command."""
        await asyncio.sleep(0)
        self.n_commands += 1
        outcome = self.state.apply(command)
        self.on_command(command)
        return outcome

    propose_or_log = propose

    async def record_ends(self, vm, ends, cursor, *, is_silent=False):
        """Apply the ends of runs."""
        self.state.apply(
            RecordEnds(
                vm_id=vm.vm_id,
                born_ms=vm.born_ms,
                ends=ends,
                now_ms=1,
                cursor=cursor,
                is_silent=is_silent,
            )
        )

    async def forget_vm(self, vm, reason, *, has_crashed=False, is_silent=False):
        """Remove an incarnation of a VM."""
        self.forgotten.append(vm.vm_id)
        command = ForgetVm(
            vm_id=vm.vm_id,
            born_ms=vm.born_ms,
            now_ms=1,
            has_crashed=has_crashed,
            is_silent=is_silent,
        )
        await self.propose(command)

    def emit(self, name, **fields):
        """Do nothing."""

    def note_restart(self, key, vm_id):
        """Record a task whose run was stopped."""
        self.restarted.append(key)

    def n_restarts(self, key):
        """Return how often a run of a task was stopped."""
        return self.restarted.count(key)

    def note_contact(self):
        """Do nothing."""


class FakePlatform:
    """A platform that accepts each order, or responds with configured outcomes."""

    def __init__(self):
        self.answers = []
        self.maintained = []
        self.moved = []
        self.machines = ()

    async def list_machines(self):
        """Return the machines that the test has set."""
        return self.machines

    async def maintain(self, machine, wave, *, fence):
        """Record the order and return its outcome."""
        self.maintained.append(machine)
        await asyncio.sleep(0)
        return self.answers.pop(0) if self.answers else MachineOutcome.DONE

    async def move(self, machine, pool, *, fence):
        """Record the order and return its outcome."""
        self.moved.append((machine, pool))
        await asyncio.sleep(0)
        return self.answers.pop(0) if self.answers else MachineOutcome.DONE


def make_agent(vm, endpoint, term, run_times=None):
    """Return an agent over a fake endpoint and term."""
    cfg = VmPolicy()
    return VmAgent(
        vm,
        term=term,
        orders=endpoint,
        listener=term,
        run_times=run_times or RunTimeModel(cfg.run_times),
        unconfirmed=UnconfirmedVms(),
        cfg=cfg,
    )


async def eventually(condition, timeout=3.0):
    """Return once a condition holds; fail after the looks of a timeout in seconds.

    Looks are counted, not time, since a busy machine may give the process no turn for
    seconds.
    """
    for _ in range(round(timeout / LOOK_S)):
        if condition():
            return
        await asyncio.sleep(LOOK_S)
    raise TimeoutError(f"the condition did not hold within {timeout} s of looks")


EVENTS = NullSink()
METRICS = new_metrics(MetricsSettings(), process_id="test")
