"""VMs that report and leave by themselves, around leaders that may be paused.

It extends the simulated world: reports and deregistrations pass through the real
`JobService`, and arrive late or more than once. Each leader has its own copy of the
state. A paused leader acts, when it wakes, on the state of before.
"""

import asyncio

from redwingslip.jobs import JobsState
from redwingslip.scheduling import (
    CommandOutcomeUnknownError,
    JobService,
    LeaderPolicy,
    NotLeadingError,
    OrderNotSentError,
    Scheduler,
    SchedulingError,
    VmReplacedError,
)
from tests.scheduling_endpoints import CALL_S, Endpoint, Network
from tests.scheduling_world import World, WorldTerm

# A leader knows for this long after its last contact with others that it leads.
LEADER_LEASE_S = 1.0
# An earlier leader acts for this long after it wakes.
NOTICE_S = 0.02
REPORT_S = 0.4
# Platform contract: a VM may get new runs for this long after it has announced its end.
DRAIN_S = 1.0


class ReplicaTerm(WorldTerm):
    """The term of one leader, with a copy of the state as the leader last applied it.

    The commands that are in flight when the term ends are applied when the next leader
    begins, up to one of them.

    Attributes
    ----------
    paused_at : float or None
        When the leader was paused; None while it is not.
    in_flight : list of Command
        Commands that are being committed.
    """

    def __init__(self, world, fence):
        super().__init__(world, fence)
        self.state = JobsState()
        self.state.restore(world.state.snapshot())
        self.paused_at = None
        self.in_flight = []
        self._awake = asyncio.Event()
        self._awake.set()

    def is_leading(self):
        """Return whether the leader still believes that no other can exist."""
        if self.is_over:
            return False
        return self.paused_at is None or self._is_lease_valid()

    def _is_lease_valid(self):
        return self.world.now() < self.paused_at + LEADER_LEASE_S

    def pause(self):
        """Hold back all calls and proposals of this leader, and their answers."""
        self.paused_at = self.world.now()
        self._awake.clear()

    def wake(self):
        """Let the calls and answers pass that were held back."""
        if self._is_lease_valid():
            self.paused_at = None
        self._awake.set()

    def end(self):
        """End the term; the calls that were held back get no answer."""
        self.is_over = True
        self._awake.set()

    async def wait_awake(self):
        """Wait until this leader is not paused."""
        await self._awake.wait()

    async def propose(self, command):
        """Commit a command, unless the term ends first or the leader is paused."""
        if self.is_over:
            raise NotLeadingError("the term has ended")
        # A proposer that is cancelled does not withdraw its command.
        work = asyncio.ensure_future(self._commit(command))
        work.add_done_callback(lambda done: done.cancelled() or done.exception())
        return await asyncio.shield(work)

    async def _commit(self, command):
        self.in_flight.append(command)
        await self.world.wait_for_commit()
        await self.wait_awake()
        if self.is_over or self.world.term is not self:
            raise CommandOutcomeUnknownError("the term has ended")
        self.in_flight.remove(command)
        return self.world.apply(command)


class LeaderNetwork(Network):
    """The network of one leader: calls reach what is at an address."""

    def __init__(self, world, term):
        super().__init__(world)
        self.term = term

    def find_endpoint(self, vm):
        """Return the endpoint at the address, if it has the name."""
        for endpoint in self.world.endpoints.values():
            if endpoint.is_up and endpoint.address == vm.address:
                if endpoint.vm_id != vm.vm_id:
                    raise VmReplacedError(f"{endpoint.vm_id} answers")
                return endpoint
        raise OrderNotSentError("refused")

    async def _deliver(self, vm, order):
        await self.term.wait_awake()
        try:
            return await super()._deliver(vm, order)
        finally:
            await self._delay_answer()

    async def hold(self, vm, **options):
        """Poll an endpoint; the answer may be slow."""
        report = await super().hold(vm, **options)
        await self._delay_answer()
        return report

    async def _delay_answer(self):
        if self.world.rng.random() < self.world.slow_answer_rate:
            await asyncio.sleep(self.world.rng.uniform(0.05, 0.7))
        await self.term.wait_awake()


class LifecycleWorld(World):
    """A world whose VMs report and deregister through the leader's `JobService`.

    Attributes
    ----------
    operations : MachineOperations
        The platform.
    late_report_rate : float
        Share of the reports that are seconds late.
    answer_loss_rate : float
        Share of the answers to deregistrations that are lost.
    slow_answer_rate : float
        Share of the answers to orders that take up to 0.7 s.
    policy : LeaderPolicy
        Settings of all leaders.
    """

    policy = LeaderPolicy()

    def __init__(self, *args, **options):
        self._background = set()
        self.operations = None
        self.names = iter(f"n{number}" for number in range(10_000))
        self.late_report_rate = 0.1
        self.answer_loss_rate = 0.3
        self.slow_answer_rate = 0.0
        super().__init__(*args, **options)

    def start_leader(self):
        """Start the next term with a new leader and its copy of the state."""
        if self.term is not None:
            commands = self.term.in_flight
            for command in commands[: self.rng.randint(0, len(commands))]:
                self.state.apply(command)
        self.fence += 1
        self.term = ReplicaTerm(self, self.fence)
        self.scheduler = Scheduler(
            term=self.term,
            orders=LeaderNetwork(self, self.term),
            operations=self.operations,
            adviser=self.adviser,
            cfg=self.policy,
        )
        self.service = JobService(
            term=self.term, scheduler=self.scheduler, gate=self.scheduler.gate
        )
        self.scheduler.begin()

    def is_serving(self):
        """Return whether there is a leader that takes calls."""
        return self.term.is_leading() and self.term.paused_at is None

    def apply(self, command):
        """Apply a committed command to the state and to the leader's copy."""
        self.state.apply(command)
        outcome = self.term.state.apply(command)
        self.scheduler.applied(command, outcome)
        return outcome

    def stop_leader(self):
        """End the term; orders in flight may still arrive."""
        self.term.end()
        self.scheduler.close()

    async def pause_leader(self, duration_s):
        """Pause the leader; another takes over if its lease lapses meanwhile."""
        term, scheduler = self.term, self.scheduler
        term.pause()
        await asyncio.sleep(min(duration_s, LEADER_LEASE_S))
        if duration_s < LEADER_LEASE_S:
            term.wake()
            return
        wake_at = term.paused_at + duration_s
        await asyncio.sleep(self.rng.uniform(0.05, 1.0))
        self.start_leader()
        self.spawn(self._wake_later(term, scheduler, wake_at))

    def spawn(self, work):
        """Run work in the background."""
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _wake_later(self, term, scheduler, wake_at):
        await asyncio.sleep(max(0, wake_at - self.now()))
        term.wake()
        await asyncio.sleep(NOTICE_S)
        term.is_over = True
        scheduler.close()

    def make_endpoint(self, vm_id, rate):
        """Return a new incarnation of a VM."""
        return LeavingEndpoint(self, vm_id, rate)

    def start_endpoint(self, vm_id, *, machine="", address="", pool="p"):
        """Start a new incarnation of a VM, which reports itself until it ends."""
        rate = self.rng.choice((1.0, 0.99, 0.98))
        endpoint = self.make_endpoint(vm_id, rate)
        endpoint.machine = machine or endpoint.machine
        endpoint.address = address or endpoint.address
        endpoint.pool = pool
        self.endpoints[vm_id] = endpoint
        self.spawn(endpoint.live())
        return endpoint


class LeavingEndpoint(Endpoint):
    """An endpoint that reports, and that drains and deregisters when it is told to.

    Attributes
    ----------
    refusal : StartResult or None
        Its answer to all start orders; None if it accepts them.
    """

    def __init__(self, world, vm_id, rate):
        super().__init__(world, vm_id, rate)
        self.refusal = None
        self.drained_at = None
        self.drained = asyncio.Event()
        self._sequence = 0

    async def live(self):
        """Send reports until the end, some of them late."""
        while self.is_up:
            self._sequence += 1
            delay = CALL_S
            if self.world.rng.random() < self.world.late_report_rate:
                delay = self.world.rng.uniform(0.1, 8)
            self.world.spawn(self._report(self.record(), self._sequence, delay))
            await asyncio.sleep(REPORT_S)

    async def _report(self, vm, sequence, delay):
        await asyncio.sleep(delay)
        if self.is_partitioned or not self.world.is_serving():
            return
        try:
            await self.world.service.report_vm(vm, sequence, 0)
        except SchedulingError:
            return
        if vm.is_draining and not self.drained.is_set():
            self.drained_at = self.world.now()
            self.drained.set()

    def start(self, run, fence, until_ms):
        """Handle the order to start a run; refuse it while `refusal` is set."""
        if self.refusal is not None:
            return self.refusal
        n_starts = len(self.world.starts.get(run.key, ()))
        result = super().start(run, fence, until_ms)
        has_started = len(self.world.starts.get(run.key, ())) > n_starts
        is_over = self.drained_at and self.world.now() > self.drained_at + DRAIN_S
        if has_started and is_over and not self.is_order_late:
            label = run.key.label(run.number)
            self.world.report_problem(f"{label} starts on {self.vm_id}, which drains")
        return result

    async def leave(self, drain_s):
        """Drain, deregister and end; end without an answer seconds later."""
        self.is_draining = True
        await self.drained.wait()
        await asyncio.sleep(drain_s)
        end_at = self.world.now() + self.world.rng.uniform(2, 6)
        while self.is_up and self.world.now() < end_at:
            if await self._deregister():
                break
            await asyncio.sleep(self.world.rng.uniform(0.2, 1))
        self.is_up = False

    async def _deregister(self):
        """Send a deregistration; return whether an answer has arrived."""
        rng = self.world.rng
        await asyncio.sleep(CALL_S)
        if self.is_partitioned or not self.world.is_serving():
            return False
        try:
            await self.world.service.remove_vm(self.vm_id, self.born_ms)
        except SchedulingError:
            return False
        # Another process may relay the answer.
        await asyncio.sleep(rng.choice((CALL_S, CALL_S, 0.05, 0.3)))
        return rng.random() >= self.world.answer_loss_rate
