"""Controllers that lead in turn and call VMs for each other, in a simulated world.

Each controller has its own network to the VMs. Terms, votes and the quorum lease are
simulated: a controller votes only if it has not heard a leader for `ELECTION_S`.
"""

import asyncio
from datetime import timedelta

import msgspec

from redwingslip.delegation import DelegatedOrders, OrderDelegate
from redwingslip.observe import NullSink
from redwingslip.peers import (
    DelegateLease,
    DelegateLeaseRequest,
    OrderBatch,
    OrderReplies,
)
from redwingslip.scheduling import (
    CommandOutcomeUnknownError,
    LeaderPolicy,
    OrderNotSentError,
    OrderOutcomeUnknownError,
    Scheduler,
)
from tests.scheduling_endpoints import CALL_S, CALL_TIMEOUT_S
from tests.scheduling_lifecycle import (
    LeaderNetwork,
    ReplicaTerm,
)
from tests.support_scheduling import METRICS

ELECTION_S = 0.6
# Part of the election timeout for which contact with a quorum rules out a new leader.
LEASE_S = 0.95 * ELECTION_S
RETRY_S = 0.02
CHECK_INTERVAL = timedelta(milliseconds=50)


class Heartbeat(msgspec.Struct):
    """A message by which a leader renews its quorum lease."""

    term: int
    sent_at: float


class HeartbeatAck(msgspec.Struct):
    """The answer to a `Heartbeat`; `term` may be higher than that of the leader."""

    term: int
    sent_at: float


class QuorumTerm(ReplicaTerm):
    """A term whose leader leads while it has contact with a quorum."""

    def __init__(self, world, fence, process):
        super().__init__(world, fence)
        self.process = process
        self.lease_ends_at = world.now()
        self._contacts = {}

    def note_contact(self, name, sent_at):
        """Note that a process has answered a heartbeat."""
        self._contacts[name] = max(sent_at, self._contacts.get(name, 0.0))
        contacts = sorted(self._contacts.values(), reverse=True)
        n_others = len(self.world.processes) // 2
        if len(contacts) >= n_others:
            end = contacts[n_others - 1] + LEASE_S
            self.lease_ends_at = max(self.lease_ends_at, end)

    def lease_remaining(self):
        """Return for how much longer no other process can lead."""
        remaining = 0.0 if self.is_over else self.lease_ends_at - self.world.now()
        return timedelta(seconds=max(0.0, remaining))

    def is_leading(self):
        """Return whether no other process can lead."""
        return self.lease_remaining() > timedelta(0)

    def resign(self):
        """End the lease, so that another process can lead at once."""
        self.lease_ends_at = min(self.lease_ends_at, self.world.now())

    def wake(self):
        """Let the calls and answers pass that were held back."""
        self.paused_at = None
        self._awake.set()

    async def _commit(self, command):
        self.in_flight.append(command)
        await self.world.wait_for_commit()
        while True:
            await self.wait_awake()
            if self.is_over or self.world.term is not self:
                raise CommandOutcomeUnknownError("the term has ended")
            if self.is_leading():
                break
            await asyncio.sleep(RETRY_S)
        self.in_flight.remove(command)
        return self.world.apply(command)


class ProcessNetwork(LeaderNetwork):
    """The network of one process to the VMs.

    Parameters
    ----------
    world : DelegationWorld
        The world.
    process : Process
        The process.
    is_delegate : bool
        Whether the calls are those of a delegate and not of a leader.
    """

    def __init__(self, world, process, *, is_delegate):
        super().__init__(world, process)
        self.process = process
        self.is_delegate = is_delegate

    async def hold(self, vm, *, fence, **options):
        """Poll an endpoint."""
        self._check_lease(fence, "poll", vm)
        report = await super().hold(vm, fence=fence, **options)
        endpoint = self.world.endpoints.get(vm.vm_id)
        if endpoint is not None:
            endpoint.polled_at = self.world.now()
        if self.process.unreachable.get(vm.vm_id):
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise OrderOutcomeUnknownError("no answer")
        return report

    async def start(self, vm, run, *, fence, **options):
        """Send the order to start a run."""
        self._check_lease(fence, "start", vm)
        return await super().start(vm, run, fence=fence, **options)

    async def stop(self, vm, key, number, *, fence):
        """Send the order to stop a run."""
        self._check_lease(fence, "stop", vm)
        await super().stop(vm, key, number, fence=fence)

    def _check_lease(self, fence, name, vm):
        """Check that a delegate sends no call after its leader's lease has ended."""
        late_s = self.world.now() - self.world.terms[fence].lease_ends_at
        if self.is_delegate and late_s > 0:
            self.world.report_problem(
                f"{self.process.name} sends a {name} of term {fence} to {vm.vm_id}"
                f" {late_s:.3f} s after the leader's lease"
            )

    async def _deliver(self, vm, order):
        reach = self.process.unreachable.get(vm.vm_id)
        if reach == "refused":
            await asyncio.sleep(CALL_S)
            raise OrderNotSentError("refused")
        if reach == "silent":
            await asyncio.sleep(CALL_S + CALL_TIMEOUT_S)
            raise OrderOutcomeUnknownError("no answer")
        # What a frozen leader sends when it goes on counts as late on the network.
        if not self.process.is_awake():
            await self.process.wait_awake()
            order = self._late(order)
        endpoint = await super()._deliver(vm, order)
        if reach == "one way":
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise OrderOutcomeUnknownError("no answer")
        return endpoint

    def _late(self, order):
        def carry_out(endpoint):
            endpoint.is_order_late = True
            order(endpoint)
            endpoint.is_order_late = False

        return carry_out


class WorldOrders(DelegatedOrders):
    """The orders of a leader that checks its delegates only while it is not frozen."""

    def __init__(self, process, **options):
        super().__init__(**options)
        self._process = process
        self._checked_at = None

    def check(self, now, *, lag=timedelta(0)):
        """Drop silent delegates, and give up orders without a reply."""
        if not self._process.is_awake():
            return
        checked_at, self._checked_at = self._checked_at, now
        if checked_at is not None:
            lag = max(lag, now - checked_at - CHECK_INTERVAL)
        super().check(now, lag=lag)


class Process:
    """A controller: a delegate, and the leader while it has been elected.

    Attributes
    ----------
    term : int
        Highest term that it knows.
    heard_at : float
        When it last heard a leader.
    unreachable : dict of str to str
        How its calls of VMs fail, by VM: ``refused``, ``silent`` or ``one way``.
    """

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.is_up = True
        self.term = 0
        self.leader_id = ""
        self.heard_at = -ELECTION_S
        self.is_candidate_from = 0.0
        self.unreachable = {}
        self.leadership = None
        self.orders = None
        self.scheduler = None
        self.delegate = None
        self._awake = asyncio.Event()
        self._awake.set()
        self.start()

    def start(self):
        """Start the process, which may have run before."""
        self.is_up = True
        self.leader_id = ""
        self.heard_at = self.world.now() if self.term else -ELECTION_S
        self.delegate = OrderDelegate(
            own_id=self.name,
            orders=ProcessNetwork(self.world, self, is_delegate=True),
            leader_id=lambda: self.leader_id,
            current_term=lambda: self.term,
            send=self.send,
            clock=self.world.clock,
            cfg=self.world.delegation,
        )

    def kill(self):
        """End the process at once."""
        self.thaw(reads=False)
        self.is_up = False
        self.step_down()
        self.delegate.close()

    def freeze(self):
        """Hold back what the process sends and what arrives."""
        self.world.links.frozen.add(self.name)
        self._awake.clear()
        if self.leadership is not None:
            self.leadership.pause()

    def thaw(self, *, reads=True):
        """Let the process go on."""
        if not reads:
            self.world.links.forget(self.name)
        if self.leadership is not None:
            self.leadership.wake()
        self._awake.set()
        if reads:
            self.world.links.thaw(self.name)

    def is_awake(self):
        """Return whether the process runs."""
        return self._awake.is_set()

    async def wait_awake(self):
        """Wait until the process is not frozen."""
        await self._awake.wait()

    def send(self, to, msg):
        """Send a message to another process."""
        if self.is_up:
            self.world.links.send(self.name, to, msg)

    async def live(self):
        """Send heartbeats as the leader, and renew the lease as a delegate."""
        interval_s = self.world.delegation.renew_interval.total_seconds()
        await asyncio.sleep(self.world.rng.uniform(0, interval_s))
        while True:
            if self.is_up and self.is_awake():
                self._send_heartbeats()
                if self.leader_id:
                    self.delegate.note_version(self.leader_id, takes_delegates=True)
                self.delegate.renew()
            await asyncio.sleep(interval_s)

    def _send_heartbeats(self):
        if self.leadership is None:
            return
        msg = Heartbeat(self.term, self.world.now())
        for name in self.world.processes:
            if name != self.name:
                self.send(name, msg)

    # Terms.

    def may_vote(self):
        """Return whether the process knows of no leader."""
        is_silent = self.world.now() - self.heard_at >= ELECTION_S
        leads = self.leadership is not None and self.leadership.is_leading()
        return self.is_up and self.is_awake() and is_silent and not leads

    def lead(self, fence):
        """Begin a term as the leader."""
        self.step_down()
        self.term = fence
        self.leader_id = self.name
        term = QuorumTerm(self.world, fence, self)
        self.leadership = term
        self.orders = WorldOrders(
            self,
            own_id=self.name,
            own=ProcessNetwork(self.world, self, is_delegate=False),
            fence=fence,
            lease_remaining=term.lease_remaining,
            n_delegates=lambda: len(self.world.processes) - 1,
            n_vms=lambda: self.world.delegation.min_vms,
            send=self.send,
            clock=self.world.clock,
            events=NullSink(),
            metrics=METRICS,
            cfg=self.world.delegation,
        )
        self.orders.begin()
        self.scheduler = Scheduler(
            term=term,
            orders=self.orders,
            operations=self.world.operations,
            adviser=None,
            cfg=LeaderPolicy(),
        )
        self._send_heartbeats()
        return term

    def step_down(self):
        """End the term as the leader."""
        if self.leadership is not None:
            self.leadership.end()
            self.scheduler.close()
            self.orders.close()
            self.leadership = None

    def see_term(self, term):
        """Learn of a term, which ends an earlier one."""
        if term > self.term:
            self.term = term
            self.leader_id = ""
            self.step_down()

    def receive(self, sender, msg):
        """Handle a message."""
        if not self.is_up:
            return
        match msg:
            case Heartbeat():
                self.see_term(msg.term)
                if msg.term == self.term:
                    self.leader_id = sender
                    self.heard_at = self.world.now()
                self.send(sender, HeartbeatAck(self.term, msg.sent_at))
            case HeartbeatAck():
                self.see_term(msg.term)
                if self.leadership is not None and msg.term == self.term:
                    self.leadership.note_contact(sender, msg.sent_at)
            case DelegateLease():
                self.delegate.receive_lease(sender, msg)
            case OrderBatch():
                self.delegate.receive_orders(sender, msg)
            case DelegateLeaseRequest():
                if self.leadership is not None:
                    self.orders.receive_request(sender, msg)
            case OrderReplies():
                if self.leadership is not None:
                    self.orders.receive_replies(sender, msg)
