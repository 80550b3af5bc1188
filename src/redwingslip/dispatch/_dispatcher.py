"""The dispatcher of one pool, as a state machine without I/O."""

from collections.abc import Iterable
from datetime import timedelta
from random import Random

from ..fleet import Change, FleetView
from ..observe._events import EventName
from ..peers import (
    AllotmentRecall,
    EndpointReport,
    PermitCancel,
    PermitDone,
    PermitRequest,
    RefusalReason,
    RunResult,
)
from ._admission import Admission
from ._capacity import PoolCapacity
from ._ejection import Ejector
from ._endpoints import Endpoint
from ._failures import FailureTracker
from ._granter import Granter
from ._grants import with_start_window
from ._leader_reports import LeaderReporter
from ._limits import AllotmentManager
from ._outbox import Outbox
from ._outputs import Granted, Output, Proposed
from ._refusals import Refuser
from ._requests import CANCELLED_ATTEMPT, KnownRequest, RequestTable
from ._scheduler import Scheduler
from ._settings import DispatchSettings
from ._tasks import Task
from ._view_reader import ViewReader

__all__ = ["Dispatcher"]

ZERO = timedelta(0)


class Dispatcher:
    """Orders a pool's queues, assigns its slots and grants permits.

    Each input method takes the monotonic time of this process. The resulting outputs
    are collected, and the owner fetches them with `take_outputs`. No permit is granted
    before the owner has called `set_lease_end`.

    Parameters
    ----------
    pool : str
        Name of the pool.
    epoch : int
        The epoch of the pool's `DispatcherLease`.
    cfg : DispatchSettings
        Settings.
    view : FleetView
        The fleet's state, shared with the owner of this dispatcher. The owner calls
        `view_changed` after each change.
    rng : Random
        Adds jitter to the retry times that are sent to refused callers.
    """

    __slots__ = (
        "_admission",
        "_allotments",
        "_capacity",
        "_cfg",
        "_ejector",
        "_failures",
        "_granter",
        "_is_started",
        "_n_requests",
        "_now",
        "_outbox",
        "_reader",
        "_refuser",
        "_reporter",
        "_requests",
        "_scheduler",
        "_view",
        "epoch",
        "pool",
    )

    def __init__(
        self,
        *,
        pool: str,
        epoch: int,
        cfg: DispatchSettings,
        view: FleetView,
        rng: Random,
    ) -> None:
        self.pool = pool
        self.epoch = epoch
        self._cfg = cfg
        self._view = view
        self._now = ZERO
        self._is_started = False
        self._n_requests = 0
        self._outbox = Outbox(pool=pool, epoch=epoch)
        self._requests = RequestTable(retention=cfg.remember)
        self._scheduler = Scheduler(cfg)
        self._failures = FailureTracker(cfg)
        self._allotments = AllotmentManager(pool=pool, epoch=epoch, cfg=cfg, view=view)
        self._capacity = PoolCapacity(
            pool=pool, epoch=epoch, cfg=cfg, view=view, on_task=self._count_and_charge
        )
        self._reader = ViewReader(
            pool=pool,
            epoch=epoch,
            view=view,
            capacity=self._capacity,
            scheduler=self._scheduler,
            allotments=self._allotments,
        )
        self._reporter = LeaderReporter(
            pool=pool,
            epoch=epoch,
            cfg=cfg,
            capacity=self._capacity,
            outbox=self._outbox,
        )
        self._ejector = Ejector(
            pool=pool,
            cfg=cfg,
            view=view,
            capacity=self._capacity,
            failures=self._failures,
            outbox=self._outbox,
        )
        self._admission = Admission(
            cfg=cfg,
            view=view,
            capacity=self._capacity,
            scheduler=self._scheduler,
            failures=self._failures,
            rng=rng,
        )

        self._refuser = Refuser(
            pool=pool,
            admission=self._admission,
            scheduler=self._scheduler,
            requests=self._requests,
            outbox=self._outbox,
        )
        self._granter = Granter(
            pool=pool,
            epoch=epoch,
            cfg=cfg,
            view=view,
            capacity=self._capacity,
            scheduler=self._scheduler,
            requests=self._requests,
            reader=self._reader,
            refuser=self._refuser,
            outbox=self._outbox,
        )

    # Properties.

    @property
    def n_waiting(self) -> int:
        """Number of requests that wait for a permit."""
        return self._scheduler.n_waiting

    @property
    def n_running(self) -> int:
        """Number of open permits and of tasks that older epochs granted."""
        return len(self._capacity.tasks)

    @property
    def n_slots(self) -> int:
        """Number of slots of the endpoints that may take work."""
        return self._capacity.n_slots

    @property
    def n_idle(self) -> int:
        """Number of free slots of the endpoints that may take work."""
        return self._capacity.slots.n_free

    def may_hand_over(self, now: timedelta) -> bool:
        """Return whether the pool can be handed over to another dispatcher.

        It can once this dispatcher grants nothing more and the start windows of all its
        permits have expired.
        """
        if not self._granter.is_stopped and not self._reader.is_replaced:
            return False
        return all(task.latest_start_at <= now for task in self._capacity.tasks)

    def take_outputs(self) -> list[Output]:
        """Return and clear the outputs since the last call, in order."""
        return self._outbox.take()

    # Inputs.

    def request(self, msg: PermitRequest, now: timedelta) -> None:
        """Handle a request for a permit, or its resend.

        The request is refused immediately or waits. A resend of the current attempt
        gets the same answer again, a newer attempt replaces the older one.
        """
        self._begin(now)
        known = self._requests.get(msg.request_id)
        if known is not None and msg.n_attempts <= known.n_attempts:
            self._answer_resend(msg, known)
            return
        if known is not None:
            self._drop_older_attempt(msg, known, now)
        if self._reader.is_replaced or msg.pool != self.pool:
            self._refuser.refuse(msg, RefusalReason.NOT_DISPATCHER, ZERO)
            return
        self._n_requests += 1
        self._reader.ensure_team(msg.team)
        self._capacity.raise_longest_run(self._granter.task_lease(msg))
        waiting = self._scheduler.make_waiting(msg, number=self._n_requests, now=now)
        reason = self._admission.refusal(waiting)
        if reason is not None:
            retry_after = self._admission.retry_after(waiting, reason)
            self._refuser.refuse(msg, reason, retry_after)
            return
        known = self._requests.add(msg.request_id, msg.n_attempts, now, msg.deadline)
        known.waiting = waiting
        self._scheduler.add(waiting)
        self._finish(now)

    def cancel(self, msg: PermitCancel, now: timedelta) -> None:
        """Drop a request whose caller no longer waits for it."""
        self._begin(now)
        known = self._requests.get(msg.request_id)
        if known is None:
            # The request itself may still be in flight. The attempt number makes it
            # count as out of date when it arrives.
            self._requests.add(msg.request_id, CANCELLED_ATTEMPT, now, ZERO)
            return
        known.n_attempts = CANCELLED_ATTEMPT
        waiting = known.waiting
        if waiting is None:
            return
        known.waiting = None
        self._scheduler.remove(waiting)
        known.refusal = RefusalReason.CANCELLED
        self._refuser.refuse(waiting.req, RefusalReason.CANCELLED, ZERO)
        self._finish(now)

    def done(self, msg: PermitDone, now: timedelta) -> None:
        """Handle an entry's report that it has finished with a permit.

        A permit whose result is unknown stays open: its task may still run.
        """
        self._begin(now)
        task = self._capacity.tasks.get(msg.permit_id)
        if task is None:
            return
        is_first = task.result is None
        task.result = msg.result
        if is_first and task.req is not None:
            self._learn_from_end(task, msg, now)
        if msg.result is RunResult.UNKNOWN:
            return
        self._capacity.end(task, now)
        self._requests.settle(msg.request_id, task)
        self._finish(now)

    def report(self, msg: EndpointReport, now: timedelta) -> None:
        """Handle a periodic report of an endpoint."""
        self._begin(now)
        known = self._capacity.endpoints.get(msg.endpoint_id)
        was_serving = known is not None and known.takes_work
        endpoint = self._capacity.handle_report(msg, now)
        if endpoint is None:
            return
        if endpoint.takes_work and not was_serving:
            self._emit_endpoint_event(EventName.ENDPOINT_UP, endpoint)
        if not self._reader.is_replaced:
            self._reporter.report_health(endpoint.vm, now)
        self._finish(now)

    def view_changed(
        self, now: timedelta, changes: Iterable[Change] | None = None
    ) -> None:
        """Update the dispatcher after a change of the shared view.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        changes : iterable of Change or None
            The changed rows; only what depends on them is updated. With None the whole
            view is read again.
        """
        self._begin(now)
        if changes is None:
            self._reader.read_all(now)
        else:
            self._reader.read(changes, now)
        if self._reader.is_replaced:
            self._refuser.refuse_all(RefusalReason.NOT_DISPATCHER)
        self._finish(now)

    def recall(self, msg: AllotmentRecall, now: timedelta) -> None:
        """Handle a recall of an allotment: return the part that is not in use."""
        self._begin(now)
        self._allotments.recall(msg, now)
        self._reader.shrinkable.add(msg.team)
        self._finish(now)

    def tick(self, now: timedelta) -> None:
        """Do the time-dependent work.

        It detects unresponsive endpoints, ends expired tasks, refuses requests that can
        no longer be in time, and repeats reports and proposals. To be called
        several times a second.
        """
        self._begin(now)
        for endpoint in self._capacity.find_unresponsive(now):
            self._granter.mark_unresponsive(endpoint)
        for task in self._capacity.tasks.take_ended(now):
            self._capacity.end(task, now)
        self._refuser.refuse_expired(now)
        if self._capacity.n_slots_unknown and self._capacity.has_takeover_ended(now):
            self._capacity.refresh_all(now)
        if not self._reader.is_replaced:
            self._reporter.report_vms(now)
            for command in self._allotments.take_overdue_returns(now):
                self._outbox.put(Proposed(command=command))
        self._requests.forget_old(now)
        self._finish(now)

    def stop_granting(self, now: timedelta) -> None:
        """Stop granting permits, before a handover to another dispatcher.

        Waiting requests get no answer from here: their entries request them again from
        the next dispatcher.
        """
        self._begin(now)
        self._granter.is_stopped = True

    def set_lease_end(self, ends_at: timedelta) -> None:
        """Set the monotonic time before which every granted call has to start."""
        self._granter.lease_ends_at = ends_at

    # Before any input.

    def _begin(self, now: timedelta) -> None:
        self._now = max(self._now, now)
        if not self._is_started:
            self._is_started = True
            self._capacity.start(now)
            self._reader.read_all(now)

    # Resends.

    def _answer_resend(self, msg: PermitRequest, known: KnownRequest) -> None:
        """Answer a resend as before, unless its entry has finished with the permit.

        The permit is sent with the rest of its start window. When the window has
        expired, the entry reports "not run" and sends a new attempt.
        """
        if msg.n_attempts < known.n_attempts:
            return
        if known.refusal is not None:
            self._refuser.refuse(msg, known.refusal, ZERO)
            return
        task = known.task
        if task is None or task.result is not None:
            return
        time_left = max(task.latest_start_at - self._cfg.clock_margin - self._now, ZERO)
        self._outbox.put(
            Granted(
                entry_id=msg.entry_id, permit=with_start_window(task.permit, time_left)
            )
        )

    def _drop_older_attempt(
        self, msg: PermitRequest, known: KnownRequest, now: timedelta
    ) -> None:
        """Drop an earlier attempt of a request that was sent with a newer one.

        A call that did not run counts as a failure of its endpoint only if the newer
        attempt excludes that endpoint. Otherwise the caller may have disconnected.
        """
        if known.waiting is not None:
            self._scheduler.remove(known.waiting)
            known.waiting = None
        task = known.task
        if task is None or task.result is not RunResult.NOT_RUN:
            return
        endpoint = self._capacity.endpoints.get(task.endpoint_id)
        if endpoint is not None and task.endpoint_id in msg.excluded:
            self._ejector.record_result(endpoint, msg, RunResult.FAILED, now)

    # Accounting.

    def _count_and_charge(self, task: Task, sign: int) -> None:
        """Count a task that begins (1) or ends (-1) for its team, and charge the team.

        When a task begins, the team is charged the expected slot-seconds. When it ends,
        the charge is corrected to the slot-seconds used. Tasks of older epochs are not
        charged.
        """
        self._reader.ensure_team(task.team)
        team = self._scheduler.team(task.team)
        self._scheduler.count_task(task, sign)
        self._reporter.demand.is_changed = True
        if sign > 0:
            self._scheduler.charge(team, task.charged_slot_seconds, self._now)
            return
        self._reader.shrinkable.add(task.team)
        if task.is_from_older_epoch:
            return
        used_seconds = task.used_seconds
        if used_seconds is None:
            used_seconds = (self._now - task.granted_at).total_seconds()
        self._scheduler.charge(
            team, used_seconds * task.slots - task.charged_slot_seconds, self._now
        )

    def _learn_from_end(self, task: Task, msg: PermitDone, now: timedelta) -> None:
        """Record the run time of a permit and whether its endpoint failed."""
        if msg.result is RunResult.NOT_RUN:
            task.used_seconds = 0.0
            return
        if msg.result is not RunResult.UNKNOWN:
            task.used_seconds = msg.run_time.total_seconds()
        if msg.result is RunResult.COMPLETED:
            self._scheduler.run_times.add(task.team, task.req.queue, msg.run_time)
        endpoint = self._capacity.endpoints.get(task.endpoint_id)
        if endpoint is not None:
            self._ejector.record_result(endpoint, task.req, msg.result, now)

    def _finish(self, now: timedelta) -> None:
        """Return recalled allotments, grant permits and report demand."""
        self._scheduler.set_slots(
            n_slots=self._capacity.n_slots,
            n_slots_unknown=self._capacity.n_slots_unknown,
        )
        # Return recalled allotments before granting: a recalled slot that has become
        # free must not be granted again.
        self._return_recalled(now)
        self._granter.fill(now)
        if not self._reader.is_replaced:
            self._reporter.report_demand(self._scheduler.teams.values(), now)

    def _return_recalled(self, now: timedelta) -> None:
        """Propose to return recalled parts of allotments that are no longer in use."""
        team_names, self._reader.shrinkable = self._reader.shrinkable, set()
        for name in team_names:
            self._reader.ensure_team(name)
            team = self._scheduler.team(name)
            n_running = team.n_running + self._capacity.n_slots_unknown
            command = self._allotments.propose_return(name, n_running, now)
            if command is not None and not self._reader.is_replaced:
                # The lower limit applies immediately, before the proposal is sent.
                team.limit = self._allotments.max_running(name)
                self._outbox.put(Proposed(command=command))

    # Events.

    def _emit_endpoint_event(self, name: EventName, endpoint: Endpoint) -> None:
        self._outbox.emit(
            name, endpoint_id=endpoint.endpoint_id, vm=endpoint.vm.record.name
        )
