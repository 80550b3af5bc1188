"""Simulates one pool's dispatcher on an arrival list.

There are no processes and no network: a permit starts its run without delay, and the
run takes the time that the arrival list gives.
"""

import heapq
from datetime import timedelta
from random import Random

from ..clock import ManualClock
from ..dispatch import Dispatcher, DispatchSettings, Granted, PolicyName, Refused
from ..fleet import (
    AssignDispatcher,
    FleetState,
    PoolSpec,
    PutResource,
    QueueSpec,
    RegisterEntry,
    TeamSpec,
    VmSpec,
)
from ..peers import (
    EndpointReport,
    PermitCancel,
    PermitDone,
    PermitRequest,
    RunningTask,
    RunResult,
)
from ._arrivals import Arrival
from ._measures import Measures, Window, nearness, percentile
from ._spec import ExperimentSpec

__all__ = ["POLICIES", "run_experiment"]

POOL = "pool"
SERVICE = "service"
SAMPLE_INTERVAL = timedelta(milliseconds=50)
REPORT_INTERVAL = timedelta(seconds=1)
WINDOW_LENGTH = timedelta(seconds=1)
MAX_RUN_TIME = timedelta(minutes=5)
LEASE_END = timedelta(days=365)

POLICIES = {
    "weighted fair": DispatchSettings(),
    "fair, no early refusal": DispatchSettings(early_refusal=False),
    "first come": DispatchSettings(policy=PolicyName.FIRST_COME, early_refusal=False),
    "fixed partition": DispatchSettings(
        policy=PolicyName.FIXED_PARTITION, early_refusal=False
    ),
}


class _Simulation:
    """A discrete-event simulation of one policy on one arrival list.

    Attributes
    ----------
    events : list of tuple
        Heap of the scheduled events: time, number and event.
    running : dict
        Arrivals whose runs are in progress, by VM and permit id.
    waiting : set of str
        Ids of the requests that wait for a permit.
    """

    def __init__(self, spec: ExperimentSpec, cfg: DispatchSettings) -> None:
        self.spec = spec
        self.clock = ManualClock()
        self.state = FleetState()
        self.index = 0
        self.events: list[tuple[timedelta, int, object]] = []
        self.n_events = 0
        self.arrivals: dict[str, Arrival] = {}
        self.running: dict[str, dict[str, Arrival]] = {}
        self.waiting: set[str] = set()
        self.slot_seconds = 0.0
        self.idle_seconds = 0.0
        self.n_timely = 0
        self.n_wasted = 0
        self.n_refused = 0
        self.waits: list[float] = []
        self.longest_batch_wait = timedelta(0)
        self.windows = [Window()]
        epoch = self._declare_resources()
        self.dispatcher = Dispatcher(
            pool=POOL, epoch=epoch, cfg=cfg, view=self.state.view, rng=Random(spec.seed)
        )
        self.dispatcher.set_lease_end(LEASE_END)

    def _declare_resources(self) -> int:
        """Declare the pool and its teams; return the dispatcher's epoch."""
        self._apply(PutResource(name=POOL, spec=PoolSpec()))
        for work in self.spec.work:
            queue = QueueSpec(pool=POOL, service=SERVICE, max_run=MAX_RUN_TIME)
            self._apply(PutResource(name=work.name, spec=queue))
        for customer in self.spec.customers:
            team = TeamSpec(share=customer.share, max_waiting=100_000)
            self._apply(PutResource(name=customer.name, spec=team))
        for number in range(self.spec.n_workers):
            vm = VmSpec(pool=POOL, data_centre="d", slots=self.spec.n_slots)
            self._apply(PutResource(name=f"vm{number}", spec=vm))
            self.running[f"vm{number}"] = {}
        self._apply(RegisterEntry(entry_id="entry", incarnation="1", address=""))
        self._apply(AssignDispatcher(pool=POOL, entry_id="entry", incarnation="1"))
        return self.index

    def _apply(self, command) -> None:
        """Apply a command to the fleet state, under the next log index."""
        self.index += 1
        self.state.apply(self.index, command)

    def _schedule(self, when: timedelta, event: object) -> None:
        """Add an event; events of the same time keep the order of their scheduling."""
        self.n_events += 1
        heapq.heappush(self.events, (when, self.n_events, event))

    def run(self, arrivals: list[Arrival]) -> None:
        """Run the simulation until the last deadline has passed."""
        for number in range(self.spec.n_workers):
            self._schedule(timedelta(0), f"vm{number}")
        self._schedule(timedelta(0), SAMPLE_INTERVAL)
        for arrival in arrivals:
            self._schedule(arrival.at, arrival)
        last = arrivals[-1].at + max(arrival.deadline for arrival in arrivals)
        while self.events and self.events[0][0] <= last:
            when, _, event = heapq.heappop(self.events)
            self.clock.advance(when - self.clock.monotonic())
            self._handle(event, when)
            self._handle_outputs(when)

    def _handle(self, event: object, now: timedelta) -> None:
        """Handle an event by its type; a string is the name of a VM that reports."""
        if isinstance(event, Arrival):
            self._request(event, now)
        elif isinstance(event, PermitDone):
            self._end_run(event, now)
        elif isinstance(event, PermitCancel):
            self._cancel(event, now)
        elif isinstance(event, str):
            self._report(event, now)
        else:
            self._tick_and_sample(now)

    def _request(self, arrival: Arrival, now: timedelta) -> None:
        """Request a permit for an arrival and schedule its cancellation."""
        request_id = str(arrival.number)
        self.arrivals[request_id] = arrival
        self.waiting.add(request_id)
        self._schedule(
            now + arrival.deadline, PermitCancel(request_id=request_id, pool=POOL)
        )
        self.dispatcher.request(
            PermitRequest(
                request_id=request_id,
                entry_id="entry",
                pool=POOL,
                queue=arrival.queue,
                service=SERVICE,
                team=arrival.team,
                urgent=arrival.urgent,
                deadline=arrival.deadline,
                max_run=MAX_RUN_TIME,
                expected_run=arrival.declared,
            ),
            now,
        )

    def _cancel(self, cancel: PermitCancel, now: timedelta) -> None:
        """Cancel a request that still waits at its deadline."""
        if cancel.request_id in self.waiting:
            self.waiting.discard(cancel.request_id)
            self.windows[-1].refused.add(self.arrivals[cancel.request_id].team)
            self.dispatcher.cancel(cancel, now)

    def _report(self, vm: str, now: timedelta) -> None:
        """Report a VM's endpoint to the dispatcher and schedule the next report."""
        running = tuple(
            RunningTask(permit_id, arrival.team)
            for permit_id, arrival in self.running[vm].items()
        )
        report = EndpointReport(
            endpoint_id=vm,
            incarnation="1",
            service=SERVICE,
            address="",
            vm=vm,
            slots=self.spec.n_slots,
            leaving=False,
            clock=now + REPORT_INTERVAL,
            fencing_token=self.state.view.fencing_token(vm),
            running=running,
        )
        self.dispatcher.report(report, now)
        self._schedule(now + REPORT_INTERVAL, vm)

    def _end_run(self, done: PermitDone, now: timedelta) -> None:
        """End a run, count its answer as timely or wasted and free its slot."""
        arrival = self.running[done.endpoint_id].pop(done.permit_id)
        if now <= arrival.at + arrival.deadline:
            self.n_timely += 1
        else:
            self.n_wasted += 1
        self.dispatcher.done(done, now)

    def _tick_and_sample(self, now: timedelta) -> None:
        """Tick the dispatcher; while requests arrive, sample the slots in use."""
        self.dispatcher.tick(now)
        self._schedule(now + SAMPLE_INTERVAL, SAMPLE_INTERVAL)
        if now.total_seconds() > self.spec.duration_s:
            return
        seconds = SAMPLE_INTERVAL.total_seconds()
        n_slots = self.spec.n_slots_total
        running = [a.team for tasks in self.running.values() for a in tasks.values()]
        self.slot_seconds += n_slots * seconds
        self.idle_seconds += (n_slots - len(running)) * seconds
        window = self.windows[-1]
        window.n_looks += 1
        window.n_not_full += len(running) < n_slots
        for team in running:
            window.got[team] = window.got.get(team, 0.0) + seconds
        waiting_teams = {self.arrivals[request_id].team for request_id in self.waiting}
        window.satisfied |= {c.name for c in self.spec.customers} - waiting_teams
        if window.n_looks * SAMPLE_INTERVAL >= WINDOW_LENGTH:
            self.windows.append(Window())

    def _handle_outputs(self, now: timedelta) -> None:
        for output in self.dispatcher.take_outputs():
            if isinstance(output, Granted):
                self._start_run(output, now)
            elif isinstance(output, Refused):
                self._record_refusal(output)

    def _start_run(self, output: Granted, now: timedelta) -> None:
        """Start the run of a granted permit and schedule its end."""
        permit = output.permit
        arrival = self.arrivals[permit.request_id]
        self.waiting.discard(permit.request_id)
        self.running[permit.endpoint_id][permit.permit_id] = arrival
        self.waits.append((now - arrival.at).total_seconds())
        if not arrival.urgent:
            self.longest_batch_wait = max(self.longest_batch_wait, now - arrival.at)
        done = PermitDone(
            permit_id=permit.permit_id,
            request_id=permit.request_id,
            pool=POOL,
            endpoint_id=permit.endpoint_id,
            result=RunResult.COMPLETED,
            run_time=arrival.run,
        )
        self._schedule(now + arrival.run, done)

    def _record_refusal(self, output: Refused) -> None:
        request_id = output.refusal.request_id
        if request_id in self.waiting:
            self.waiting.discard(request_id)
            self.n_refused += 1
            self.windows[-1].refused.add(self.arrivals[request_id].team)


def run_experiment(
    spec: ExperimentSpec,
    arrivals: list[Arrival],
    *,
    policy: str,
    n_bound: int,
    cfg: DispatchSettings | None = None,
) -> Measures:
    """Run one policy on an arrival list and return its measures.

    Parameters
    ----------
    spec : ExperimentSpec
        The pool, its teams and its kinds of work.
    arrivals : list of Arrival
        The arrival list.
    policy : str
        A name of `POLICIES`, or any name when `cfg` is given.
    n_bound : int
        Result of `max_timely_answers` for the list.
    cfg : DispatchSettings or None
        Settings of the dispatcher; None uses those of the policy.
    """
    simulation = _Simulation(spec, POLICIES[policy] if cfg is None else cfg)
    simulation.run(arrivals)
    full_windows = [w for w in simulation.windows if w.n_looks and not w.n_not_full]
    shares = {customer.name: customer.share for customer in spec.customers}
    return Measures(
        policy=policy,
        n_requests=len(arrivals),
        n_timely=simulation.n_timely,
        n_bound=n_bound,
        n_refused=simulation.n_refused,
        n_wasted=simulation.n_wasted,
        share_nearness=nearness(full_windows, shares),
        n_full_windows=len(full_windows),
        buffer_cost=simulation.idle_seconds / simulation.slot_seconds,
        wait_s={
            number: percentile(simulation.waits, number) for number in (50, 95, 99)
        },
        longest_batch_wait=simulation.longest_batch_wait,
    )
