"""Orders, and refuses, the jobs of pools that can't finish all of them in time."""

from collections import defaultdict
from collections.abc import Mapping
from datetime import timedelta

from ..observe import EventName
from ..placement import (
    AdmissionSettings,
    JobOrder,
    LargeJobBudget,
    PoolOutlook,
    order_jobs,
)
from ..workers import RunTimeModel
from ._job_index import JobIndex, PoolBacklog
from ._job_works import JobWorks, PoolWork
from ._machines import MachineRegistry
from ._moves import MoveManager
from ._pool_capacity import FleetCapacity
from ._refusals import JobGate
from ._term import Term

__all__ = ["AdmissionControl"]

# Contention that returns within this time is logged as one.
CONTENTION_GAP = timedelta(seconds=1)
# Decisions take at most this share of the leader's time.
MAX_SHARE = 0.05
# Time between two log entries on decisions that fail.
FAILURE_REPORT_INTERVAL = timedelta(seconds=10)


class AdmissionControl:
    """Decides which jobs go first in a pool that can't finish all of them in time.

    All of its state follows from the jobs and VMs that the leader knows.

    Parameters
    ----------
    term : Term
        The term of this leader.
    machines : MachineRegistry
        Registry of the machines and their agents.
    moves : MoveManager
        Moves of machines that are in progress.
    job_index : JobIndex
        Index of the waiting tasks, which gets the order.
    backlog : mapping of str to PoolBacklog
        Tasks that found no VM in the last round, by pool. A pool without any runs all
        that it has, so that the order of its jobs doesn't matter.
    run_times : RunTimeModel
        Learned run times.
    cfg : AdmissionSettings
        The settings.

    Attributes
    ----------
    gate : JobGate or None
        Decides on the admission of jobs; None if all are accepted.
    """

    __slots__ = (
        "_backlog",
        "_budgets",
        "_cfg",
        "_contended_until",
        "_failure_reported_at",
        "_job_index",
        "_machines",
        "_moves",
        "_next_at",
        "_orders",
        "_term",
        "_works",
        "gate",
    )

    def __init__(
        self,
        *,
        term: Term,
        machines: MachineRegistry,
        moves: MoveManager,
        job_index: JobIndex,
        backlog: Mapping[str, PoolBacklog],
        run_times: RunTimeModel,
        cfg: AdmissionSettings,
    ) -> None:
        self._term = term
        self._machines = machines
        self._moves = moves
        self._job_index = job_index
        self._backlog = backlog
        self._cfg = cfg
        self._works = JobWorks(
            state=term.state, job_index=job_index, run_times=run_times, cfg=cfg
        )
        self.gate: JobGate | None = None
        if cfg.refuse:
            self.gate = JobGate(
                term=term,
                machines=machines,
                job_index=job_index,
                backlog=backlog,
                works=self._works,
                cfg=cfg,
            )
        self._budgets: dict[str, LargeJobBudget] = defaultdict(
            lambda: LargeJobBudget(cfg.large_share)
        )
        self._orders: dict[str, JobOrder] = {}
        self._next_at: timedelta | None = None
        # By pool with contention, the monotonic time until which it lasts at least.
        self._contended_until: dict[str, timedelta] = {}
        self._failure_reported_at: timedelta | None = None

    def update(self) -> None:
        """Decide on the order of the waiting jobs, if the last decision is old enough.

        After an error, the jobs go by their due times.
        """
        now = self._term.clock.monotonic()
        if self._next_at is not None and now < self._next_at:
            return
        try:
            self._decide(now)
        except Exception as exc:
            self._job_index.turns, self._job_index.new_turns = {}, {}
            if self.gate is not None:
                self.gate.update({})
            self._report_failure(now, exc)
        duration = self._term.clock.monotonic() - now
        self._next_at = now + max(self._cfg.interval, duration / MAX_SHARE)

    def _report_failure(self, now: timedelta, exc: Exception) -> None:
        reported_at = self._failure_reported_at
        if reported_at is None or now - reported_at >= FAILURE_REPORT_INTERVAL:
            self._failure_reported_at = now
            detail = f"the decision on the order of jobs failed: {exc!r}"
            self._term.emit(EventName.WARNING, detail=detail)

    def _decide(self, now: timedelta) -> None:
        self._works.refresh()
        # A new leader doesn't know its capacity before its VMs have answered.
        if not self._moves.has_surveyed(now):
            return
        capacity = FleetCapacity(
            state=self._term.state,
            machines=self._machines,
            moves=self._moves,
            now=now,
            cfg=self._cfg,
        )
        pools = self._works.by_pool(
            self._term.now_ms(), capacity.vms_of, self._machines.speed
        )
        turns: dict[str, int] = {}
        new_turns: dict[tuple[str, str], int] = {}
        outlooks: dict[str, PoolOutlook] = {}
        for name, pool in pools.items():
            is_short = name in self._backlog and self._backlog[name].cpu > 0
            order = None
            if self._cfg.order and is_short and pool.jobs:
                order = self._order_pool(name, pool, capacity)
            if self._cfg.order and is_short:
                # Without a turn, they would go first while their band is still that
                # of the jobs in time.
                last = max(order.turns.values(), default=0) if order else 0
                over = order.over if order else ()
                turns.update(pool.late_turns(last + 1, over))
            has_outlook = not self._cfg.order
            if order is not None:
                # Jobs that arrive may be the first that can't be in time.
                has_outlook = order.n_deferred > 0 or self._cfg.protect
            if self.gate is not None and is_short and has_outlook:
                outlooks[name] = self._outlook(name, pool, order, capacity)
            if order is None:
                self._orders.pop(name, None)
                continue
            turns.update(order.turns)
            new_turns.update(
                {(name, who): turn for who, turn in order.new_turns.items()}
            )
            self._orders[name] = order
        self._job_index.turns, self._job_index.new_turns = turns, new_turns
        if self.gate is not None:
            self.gate.update(outlooks)
        self._note_contention(now, pools)

    def _order_pool(
        self,
        name: str,
        pool: PoolWork,
        capacity: FleetCapacity,
    ) -> JobOrder:
        plan = capacity.plan(
            name,
            busy=pool.busy,
            memory_per_core=pool.memory_per_core,
            n_short=len(self._contended_until.keys() | {name}),
            share=self._cfg.planned_share,
        )
        customers = self._term.state.plan.customers
        budget = self._budgets[name]
        if name in self._contended_until:
            budget.update(pool.jobs, plan, self._term.now_ms())
        return order_jobs(
            pool.jobs,
            now_ms=self._term.now_ms(),
            capacity=plan,
            held=pool.held,
            weights={c.name: c.weight for c in customers},
            limits=self._limits(),
            protected=budget.protected,
        )

    def _outlook(
        self, name: str, pool: PoolWork, order: JobOrder | None, capacity: FleetCapacity
    ) -> PoolOutlook:
        plan = capacity.plan(
            name,
            busy=pool.busy,
            memory_per_core=pool.memory_per_core,
            n_short=len(self._contended_until.keys() | {name}),
        )
        return PoolOutlook(
            pool.jobs,
            order,
            now_ms=self._term.now_ms(),
            capacity=plan,
            limits=self._limits(),
            large_share=self._cfg.large_share,
            price=self.gate.price(name, plan.cores) if self.gate else None,
        )

    def _limits(self) -> dict[str, float]:
        """Return the cores that customers with a limit may use."""
        customers = self._term.state.plan.customers
        return {c.name: c.limit.cpu / 1000 for c in customers if c.limit.cpu}

    def _note_contention(self, now: timedelta, pools: dict[str, PoolWork]) -> None:
        """Log the beginning and the end of the contention for each pool."""
        for name in self._orders.keys() - pools.keys():
            del self._orders[name]
        for name, order in self._orders.items():
            self._term.metrics.set_deferred_jobs(order.n_deferred, pool=name)
            if not order.n_deferred:
                continue
            if name not in self._contended_until:
                jobs = pools[name].jobs
                detail = (
                    f"{name}: {order.n_deferred} of {len(jobs)} jobs are deferred; "
                    f"over their share: {', '.join(sorted(order.over)) or 'none'}"
                )
                self._term.emit(EventName.CONTENTION_BEGUN, detail=detail)
            self._contended_until[name] = now + CONTENTION_GAP
        for name, until in tuple(self._contended_until.items()):
            if now >= until:
                del self._contended_until[name]
                self._budgets.pop(name, None)
                self._term.metrics.set_deferred_jobs(0, pool=name)
                self._term.emit(EventName.CONTENTION_ENDED, detail=name)
