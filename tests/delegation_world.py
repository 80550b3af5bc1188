"""A world in which controllers that fail call VMs for the leader.

It extends the world of VMs that report and leave. Any controller may be the leader, and
a new leader begins only after the lease of the earlier one has ended.
"""

import asyncio

from redwingslip.delegation import DelegationSettings
from redwingslip.scheduling import AgentSettings, JobService
from tests.delegation_processes import ELECTION_S, RETRY_S, Process
from tests.scheduling_endpoints import CALL_TIMEOUT_S
from tests.scheduling_lifecycle import LeavingEndpoint, LifecycleWorld
from tests.support_delegation import Links

# Longest time without a poll of a VM that some process reaches.
MAX_UNPOLLED_S = 2.0
# After an outage of a VM, a call and the wait before the next one come first.
OUTAGE_S = CALL_TIMEOUT_S + AgentSettings().max_retry_delay.total_seconds()
WATCH_S = 0.05
# A leader that resigns is not elected again for this time.
RESIGNED_S = 0.5


class FencedEndpoint(LeavingEndpoint):
    """An endpoint that checks the order of the terms of its calls.

    Attributes
    ----------
    last_fence : int
        Highest term of a call that was not delivered late.
    polled_at : float
        When the last poll arrived or was answered.
    reached_at : float
        From when on its polls are checked, since it can be polled.
    """

    def __init__(self, world, vm_id, rate):
        super().__init__(world, vm_id, rate)
        self.last_fence = 0
        self.polled_at = world.now()
        self.reached_at = world.now()

    def start(self, run, fence, until_ms):
        """Handle the order to start a run."""
        self._check_fence(fence, "start")
        return super().start(run, fence, until_ms)

    def stop(self, key, number, fence):
        """Handle the order to stop a run."""
        self._check_fence(fence, "stop")
        super().stop(key, number, fence)

    def hold(self, fence, cursor, until_ms):
        """Handle a poll."""
        self._check_fence(fence, "poll")
        if not self.is_order_late:
            self.polled_at = self.world.now()
        super().hold(fence, cursor, until_ms)

    def _check_fence(self, fence, name):
        if self.is_order_late:
            return
        if fence < self.last_fence:
            self.world.report_problem(
                f"a {name} of term {fence} reaches {self.vm_id} after one of term"
                f" {self.last_fence}"
            )
        self.last_fence = max(self.last_fence, fence)


class ProcessLinks(Links):
    """The links between the processes of a world."""

    def __init__(self, world):
        super().__init__()
        self._world = world

    def receive(self, sender, receiver, msg):
        """Handle a message that a process reads."""
        self._world.processes[receiver].receive(sender, msg)


class DelegationWorld(LifecycleWorld):
    """A world whose controllers lead in turn, and call VMs for the leader.

    Attributes
    ----------
    processes : dict of str to Process
        The controllers.
    terms : dict of int to QuorumTerm
        All terms.
    disturbed_at : float
        When the last disturbance of the controllers began or ended.
    """

    def __init__(self, *args, n_processes, **options):
        super().__init__(*args, **options)
        self.delegation = DelegationSettings()
        self.links = ProcessLinks(self)
        self.terms = {}
        self.disturbed_at = 0.0
        self.processes = {}
        for number in range(n_processes):
            name = f"c{number}"
            self.processes[name] = Process(self, name)

    def begin(self):
        """Start the controllers and elect the first leader."""
        for process in self.processes.values():
            self.spawn(process.live())
        self._try_election()
        self.spawn(self._elect_forever())
        self.spawn(self._watch_polls())

    def make_endpoint(self, vm_id, rate):
        """Return a new incarnation of a VM."""
        return FencedEndpoint(self, vm_id, rate)

    def leader(self):
        """Return the process of the last term."""
        return self.term.process

    def is_serving(self):
        """Return whether there is a leader that takes calls."""
        return self.term.is_leading() and self.leader().is_awake()

    async def _elect_forever(self):
        while True:
            self._try_election()
            await asyncio.sleep(RETRY_S)

    def _try_election(self):
        """Elect a leader if a majority knows of none."""
        now = self.now()
        voters = [process for process in self.processes.values() if process.may_vote()]
        n_others = len(self.processes) // 2
        if len(voters) <= n_others:
            return
        candidates = [process for process in voters if process.is_candidate_from <= now]
        self.rng.shuffle(candidates)
        if self.term is not None and self.rng.random() < 0.5:
            candidates.sort(key=lambda process: process is not self.leader())
        for candidate in candidates:
            others = [
                p for p in voters if p is not candidate and self._linked(p, candidate)
            ]
            if len(others) >= n_others:
                for voter in self.rng.sample(others, n_others):
                    voter.see_term(self.fence + 1)
                self._elect(candidate)
                return

    def _linked(self, process, other):
        links = {(process.name, other.name), (other.name, process.name)}
        return not links & self.links.cut

    def _elect(self, process):
        """Start the next term; some of the commands in flight were committed."""
        if self.term is not None:
            commands = self.term.in_flight
            for command in commands[: self.rng.randint(0, len(commands))]:
                self.state.apply(command)
        self.fence += 1
        self.term = self.terms[self.fence] = process.lead(self.fence)
        self.scheduler = process.scheduler
        self.service = JobService(term=self.term, scheduler=self.scheduler)
        self.scheduler.begin()

    def stop_leader(self):
        """End the term."""
        self.leader().step_down()

    async def resign_leader(self):
        """Have the leader hand over; the others elect another one at once."""
        process, term = self.leader(), self.term
        if not self.is_serving():
            return
        await process.orders.withdraw()
        if process.leadership is not term or not process.is_awake():
            return
        term.resign()
        process.step_down()
        process.is_candidate_from = self.now() + RESIGNED_S
        for other in self.processes.values():
            if other.term <= self.fence and self._linked(process, other):
                other.heard_at = -ELECTION_S

    async def _watch_polls(self):
        """Check that a VM is polled if the leader or a delegate reaches it."""
        while True:
            await asyncio.sleep(WATCH_S)
            for endpoint in self.endpoints.values():
                if not self._can_be_polled(endpoint):
                    endpoint.reached_at = self.now() + OUTAGE_S
                    continue
                since = max(endpoint.polled_at, endpoint.reached_at, self.disturbed_at)
                if self.now() - since > MAX_UNPOLLED_S:
                    self.report_problem(f"{endpoint.vm_id} is not polled")
                    endpoint.reached_at = self.now()

    def _can_be_polled(self, endpoint):
        """Return whether a VM is to be polled within `MAX_UNPOLLED_S`.

        The network must not lose orders, and all processes but one must reach the VM.
        """
        known = self.term.state.vms.get(endpoint.vm_id)
        blocked = [
            p for p in self.processes.values() if endpoint.vm_id in p.unreachable
        ]
        return (
            self.is_serving()
            and endpoint.is_up
            and not endpoint.is_partitioned
            and known is not None
            and known.born_ms == endpoint.born_ms
            and known.address == endpoint.address
            and len(blocked) <= 1
            and not self.loss_rate
            and not self.slow_answer_rate
        )
