"""The leader's work with one life of a VM: its lease, its ends and its lists."""

import asyncio
from datetime import timedelta
from typing import Protocol

from ..jobs import ActiveRun, EndKind, RunEnd, TaskKey, VmRecord
from ..observe import EventName
from ..workers import RunProgress, VmHealth, VmLease
from ._agent_settings import VmPolicy
from ._order_sender import OrderSender, RunId
from ._ports import HoldReport, ListedRun, VmOrders
from ._supervise import run_forever
from ._term import Term
from .exceptions import OrderNotSentError, OrderOutcomeUnknownError, VmReplacedError

__all__ = ["AgentListener", "VmAgent"]


class AgentListener(Protocol):
    """What an agent tells others."""

    def note_restart(self, key: TaskKey, vm_id: str) -> None:
        """Take note that a task should go on elsewhere."""

    def note_contact(self) -> None:
        """Take note that a VM was heard."""


class VmAgent:
    """Keeps the lease of one life of a VM, and compares what it lists.

    Parameters
    ----------
    vm : VmRecord
        The life.
    term : Term
        The leadership.
    orders : VmOrders
        Calls to endpoints.
    listener : AgentListener
        Hears what others want to know.
    cfg : VmPolicy
        The settings.

    Attributes
    ----------
    listed_runs : dict
        The runs of the last look, by task and run number.
    """

    __slots__ = (
        "_cfg",
        "_has_polled",
        "_listener",
        "_orders",
        "_progress",
        "_sender",
        "_task",
        "_term",
        "health",
        "lease",
        "listed_runs",
        "vm",
    )

    def __init__(
        self,
        vm: VmRecord,
        *,
        term: Term,
        orders: VmOrders,
        listener: AgentListener,
        cfg: VmPolicy,
    ) -> None:
        self.vm = vm
        self._term = term
        self._orders = orders
        self._listener = listener
        self._cfg = cfg
        self.lease = VmLease(cfg.leases, term.clock.monotonic())
        self.health = VmHealth(cfg.health)
        self.listed_runs: dict[RunId, ListedRun] = {}
        self._progress: dict[RunId, RunProgress] = {}
        self._has_polled = False
        self._task: asyncio.Task | None = None
        self._sender = OrderSender(
            vm,
            lease=self.lease,
            health=self.health,
            term=term,
            orders=orders,
            cfg=cfg,
        )

    def begin(self) -> None:
        """Begin to look, and to give orders."""
        name = f"poll of {self.vm.vm_id}"
        work = run_forever(name, self._poll_forever, self._term.events)
        self._task = asyncio.create_task(work, name=name)
        self._sender.begin()

    def close(self) -> None:
        """Give no further orders."""
        self._sender.close()
        if self._task is not None:
            self._task.cancel()

    def is_ready(self, now: timedelta) -> bool:
        """Return whether new runs may be placed here."""
        if self.vm.is_draining or not self._has_polled:
            return False
        full_until = self._sender.full_until
        if full_until is not None and now < full_until:
            return False
        return self.lease.is_in_contact(now)

    def update(self, vm: VmRecord) -> None:
        """Take over what this life reports of itself now."""
        self.vm = vm
        self._sender.vm = vm

    def start(self, run: ActiveRun, ticket: str = "") -> None:
        """Have a run started."""
        self._sender.start(run, ticket)

    def stop(self, key: TaskKey, number: int) -> None:
        """Have a run stopped, before any start that waits."""
        self._sender.stop(key, number)

    def is_stopping(self, key: TaskKey, number: int) -> bool:
        """Return whether a run is to be stopped, or was told to stop."""
        return self._sender.is_stopping(key, number)

    async def _poll_forever(self) -> None:
        delay = self._cfg.agents.retry_delay
        while True:
            if not self._term.is_leading():
                await asyncio.sleep(self._cfg.agents.retry_delay.total_seconds())
                continue
            try:
                await self._poll()
                delay = self._cfg.agents.retry_delay
            except VmReplacedError as exc:
                await self._term.forget_vm(self.vm, str(exc))
                return
            except (OrderNotSentError, OrderOutcomeUnknownError):
                await self._handle_no_response()
                await asyncio.sleep(delay.total_seconds())
                delay = min(2 * delay, self._cfg.agents.max_retry_delay)

    async def _poll(self) -> None:
        """Renew the lease and take in what the VM lists."""
        sent_at = self._term.clock.monotonic()
        until_ms = self._sender.lease_end_ms(sent_at) if self.lease.has_clock else None
        has_contact = self._has_polled and not self._sender.is_unresponsive
        wait = self._cfg.agents.wait if has_contact else timedelta(0)
        report = await self._orders.hold(
            self.vm,
            fence=self._term.fence,
            cursor=self._cursor(),
            until_ms=until_ms,
            wait_ms=wait // timedelta(milliseconds=1),
        )
        if report.born_ms and report.born_ms != self.vm.born_ms:
            raise VmReplacedError(f"life {report.born_ms} answers")
        now = self._term.clock.monotonic()
        self.lease.note_clock(report.clock_ms, now)
        self.lease.note_contact(now)
        self._sender.is_unresponsive = False
        await self._record_ends(report)
        self.listed_runs = {(run.key, run.number): run for run in report.runs}
        self._reconcile(sent_at)
        self._stop_stalled_runs(now)
        if until_ms is not None:
            self._has_polled = True
        self._listener.note_contact()

    def _cursor(self) -> int:
        vm = self._term.state.vms.get(self.vm.vm_id)
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
        await self._term.record_ends(self.vm, ends, last)

    def _reconcile(self, sent_at: timedelta) -> None:
        """Compare what the VM lists with what it should run."""
        active = {
            (run.key, run.number): run
            for run in self._term.state.runs_of(self.vm.vm_id, self.vm.born_ms)
        }
        for run_id in self.listed_runs:
            if run_id not in active and not self.is_stopping(*run_id):
                self.stop(*run_id)
        for run_id, run in active.items():
            if run_id in self.listed_runs:
                self._sender.answered_at.setdefault(run_id, sent_at)
            elif not self._sender.is_pending(run_id):
                self._handle_missing_run(run_id, run, sent_at)
        for run_id in self._sender.answered_at.keys() - active.keys():
            del self._sender.answered_at[run_id]

    def _stop_stalled_runs(self, now: timedelta) -> None:
        """Stop runs that hang or crawl, so that they begin anew elsewhere."""
        for known in (self._progress, self._sender.stop_answered_at):
            for run_id in known.keys() - self.listed_runs.keys():
                del known[run_id]
        for run_id, listed in self.listed_runs.items():
            progress = self._progress.get(run_id)
            if progress is None:
                self._progress[run_id] = RunProgress(now, listed.percent)
                continue
            progress.note(now, listed.percent)
            if not self.is_stopping(*run_id) and self._should_restart(
                run_id, progress, now
            ):
                self._report_restart(run_id)
                self.health.avoid(now)
                self.stop(*run_id)

    def _report_restart(self, run_id: RunId) -> None:
        """Log, and tell, that a run is stopped since it does not go forward."""
        key, number = run_id
        self._term.emit(
            EventName.RUN_PREEMPTED,
            request_id=key.job_id,
            vm=self.vm.vm_id,
            detail=f"{key.label(number)} stands still",
        )
        self._listener.note_restart(key, self.vm.vm_id)

    def _should_restart(
        self, run_id: RunId, progress: RunProgress, now: timedelta
    ) -> bool:
        cfg = self._cfg.progress
        key, number = run_id
        if self._term.state.task(key) is None:
            return False
        step = self._term.state.step(key)
        if step.is_gang or number > cfg.max_runs:
            return False
        if progress.is_hanging(now, cfg):
            return True
        if step.is_long_running or step.data_rack or step.is_rack_bound:
            return False
        estimate = timedelta(milliseconds=step.estimate_ms)
        return progress.is_slow(now, estimate, cfg)

    def _handle_missing_run(
        self, run_id: RunId, run: ActiveRun, sent_at: timedelta
    ) -> None:
        """Deal with a run that should be there and isn't."""
        answered_at = self._sender.answered_at.get(run_id)
        if answered_at is None:
            # An earlier leader decided on it; its order may never have been sent.
            self.start(run)
        elif answered_at < sent_at:
            self._sender.record_end(run_id, EndKind.LOST)

    async def _handle_no_response(self) -> None:
        """Give the runs up once they have surely lapsed, and later the VM."""
        self._sender.is_unresponsive = True
        now = self._term.clock.monotonic()
        if not self.lease.has_lapsed(now):
            return
        runs = self._term.state.runs_of(self.vm.vm_id, self.vm.born_ms)
        if runs:
            ends = tuple(RunEnd(run.key, run.number, EndKind.LOST) for run in runs)
            await self._term.record_ends(self.vm, ends, 0)
        if now - self.lease.contact_at > self._cfg.agents.gone_after:
            await self._term.forget_vm(self.vm, "silent for long")
