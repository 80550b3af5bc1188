"""The leader's work with one life of a VM: its lease, its ends, its orders."""

import asyncio
from collections import deque
from collections.abc import Awaitable
from datetime import timedelta
from typing import Protocol

import msgspec

from ..clock import Clock
from ..jobs import ActiveRun, EndKind, JobsState, RunEnd, TaskKey, VmRecord
from ..workers import (
    HealthSettings,
    LeaseSettings,
    ProgressSettings,
    RunProgress,
    VmHealth,
    VmLease,
)
from ._ports import HoldReport, ListedRun, StartOutcome, StartResult, VmOrders
from .exceptions import OrderLostError, OrderNotSentError, VmReplacedError

__all__ = ["AgentSettings", "Leading", "VmAgent"]


class AgentSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How the leader works with VMs.

    Attributes
    ----------
    wait : timedelta
        How long a VM may hold back its answer to a look while no run ends (platform
        contract: at most 2 s).
    retry_delay, max_retry_delay : timedelta
        Wait after a call without an answer; doubles up to the longest.
    gone_after : timedelta
        A VM without contact for this long is forgotten.
    """

    wait: timedelta = timedelta(milliseconds=1000)
    retry_delay: timedelta = timedelta(milliseconds=100)
    max_retry_delay: timedelta = timedelta(milliseconds=400)
    gone_after: timedelta = timedelta(seconds=20)


class Leading(Protocol):
    """What an agent asks of the leader that it works for."""

    def is_leading(self) -> bool:
        """Return whether no other leader can exist."""

    async def record_ends(
        self, vm: VmRecord, ends: tuple[RunEnd, ...], cursor: int
    ) -> None:
        """Have ends recorded; return once they are."""

    async def forget_vm(self, vm: VmRecord, reason: str) -> None:
        """Have a life dropped that is over."""

    def note_start(self, run: ActiveRun, vm: VmRecord, outcome: str) -> None:
        """Take note of the outcome of a start."""

    def note_restart(self, key: TaskKey, number: int, vm: VmRecord) -> None:
        """Take note that a run is stopped since it does not go forward."""

    def note_contact(self, agent: "VmAgent") -> None:
        """Take note that a VM was heard, with what it lists."""


class _Order(msgspec.Struct):
    """An order that is to be given."""

    key: TaskKey
    number: int
    is_stop: bool
    run: ActiveRun | None = None
    ticket: str = ""
    n_lost: int = 0


class VmAgent:
    """Keeps the lease of one life of a VM, and gives it orders one at a time.

    Parameters
    ----------
    vm : VmRecord
        The life.
    fence : int
        The leader's term.
    state : JobsState
        The replicated state.
    leading : Leading
        The leader.
    orders : VmOrders
        Calls to endpoints.
    clock : Clock
        The time.
    cfg, lease_cfg, health_cfg, progress_cfg
        The settings.

    Attributes
    ----------
    listed : dict
        The runs of the last look, by task and run number.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_fence",
        "_has_looked",
        "_is_silent",
        "_leading",
        "_orders",
        "_pending",
        "_progress",
        "_progress_cfg",
        "_queue",
        "_settled_at",
        "_state",
        "_stopped_at",
        "_tasks",
        "_wake",
        "full_until",
        "health",
        "lease",
        "listed",
        "vm",
    )

    def __init__(
        self,
        vm: VmRecord,
        *,
        fence: int,
        state: JobsState,
        leading: Leading,
        orders: VmOrders,
        clock: Clock,
        cfg: AgentSettings,
        lease_cfg: LeaseSettings,
        health_cfg: HealthSettings,
        progress_cfg: ProgressSettings,
    ) -> None:
        self.vm = vm
        self._fence = fence
        self._state = state
        self._leading = leading
        self._orders = orders
        self._clock = clock
        self._cfg = cfg
        self.lease = VmLease(lease_cfg, clock.monotonic())
        self.health = VmHealth(health_cfg)
        self._progress_cfg = progress_cfg
        self._stopped_at: dict[tuple[TaskKey, int], timedelta] = {}
        self._progress: dict[tuple[TaskKey, int], RunProgress] = {}
        self.full_until: timedelta | None = None
        self.listed: dict[tuple[TaskKey, int], ListedRun] = {}
        self._has_looked = False
        self._is_silent = False
        self._queue: deque[_Order] = deque()
        self._pending: dict[tuple[TaskKey, int], _Order] = {}
        self._settled_at: dict[tuple[TaskKey, int], timedelta] = {}
        self._wake = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    def begin(self) -> None:
        """Begin to look, and to give orders."""
        name = self.vm.vm_id
        self._tasks = [
            asyncio.create_task(self._look_forever(), name=f"look at {name}"),
            asyncio.create_task(self._order_forever(), name=f"orders to {name}"),
        ]

    def close(self) -> None:
        """Give no further orders."""
        for task in self._tasks:
            task.cancel()

    def is_ready(self, now: timedelta) -> bool:
        """Return whether new runs may be placed here."""
        if self.vm.is_draining or not self._has_looked:
            return False
        if self.full_until is not None and now < self.full_until:
            return False
        return self.lease.is_in_contact(now)

    def start(self, run: ActiveRun, ticket: str = "") -> None:
        """Have a run started."""
        order = _Order(run.key, run.number, is_stop=False, run=run, ticket=ticket)
        self._add(order)

    def stop(self, key: TaskKey, number: int) -> None:
        """Have a run stopped, before any start that waits."""
        pending = self._pending.get((key, number))
        if pending is None or not pending.is_stop:
            self._add(_Order(key, number, is_stop=True))

    def is_stopping(self, key: TaskKey, number: int) -> bool:
        """Return whether a run is to be stopped."""
        pending = self._pending.get((key, number))
        return pending is not None and pending.is_stop

    def _add(self, order: _Order) -> None:
        self._pending[(order.key, order.number)] = order
        if order.is_stop:
            self._queue.appendleft(order)
        else:
            self._queue.append(order)
        self._wake.set()

    async def _look_forever(self) -> None:
        delay = self._cfg.retry_delay
        while True:
            if not self._leading.is_leading():
                await asyncio.sleep(self._cfg.retry_delay.total_seconds())
                continue
            try:
                await self._look()
                delay = self._cfg.retry_delay
            except VmReplacedError as exc:
                await self._leading.forget_vm(self.vm, str(exc))
                return
            except (OrderNotSentError, OrderLostError):
                await self._note_silence()
                await asyncio.sleep(delay.total_seconds())
                delay = min(2 * delay, self._cfg.max_retry_delay)

    async def _look(self) -> None:
        """Renew the lease and take in what the VM lists."""
        sent_at = self._clock.monotonic()
        until_ms = self._lease_end(sent_at) if self.lease.has_clock else None
        is_calm = self._has_looked and not self._is_silent
        wait = self._cfg.wait if is_calm else timedelta(0)
        report = await self._orders.hold(
            self.vm,
            fence=self._fence,
            cursor=self._cursor(),
            until_ms=until_ms,
            wait_ms=wait // timedelta(milliseconds=1),
        )
        if report.born_ms and report.born_ms != self.vm.born_ms:
            raise VmReplacedError(f"life {report.born_ms} answers")
        now = self._clock.monotonic()
        self.lease.note_clock(report.clock_ms, now)
        self.lease.note_contact(now)
        self._is_silent = False
        await self._record_ends(report)
        self.listed = {(run.key, run.number): run for run in report.runs}
        self._reconcile(sent_at)
        self._watch_progress(now)
        if until_ms is not None:
            self._has_looked = True
        self._leading.note_contact(self)

    def _lease_end(self, now: timedelta) -> int:
        """Return until when runs may go on, longer only while the VM answers."""
        return self.lease.repeat(now) if self._is_silent else self.lease.extend(now)

    def _cursor(self) -> int:
        vm = self._state.vms.get(self.vm.vm_id)
        if vm is None or vm.born_ms != self.vm.born_ms:
            return 0
        return vm.end_cursor

    async def _record_ends(self, report: HoldReport) -> None:
        cursor = self._cursor()
        new = [end for end in report.ends if end.cursor > cursor]
        if not new:
            return
        ends = tuple(
            RunEnd(end.key, end.number, end.kind, end.checkpoint) for end in new
        )
        last = max(end.cursor for end in new)
        await self._leading.record_ends(self.vm, ends, last)

    def _reconcile(self, sent_at: timedelta) -> None:
        """Compare what the VM lists with what it should run."""
        active = {
            (run.key, run.number): run
            for run in self._state.runs_of(self.vm.vm_id, self.vm.born_ms)
        }
        for name in self.listed:
            is_stopped = self.is_stopping(*name) or name in self._stopped_at
            if name not in active and not is_stopped:
                self.stop(*name)
        for name, run in active.items():
            if name in self.listed:
                self._settled_at.setdefault(name, sent_at)
            elif name not in self._pending:
                self._check_missing(name, run, sent_at)
        for name in self._settled_at.keys() - active.keys():
            del self._settled_at[name]

    def _watch_progress(self, now: timedelta) -> None:
        """Stop runs that hang or crawl, so that they begin anew elsewhere."""
        for known in (self._progress, self._stopped_at):
            for name in known.keys() - self.listed.keys():
                del known[name]
        for name, listed in self.listed.items():
            progress = self._progress.get(name)
            if progress is None:
                self._progress[name] = RunProgress(now, listed.percent)
                continue
            progress.note(now, listed.percent)
            is_stopped = self.is_stopping(*name) or name in self._stopped_at
            if not is_stopped and self._should_restart(name, progress, now):
                self._leading.note_restart(name[0], name[1], self.vm)
                self.health.avoid(now)
                self.stop(*name)

    def _should_restart(
        self, name: tuple[TaskKey, int], progress: RunProgress, now: timedelta
    ) -> bool:
        cfg = self._progress_cfg
        key, number = name
        if self._state.task(key) is None:
            return False
        step = self._state.step(key)
        if step.is_gang or number > cfg.max_runs:
            return False
        if progress.is_hanging(now, cfg):
            return True
        if step.is_long_running or step.data_rack or step.is_rack_bound:
            return False
        estimate = timedelta(milliseconds=step.estimate_ms)
        return progress.is_slow(now, estimate, cfg)

    def _check_missing(
        self, name: tuple[TaskKey, int], run: ActiveRun, sent_at: timedelta
    ) -> None:
        """Deal with a run that should be there and isn't."""
        settled_at = self._settled_at.get(name)
        if settled_at is None:
            # An earlier leader decided on it; its order may never have been sent.
            self.start(run)
        elif settled_at < sent_at:
            self._close_run(name, EndKind.LOST)

    def _close_run(self, name: tuple[TaskKey, int], kind: EndKind) -> None:
        end = RunEnd(name[0], name[1], kind)
        self._spawn(self._leading.record_ends(self.vm, (end,), 0))

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    async def _note_silence(self) -> None:
        """Give the runs up once they have surely lapsed, and later the VM."""
        self._is_silent = True
        now = self._clock.monotonic()
        if not self.lease.has_lapsed(now):
            return
        runs = self._state.runs_of(self.vm.vm_id, self.vm.born_ms)
        if runs:
            ends = tuple(RunEnd(run.key, run.number, EndKind.LOST) for run in runs)
            await self._leading.record_ends(self.vm, ends, 0)
        if now - self.lease.contact_at > self._cfg.gone_after:
            await self._leading.forget_vm(self.vm, "silent for long")

    async def _order_forever(self) -> None:
        while True:
            while not self._queue or not self.lease.has_clock:
                self._wake.clear()
                if self._queue:
                    await asyncio.sleep(self._cfg.retry_delay.total_seconds())
                else:
                    await self._wake.wait()
            order = self._queue.popleft()
            if self._pending.get((order.key, order.number)) is order:
                await self._give(order)

    async def _give(self, order: _Order) -> None:
        name = (order.key, order.number)
        if not self._leading.is_leading():
            await asyncio.sleep(self._cfg.retry_delay.total_seconds())
            self._queue.appendleft(order)
            return
        if not order.is_stop and not self._is_wanted(order):
            self._pending.pop(name, None)
            return
        try:
            if order.is_stop:
                await self._give_stop(order)
            else:
                await self._give_start(order)
        except VmReplacedError as exc:
            await self._leading.forget_vm(self.vm, str(exc))
        except OrderNotSentError:
            await self._retry(order)
        except OrderLostError:
            order.n_lost += 1
            await self._retry(order)

    def _is_wanted(self, order: _Order) -> bool:
        """Return whether a start still has its run."""
        runs = self._state.runs.get(self.vm.vm_id, {})
        return (order.key, order.number) in runs

    async def _retry(self, order: _Order) -> None:
        await asyncio.sleep(self._cfg.retry_delay.total_seconds())
        if self._pending.get((order.key, order.number)) is order:
            if order.is_stop:
                self._queue.appendleft(order)
            else:
                self._queue.append(order)

    async def _give_stop(self, order: _Order) -> None:
        name = (order.key, order.number)
        await self._orders.stop(self.vm, order.key, order.number, fence=self._fence)
        now = self._clock.monotonic()
        self.lease.note_contact(now)
        if self._pending.get(name) is order:
            del self._pending[name]
        # From here on the run can't begin; a look that does not list it proves its end.
        self._settled_at[name] = now
        self._stopped_at[name] = now

    async def _give_start(self, order: _Order) -> None:
        job = self._state.jobs.get(order.key.job_id)
        if job is None:
            return
        until_ms = self._lease_end(self._clock.monotonic())
        outcome = await self._orders.start(
            self.vm,
            order.run,
            payload=job.spec.payload,
            ticket=order.ticket,
            fence=self._fence,
            until_ms=until_ms,
        )
        now = self._clock.monotonic()
        self.lease.note_contact(now)
        if outcome.clock_ms is not None:
            self.lease.note_clock(outcome.clock_ms, now)
        self._leading.note_start(order.run, self.vm, outcome.result.value)
        name = (order.key, order.number)
        if self._pending.get(name) is order:
            del self._pending[name]
            self._settle_start(order, outcome, now)

    def _settle_start(
        self, order: _Order, outcome: StartOutcome, now: timedelta
    ) -> None:
        name = (order.key, order.number)
        if outcome.result in (StartResult.ACCEPTED, StartResult.OLD):
            self._settled_at[name] = now
        elif outcome.result is StartResult.LATE:
            self._add(order)
        elif outcome.result is not StartResult.SUPERSEDED:
            if outcome.result is StartResult.NO_ROOM:
                self.full_until = now + self._cfg.max_retry_delay
            elif outcome.result is not StartResult.NO_TICKET:
                self.health.avoid(now)
            if order.n_lost:
                # An earlier copy of the order may still be on its way.
                self.stop(*name)
            else:
                self._close_run(name, EndKind.REJECTED)
