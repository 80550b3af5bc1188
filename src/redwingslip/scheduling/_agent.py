"""The leader's agent for one incarnation of a VM: polls, lease and ends of runs."""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from typing import Protocol

from ..jobs import (
    PROBATION_MS,
    ActiveRun,
    EndKind,
    RecordEnds,
    RunEnd,
    RunRecord,
    TaskKey,
    VmRecord,
)
from ..observe import EventName
from ..placement import is_far
from ..workers import RunProgress, RunTimeModel, StepKey, VmHealth, VmLease
from ._agent_settings import VmPolicy
from ._order_sender import OrderSender, RunId
from ._ports import HoldReport, ListedRun, VmOrders
from ._silence import VmSilence
from ._speeds import VmSpeeds
from ._supervise import run_forever
from ._term import Term
from ._unconfirmed_vms import UnconfirmedVms
from .exceptions import OrderNotSentError, OrderOutcomeUnknownError, VmReplacedError

__all__ = ["AgentListener", "VmAgent", "probe_vm"]

MS = timedelta(milliseconds=1)
# A run that is listed at work this long after its start does not crash its VM. A poll
# may also be answered between the start of a run and the crash that it causes.
MIN_AT_WORK_TIME = timedelta(milliseconds=500)

# A VM that has never answered is polled less often only after this time.
MIN_SILENCE = timedelta(seconds=5)


class AgentListener(Protocol):
    """Receiver of what an agent finds out about its VM."""

    def note_restart(self, key: TaskKey, vm_id: str) -> None:
        """Handle the stop of a run whose task is to restart on another VM."""

    def n_restarts(self, key: TaskKey) -> int:
        """Return how often `note_restart` was called for a task."""

    def note_contact(self) -> None:
        """Handle an answer of the VM to a poll."""


class VmAgent:
    """Polls one incarnation of a VM, and reconciles its runs with the state.

    Each poll returns the VM's clock, its runs and their ends. Once the clock is known,
    each poll also sends the end of the VM's lease, which is measured on that clock.

    Parameters
    ----------
    vm : VmRecord
        The incarnation.
    term : Term
        The term of this leader.
    orders : VmOrders
        Client of the endpoints.
    listener : AgentListener
        Receives contacts and restarts.
    run_times : RunTimeModel
        Run times on all VMs, which the runs of this one are compared with.
    speeds : VmSpeeds or None
        Learned speeds of VMs; None if all count as equally fast.
    unconfirmed : UnconfirmedVms
        The VMs that have not answered this leader yet.
    cfg : VmPolicy
        The settings.

    Attributes
    ----------
    listed_runs : dict
        Runs in the answer to the last poll, by task and run number.
    """

    __slots__ = (
        "_cfg",
        "_has_renewed_lease",
        "_listener",
        "_orders",
        "_progress",
        "_run_times",
        "_sender",
        "_silence",
        "_speeds",
        "_task",
        "_term",
        "_unconfirmed",
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
        run_times: RunTimeModel,
        unconfirmed: UnconfirmedVms,
        cfg: VmPolicy,
        speeds: VmSpeeds | None = None,
    ) -> None:
        self.vm = vm
        self._term = term
        self._orders = orders
        self._listener = listener
        self._run_times = run_times
        self._unconfirmed = unconfirmed
        self._speeds = speeds
        self._cfg = cfg
        self.lease = VmLease(cfg.leases, term.clock.monotonic())
        self.health = VmHealth(cfg.health)
        self._silence = VmSilence(vm, lease=self.lease, term=term)
        self.listed_runs: dict[RunId, ListedRun] = {}
        self._progress: dict[RunId, RunProgress] = {}
        self._has_renewed_lease = False
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
        """Start polling and sending orders."""
        self._unconfirmed.add(self.vm)
        name = f"poll of {self.vm.vm_id}"
        work = run_forever(name, self._poll_forever, self._term.events)
        self._task = asyncio.create_task(work, name=name)
        self._sender.begin()

    def close(self) -> None:
        """Stop polling and sending orders."""
        self._unconfirmed.discard(self.vm)
        self._sender.close()
        if self._task is not None:
            self._task.cancel()

    def is_ready(self, now: timedelta) -> bool:
        """Return whether new runs may be placed on this VM."""
        return self.is_serving(now) and not self.is_evacuated

    @property
    def is_evacuated(self) -> bool:
        """Return whether the data centre of this VM is being evacuated."""
        return self._term.state.evacuations.includes(self.vm.data_centre)

    def is_serving(self, now: timedelta) -> bool:
        """Return whether this VM could take runs, evacuations left aside."""
        if self.vm.is_draining or not self._has_renewed_lease:
            return False
        full_until = self._sender.full_until
        if full_until is not None and now < full_until:
            return False
        return self.lease.is_in_contact(now)

    @property
    def is_awaited(self) -> bool:
        """Return whether the VM has yet to answer its first poll."""
        return not self._has_renewed_lease and self.is_responsive

    @property
    def is_responsive(self) -> bool:
        """Return whether the VM answered the last poll."""
        return not self._sender.is_unresponsive

    def update(self, vm: VmRecord) -> None:
        """Replace the record of this incarnation by a newer one."""
        self.vm = vm
        if vm in self._unconfirmed:
            self._unconfirmed.add(vm)
        self._sender.vm = vm

    def start(self, run: ActiveRun, ticket: str = "") -> None:
        """Queue the order to start a run."""
        self._sender.start(run, ticket)

    def stop(self, key: TaskKey, number: int) -> None:
        """Queue the order to stop a run, ahead of queued starts."""
        self._sender.stop(key, number)

    def give_up(self, key: TaskKey, number: int) -> None:
        """Withdraw the order to start a run if it was not sent, else stop the run."""
        self._sender.give_up(key, number)

    def withdraw_starts(self) -> None:
        """Withdraw the queued orders to start runs."""
        self._sender.withdraw_starts()

    @property
    def n_unsettled_starts(self) -> int:
        """Return the number of start orders that the VM may still carry out."""
        return self._sender.n_unsettled_starts

    def started_at(self, key: TaskKey, number: int) -> timedelta | None:
        """Return when this leader saw a run start from the beginning, or None."""
        return self._sender.started_at.get((key, number))

    def is_stopping(self, key: TaskKey, number: int) -> bool:
        """Return whether a stop order for a run is queued, in flight or answered."""
        return self._sender.is_stopping(key, number)

    async def probe(self, vm: VmRecord, patience: timedelta) -> bool | None:
        """Return whether an incarnation answers at its address; None if unknown.

        The poll neither renews a lease nor acknowledges ends.

        Parameters
        ----------
        vm : VmRecord
            The incarnation to call, which need not be the one of this agent.
        patience : timedelta
            Longest wait for the answer.
        """
        return await probe_vm(
            vm, orders=self._orders, fence=self._term.fence, patience=patience
        )

    async def look(self) -> tuple[ListedRun, ...] | None:
        """Return the runs that the VM lists at present; None if it does not answer.

        The call neither renews a lease nor acknowledges ends.
        """
        try:
            report = await self._orders.hold(
                self.vm, fence=self._term.fence, cursor=0, until_ms=None, wait_ms=0
            )
        except (VmReplacedError, OrderNotSentError, OrderOutcomeUnknownError):
            return None
        is_other = report.born_ms and report.born_ms != self.vm.born_ms
        return None if is_other else report.runs

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
                await self._term.forget_vm(self.vm, str(exc), has_crashed=True)
                if not self._is_known():
                    return
                # The removal was not confirmed; the leader may have lost its lease.
                await asyncio.sleep(self._cfg.agents.retry_delay.total_seconds())
            except (OrderNotSentError, OrderOutcomeUnknownError):
                await self._handle_no_response()
                await self._wait_for_retry(delay)
                delay = min(2 * delay, self._max_retry_delay())
            except Exception:
                # The polling is restarted; its VM must be given up if this goes on.
                await self._handle_no_response()
                raise

    def _max_retry_delay(self) -> timedelta:
        """Return the longest wait after a poll without an answer."""
        usual = self._cfg.agents.max_retry_delay
        if self.vm not in self._unconfirmed:
            return usual
        # After a change of leader, or in a fleet that starts, no VM has answered yet.
        waited = self._term.clock.monotonic() - self.lease.contact_at
        has_runs = self._term.state.runs_of(self.vm.vm_id, self.vm.born_ms)
        if has_runs or waited < MIN_SILENCE:
            return usual
        return self._unconfirmed.max_retry_delay(usual)

    async def _poll(self) -> None:
        """Renew the lease and process the runs and ends that the VM lists."""
        sent_at = self._term.clock.monotonic()
        was_recorded = self._silence.is_recorded()
        until_ms = self._sender.lease_end_ms(sent_at) if self.lease.has_clock else None
        has_contact = self._has_renewed_lease and not self._sender.is_unresponsive
        wait = self._cfg.agents.wait if has_contact else timedelta(0)
        hold = self._orders.hold(
            self.vm,
            fence=self._term.fence,
            cursor=self._cursor(),
            until_ms=until_ms,
            wait_ms=wait // MS,
        )
        if self._sender.is_unresponsive:
            report = await self._within_lease(hold, sent_at)
        else:
            report = await hold
        if report.born_ms and report.born_ms != self.vm.born_ms:
            raise VmReplacedError(f"incarnation {report.born_ms} answers")
        self._unconfirmed.discard(self.vm)
        now = self._term.clock.monotonic()
        # Withdrawn before the VM counts as in contact and gets new runs.
        await self._silence.note_answer(now, was_recorded=was_recorded)
        self.lease.note_clock(report.clock_ms, now)
        self.lease.note_contact(now)
        self._sender.is_unresponsive = False
        has_recorded = await self._record_ends(report, now)
        self.listed_runs = {(run.key, run.number): run for run in report.runs}
        if has_recorded:
            # A run whose end is not recorded would be taken for lost.
            self._reconcile(sent_at)
        self._stop_stalled_runs(now)
        if until_ms is not None:
            self._has_renewed_lease = True
        self._listener.note_contact()
        await self._note_sound_runs(now)

    async def _within_lease(
        self, hold: Awaitable[HoldReport], now: timedelta
    ) -> HoldReport:
        """Wait for the answer of an unresponsive VM until its lease expires.

        Once it has expired, there is no such bound.
        """
        remaining = self.lease.time_to_expiry(now)
        try:
            async with asyncio.timeout(remaining.total_seconds() or None):
                return await hold
        except TimeoutError as exc:
            raise OrderOutcomeUnknownError("the lease of the VM has expired") from exc

    async def _wait_for_retry(self, delay: timedelta) -> None:
        """Wait before the next poll, and give up the runs if the lease expires."""
        remaining = self.lease.time_to_expiry(self._term.clock.monotonic())
        if not timedelta(0) < remaining < delay:
            await asyncio.sleep(delay.total_seconds())
            return
        await asyncio.sleep(remaining.total_seconds())
        await self._handle_no_response()

    def _is_known(self) -> bool:
        """Return whether the state has this incarnation, or runs on it."""
        vm = self._term.state.vms.get(self.vm.vm_id)
        if vm is not None and vm.born_ms == self.vm.born_ms:
            return True
        return bool(self._term.state.runs_of(self.vm.vm_id, self.vm.born_ms))

    def _cursor(self) -> int:
        vm = self._term.state.vms.get(self.vm.vm_id)
        if vm is None or vm.born_ms != self.vm.born_ms:
            return 0
        return vm.end_cursor

    async def _record_ends(self, report: HoldReport, now: timedelta) -> bool:
        """Record the ends that a VM lists; return whether the state holds them all."""
        cursor = self._cursor()
        new_ends = [end for end in report.ends if end.cursor > cursor]
        if not new_ends:
            return not report.has_more_ends
        for end in new_ends:
            if end.kind is EndKind.DONE:
                self._learn_run_time((end.key, end.number), now)
        ends = tuple(
            RunEnd(end.key, end.number, end.kind, end.checkpoint) for end in new_ends
        )
        last_cursor = max(end.cursor for end in new_ends)
        await self._term.record_ends(self.vm, ends, last_cursor)
        return self._cursor() >= last_cursor and not report.has_more_ends

    async def _note_sound_runs(self, now: timedelta) -> None:
        """Record, once for each, the runs that do not crash their VM.

        These are long-running runs at work, and runs that have passed their probation.
        """
        at_work = tuple(
            run_id
            for run_id, listed in self.listed_runs.items()
            if listed.is_at_work and self._is_newly_at_work(run_id, now)
        )
        past_probation = tuple(
            run_id
            for run_id in self.listed_runs
            if self._has_newly_passed_probation(run_id, now)
        )
        if not at_work and not past_probation:
            return
        command = RecordEnds(
            vm_id=self.vm.vm_id,
            born_ms=self.vm.born_ms,
            ends=(),
            now_ms=self._term.now_ms(),
            at_work=at_work,
            past_probation=past_probation,
        )
        await self._term.propose_or_log(command)

    def _is_newly_at_work(self, run_id: RunId, now: timedelta) -> bool:
        run = self._run_listed_for(MIN_AT_WORK_TIME, run_id, now)
        if run is None or run.is_at_work:
            return False
        return self._term.state.step(run_id[0]).is_long_running

    def _has_newly_passed_probation(self, run_id: RunId, now: timedelta) -> bool:
        run = self._run_listed_for(PROBATION_MS * MS, run_id, now)
        return run is not None and not (run.is_at_work or run.has_passed_probation)

    def _run_listed_for(
        self, duration: timedelta, run_id: RunId, now: timedelta
    ) -> RunRecord | None:
        """Return a run of the VM if it began at least a duration ago, else None."""
        confirmed_at = self._sender.confirmed_at.get(run_id)
        if confirmed_at is None or now - confirmed_at < duration:
            return None
        run = self._term.state.run(*run_id)
        return run if run is not None and run.vm_id == self.vm.vm_id else None

    def _reconcile(self, sent_at: timedelta) -> None:
        """Compare the runs that the VM lists with the runs in the state.

        Unknown runs are stopped; missing ones are started or recorded as lost.
        """
        active = {
            (run.key, run.number): run
            for run in self._term.state.runs_of(self.vm.vm_id, self.vm.born_ms)
        }
        for run_id in self.listed_runs:
            if run_id not in active and not self.is_stopping(*run_id):
                self.stop(*run_id)
        for run_id, run in active.items():
            if run_id in self.listed_runs:
                self._sender.confirmed_at.setdefault(run_id, sent_at)
            elif not self._sender.is_pending(run_id):
                self._handle_missing_run(run_id, run, sent_at)
        for by_run in (self._sender.confirmed_at, self._sender.started_at):
            for run_id in by_run.keys() - active.keys():
                del by_run[run_id]
        # A poll that was sent before the answer to a stop proves no end.
        stops = self._sender.stop_answered_at
        for run_id in stops.keys() - active.keys() - self.listed_runs.keys():
            del stops[run_id]

    def _learn_run_time(self, run_id: RunId, now: timedelta) -> None:
        """Record how long a run took that this leader started from the beginning."""
        started_at = self._sender.started_at.pop(run_id, None)
        job = self._term.state.jobs.get(run_id[0].job_id)
        if started_at is None and self._speeds is not None:
            self._speeds.learn_inherited(run_id[0], self._term.state.run(*run_id), now)
        if started_at is None or job is None:
            return
        run_time, speed = now - started_at, 1.0
        if self._speeds is not None:
            speed = self._speeds.learn(
                run_id[0], vm_id=self.vm.vm_id, run_time=run_time, now=now
            )
        step = self._term.state.step(run_id[0])
        self._run_times.record(
            StepKey(*run_id[0][:3]),
            queue=job.spec.queue,
            vm_id=self.vm.vm_id,
            estimate=timedelta(milliseconds=step.estimate_ms),
            run_time=run_time,
            is_remote=is_far(step, self.vm.labels),
            speed=speed,
        )

    def _stop_stalled_runs(self, now: timedelta) -> None:
        """Stop runs that are stalled or slow, so that they restart on another VM."""
        for run_id in self._progress.keys() - self.listed_runs.keys():
            del self._progress[run_id]
        for run_id, listed in self.listed_runs.items():
            progress = self._progress.get(run_id)
            if progress is None:
                self._progress[run_id] = RunProgress(now, listed.percent)
                continue
            progress.update(now, listed.percent)
            if self.is_stopping(*run_id):
                continue
            reason = self._restart_reason(run_id, progress, now)
            if reason:
                self._report_restart(run_id, reason)
                self.health.avoid(now)
                self.stop(*run_id)

    def _report_restart(self, run_id: RunId, reason: str) -> None:
        """Log that a run is stopped for lack of progress, and notify the listener."""
        key, number = run_id
        percent = self.listed_runs[run_id].percent
        self._term.emit(
            EventName.RUN_PREEMPTED,
            request_id=key.job_id,
            vm=self.vm.vm_id,
            detail=f"{key.label(number)} stands still at {percent} %: {reason}",
        )
        self._listener.note_restart(key, self.vm.vm_id)

    def _restart_reason(
        self, run_id: RunId, progress: RunProgress, now: timedelta
    ) -> str:
        """Return why a run is to restart on another VM, empty if it is to go on."""
        cfg = self._cfg.progress
        key, _ = run_id
        job = self._term.state.jobs.get(key.job_id)
        if job is None or self._term.state.task(key) is None:
            return ""
        step = self._term.state.step(key)
        # Run numbers also rise by ends that say nothing about the progress of a run.
        if step.is_gang or self._listener.n_restarts(key) >= cfg.max_runs:
            return ""
        if progress.is_stalled(now, cfg):
            return f"no progress for {cfg.stall_time / MS:.0f} ms"
        if step.is_long_running or step.data_rack or step.is_rack_bound:
            return ""
        usual = self._run_times.longest_usual(
            StepKey(*key[:3]),
            queue=job.spec.queue,
            vm_id=self.vm.vm_id,
            estimate=timedelta(milliseconds=step.estimate_ms),
        )
        if usual is None:
            return ""
        # New runs avoid a VM with an outlier, also if that run itself is to go on. On a
        # VM that is known to be slow, runs take longer; placement reckons with that.
        speed = 1.0 if self._speeds is None else self._speeds.speed(self.vm.vm_id)
        if progress.is_outlier(now, usual / speed, cfg):
            self.health.avoid(now)
        if not progress.is_slow(now, usual, cfg):
            return ""
        return f"usually done after {usual / MS:.0f} ms"

    def _handle_missing_run(
        self, run_id: RunId, run: ActiveRun, sent_at: timedelta
    ) -> None:
        """Start a run that the VM does not list, or record it as lost.

        It is lost only if it was confirmed before this poll was sent.
        """
        confirmed_at = self._sender.confirmed_at.get(run_id)
        if confirmed_at is None:
            # An earlier leader placed the run, but may not have sent its start order.
            self._sender.resume_start(run)
        elif confirmed_at < sent_at:
            self._sender.record_end(run_id, EndKind.LOST)

    async def _handle_no_response(self) -> None:
        """Record the runs as lost once their lease has expired; later remove the VM."""
        self._sender.is_unresponsive = True
        now = self._term.clock.monotonic()
        if not self.lease.has_expired(now):
            return
        runs = self._term.state.runs_of(self.vm.vm_id, self.vm.born_ms)
        if runs:
            self._silence.report(now, n_runs=len(runs))
            ends = tuple(RunEnd(run.key, run.number, EndKind.LOST) for run in runs)
            await self._term.record_ends(self.vm, ends, 0, is_silent=True)
        if now - self.lease.contact_at > self._cfg.agents.gone_after:
            await self._term.forget_vm(
                self.vm, "unresponsive for too long", is_silent=True
            )


async def probe_vm(
    vm: VmRecord, *, orders: VmOrders, fence: int, patience: timedelta
) -> bool | None:
    """Return whether an incarnation answers at its address; None if unknown.

    Parameters
    ----------
    vm : VmRecord
        The incarnation to call.
    orders : VmOrders
        Client of the endpoints.
    fence : int
        Fencing token of the leader.
    patience : timedelta
        Longest wait for the answer.
    """
    try:
        async with asyncio.timeout(patience.total_seconds()):
            report = await orders.hold(
                vm, fence=fence, cursor=0, until_ms=None, wait_ms=0
            )
    except VmReplacedError:
        return False
    except (TimeoutError, OrderNotSentError, OrderOutcomeUnknownError):
        return None
    return report.born_ms == vm.born_ms if report.born_ms else None
