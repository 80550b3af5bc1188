"""A leader and its delegates in one process, with links that a test may cut."""

import asyncio
from datetime import timedelta
from functools import singledispatchmethod

from redwingslip.delegation import DelegatedOrders, DelegationSettings, OrderDelegate
from redwingslip.observe import NullSink
from redwingslip.peers import (
    DelegateLease,
    DelegateLeaseRecall,
    DelegateLeaseRequest,
    DelegateLeaseReturn,
    OrderBatch,
    OrderReplies,
)
from tests.support_scheduling import METRICS

LINK_S = 0.001
# Time between the arrivals of two messages on one link.
TICK_S = 1e-6
LEASE = timedelta(milliseconds=400)


class Links:
    """Links between processes that read and send nothing while they are frozen.

    The messages from one process to another arrive in their order.

    Attributes
    ----------
    cut : set of tuple
        Pairs of sender and receiver between which messages are lost.
    delays_s : dict
        Delays in seconds of the links that are slow, by sender and receiver.
    frozen : set of str
        Processes that read and send nothing; messages wait until they go on.
    batches : list of OrderBatch
        Batches that were sent.
    """

    def __init__(self):
        self.cut = set()
        self.delays_s = {}
        self.frozen = set()
        self.unread = []
        self.unsent = []
        self.batches = []
        self._last_arrivals = {}

    def send(self, sender, receiver, msg):
        """Deliver a message after the delay of the link, unless it is cut."""
        if sender in self.frozen:
            self.unsent.append((sender, receiver, msg))
            return
        if isinstance(msg, OrderBatch):
            self.batches.append(msg)
        link = (sender, receiver)
        if link in self.cut:
            return
        loop = asyncio.get_running_loop()
        arrives_at = loop.time() + self.delays_s.get(link, LINK_S)
        arrives_at = max(arrives_at, self._last_arrivals.get(link, 0.0) + TICK_S)
        self._last_arrivals[link] = arrives_at
        loop.call_at(arrives_at, self._deliver, sender, receiver, msg)

    def thaw(self, name):
        """Have a frozen process send and read what has waited, and go on."""
        self.frozen.discard(name)
        unsent, self.unsent = self.unsent, []
        for item in unsent:
            self.send(*item)
        unread, self.unread = self.unread, []
        for item in unread:
            self._deliver(*item)

    def forget(self, name):
        """Discard what waits in a process that has ended."""
        self.frozen.discard(name)
        self.unsent = [item for item in self.unsent if item[0] != name]
        self.unread = [item for item in self.unread if item[1] != name]

    def _deliver(self, sender, receiver, msg):
        if receiver in self.frozen:
            self.unread.append((sender, receiver, msg))
        else:
            self.receive(sender, receiver, msg)

    def receive(self, sender, receiver, msg):
        """Handle a message that a process reads."""
        raise NotImplementedError


class DelegationNet(Links):
    """Links between a leader and its delegates.

    Attributes
    ----------
    leader_id : str
        The leader that all delegates know.
    n_vms : int
        Size of the fleet.
    lease : timedelta
        What remains of the leader's own lease.
    """

    def __init__(self, clock, cfg=None):
        super().__init__()
        self.clock = clock
        self.cfg = cfg or DelegationSettings()
        self.leader_id = ""
        self.term = 0
        self.lease = LEASE
        self.n_vms = self.cfg.min_vms
        self.leaders = {}
        self.delegates = {}
        self._tasks = []

    def start_delegate(self, name, orders):
        """Start a delegate that calls the VMs by `orders`."""
        delegate = OrderDelegate(
            own_id=name,
            orders=orders,
            leader_id=lambda: self.leader_id,
            current_term=lambda: self.term,
            send=lambda to, msg: self.send(name, to, msg),
            clock=self.clock,
            cfg=self.cfg,
        )
        for leader in self.leaders:
            delegate.note_version(leader, takes_delegates=True)
        self.delegates[name] = delegate
        return delegate

    def start_leader(self, name, own, *, fence, n_delegates=None):
        """Start the delegation of a new leader, which all delegates know."""
        leader = DelegatedOrders(
            own_id=name,
            own=own,
            fence=fence,
            lease_remaining=lambda: self.lease,
            n_delegates=lambda: (
                len(self.delegates) if n_delegates is None else n_delegates
            ),
            n_vms=lambda: self.n_vms,
            send=lambda to, msg: self.send(name, to, msg),
            clock=self.clock,
            events=NullSink(),
            metrics=METRICS,
            cfg=self.cfg,
        )
        self.leaders[name] = leader
        for delegate in self.delegates.values():
            delegate.note_version(name, takes_delegates=True)
        self.leader_id = name
        self.term = fence
        leader.begin()
        return leader

    def run_delegates(self):
        """Have each delegate that is not frozen renew its lease regularly."""
        for name in self.delegates:
            self._tasks.append(asyncio.create_task(self._renew_forever(name)))

    async def _renew_forever(self, name):
        while True:
            if name not in self.frozen:
                self.delegates[name].renew()
            await asyncio.sleep(self.cfg.renew_interval.total_seconds())

    async def join(self):
        """Have each delegate renew its lease once, and wait until that is answered."""
        for delegate in self.delegates.values():
            delegate.renew()
        await asyncio.sleep(4 * LINK_S)

    def close(self):
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        for process in (*self.leaders.values(), *self.delegates.values()):
            process.close()

    def receive(self, sender, receiver, msg):
        """Handle a message that a process reads."""
        self._receive(msg, sender, receiver)

    @singledispatchmethod
    def _receive(self, msg, sender, receiver):
        raise TypeError(f"{msg!r} is not expected")

    @_receive.register
    def _(self, msg: DelegateLeaseRequest, sender, receiver):
        if receiver in self.leaders:
            self.leaders[receiver].receive_request(sender, msg)

    @_receive.register
    def _(self, msg: DelegateLease, sender, receiver):
        self.delegates[receiver].receive_lease(sender, msg)

    @_receive.register
    def _(self, msg: DelegateLeaseRecall, sender, receiver):
        self.delegates[receiver].receive_recall(sender, msg)

    @_receive.register
    def _(self, msg: DelegateLeaseReturn, sender, receiver):
        if receiver in self.leaders:
            self.leaders[receiver].receive_return(sender, msg)

    @_receive.register
    def _(self, msg: OrderBatch, sender, receiver):
        self.delegates[receiver].receive_orders(sender, msg)

    @_receive.register
    def _(self, msg: OrderReplies, sender, receiver):
        if receiver in self.leaders:
            self.leaders[receiver].receive_replies(sender, msg)
