"""The dispatcher of one pool, as a plain state machine."""

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
from ._granter import Granter
from ._grants import with_window
from ._judgement import FailureJudge
from ._leader_reports import LeaderReporter
from ._limits import AllotmentManager
from ._outbox import Outbox
from ._outputs import Granted, Output, Proposed
from ._refusals import Refuser
from ._requests import CANCELLED, KnownRequest, RequestTable
from ._scheduler import Scheduler
from ._settings import DispatchSettings
from ._tasks import Task
from ._view_reader import ViewReader

__all__ = ["Dispatcher"]

ZERO = timedelta(0)


class Dispatcher:
    """Orders a pool's queues, owns its slots and grants permits.

    Every input takes the monotonic time of this process. What is to be done about it
    is collected and fetched with `take_outputs`. Nothing is granted before
    `set_lease_end` was called.

    Parameters
    ----------
    pool : str
        The pool.
    epoch : int
        The epoch of the pool's `DispatcherLease`.
    cfg : DispatchSettings
        Settings.
    view : FleetView
        Shared with its owner, who calls `view_changed` after each change.
    rng : Random
        Spreads the times at which refused callers return.
    """

    __slots__ = (
        "_admission",
        "_allotments",
        "_capacity",
        "_cfg",
        "_ejector",
        "_granter",
        "_is_started",
        "_judge",
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
        self._requests = RequestTable(remember=cfg.remember)
        self._scheduler = Scheduler(cfg)
        self._judge = FailureJudge(cfg)
        self._allotments = AllotmentManager(pool=pool, epoch=epoch, cfg=cfg, view=view)
        self._capacity = PoolCapacity(
            pool=pool, epoch=epoch, cfg=cfg, view=view, on_task=self._count
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
            judge=self._judge,
            outbox=self._outbox,
        )
        self._admission = Admission(
            cfg=cfg,
            view=view,
            capacity=self._capacity,
            scheduler=self._scheduler,
            judge=self._judge,
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

    # What can be read.

    @property
    def n_waiting(self) -> int:
        """Requests that wait."""
        return self._scheduler.n_waiting

    @property
    def n_running(self) -> int:
        """Open permits and tasks of older epochs."""
        return len(self._capacity.tasks)

    @property
    def n_slots(self) -> int:
        """Slots of the endpoints that may take work."""
        return self._capacity.n_slots

    @property
    def n_idle(self) -> int:
        """Those of them that are free."""
        return self._capacity.slots.n_free

    def may_hand_over(self, now: timedelta) -> bool:
        """Return whether no permit's start is still open."""
        if not self._granter.is_stopped and not self._reader.is_replaced:
            return False
        return all(task.starts_until <= now for task in self._capacity.tasks)

    def take_outputs(self) -> list[Output]:
        """Return what is to be done since the last call, in order."""
        return self._outbox.take()

    # Inputs.

    def request(self, msg: PermitRequest, now: timedelta) -> None:
        """Take a request for a permit, or its resend."""
        self._begin(now)
        known = self._requests.get(msg.request_id)
        if known is not None and msg.n_attempts <= known.n_attempts:
            self._answer_again(msg, known)
            return
        if known is not None:
            self._supersede(msg, known, now)
        if self._reader.is_replaced or msg.pool != self.pool:
            self._refuser.say(msg, RefusalReason.NOT_DISPATCHER, ZERO)
            return
        self._n_requests += 1
        self._reader.know_team(msg.team)
        self._capacity.raise_longest_run(self._granter.task_lease(msg))
        item = self._scheduler.make_waiting(msg, number=self._n_requests, now=now)
        reason = self._admission.refusal(item)
        if reason is not None:
            retry_after = self._admission.retry_after(item, reason)
            self._refuser.say(msg, reason, retry_after)
            return
        known = self._requests.add(msg.request_id, msg.n_attempts, now, msg.deadline)
        known.waiting = item
        self._scheduler.add(item)
        self._finish(now)

    def cancel(self, msg: PermitCancel, now: timedelta) -> None:
        """Drop a request whose caller is gone."""
        self._begin(now)
        known = self._requests.get(msg.request_id)
        if known is None:
            # The request may still be under way.
            self._requests.add(msg.request_id, CANCELLED, now, ZERO)
            return
        known.n_attempts = CANCELLED
        item = known.waiting
        if item is None:
            return
        known.waiting = None
        self._scheduler.remove(item)
        known.refusal = RefusalReason.CANCELLED
        self._refuser.say(item.req, RefusalReason.CANCELLED, ZERO)
        self._finish(now)

    def done(self, msg: PermitDone, now: timedelta) -> None:
        """Take the end of a permit as its entry saw it."""
        self._begin(now)
        task = self._capacity.tasks.get(msg.permit_id)
        if task is None:
            return
        is_first = task.result is None
        task.result = msg.result
        if is_first and task.req is not None:
            self._learn(task, msg, now)
        if msg.result is RunResult.UNKNOWN:
            return
        self._capacity.end(task, now)
        self._requests.settle(msg.request_id, task)
        self._finish(now)

    def report(self, msg: EndpointReport, now: timedelta) -> None:
        """Take an endpoint's announcement."""
        self._begin(now)
        known = self._capacity.endpoints.get(msg.endpoint_id)
        was_serving = known is not None and known.takes_work
        endpoint = self._capacity.hear(msg, now)
        if endpoint is None:
            return
        if endpoint.takes_work and not was_serving:
            self._emit_endpoint(EventName.ENDPOINT_UP, endpoint)
        if not self._reader.is_replaced:
            self._reporter.say_health(endpoint.vm, now)
        self._finish(now)

    def view_changed(
        self, now: timedelta, changes: Iterable[Change] | None = None
    ) -> None:
        """Take over that the shared view has changed.

        With the changes given, only what they touch is looked at.
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
        """Give back what can be spared of an allotment."""
        self._begin(now)
        self._allotments.recall(msg, now)
        self._reader.shrinkable.add(msg.team)
        self._finish(now)

    def tick(self, now: timedelta) -> None:
        """Do what is due; to be called a few times a second."""
        self._begin(now)
        for endpoint in self._capacity.find_silent(now):
            self._granter.lose(endpoint)
        for task in self._capacity.tasks.take_ended(now):
            self._capacity.end(task, now)
        self._refuser.refuse_expired(now)
        if self._capacity.n_slots_unknown and self._capacity.is_surely_over(now):
            self._capacity.refresh_all(now)
        if not self._reader.is_replaced:
            self._reporter.say_vms(now)
            for command in self._allotments.take_overdue_returns(now):
                self._outbox.put(Proposed(command=command))
        self._requests.forget_old(now)
        self._finish(now)

    def stop_granting(self, now: timedelta) -> None:
        """Grant nothing more, before a handover.

        What waits is asked for again at the next dispatcher.
        """
        self._begin(now)
        self._granter.is_stopped = True

    def set_lease_end(self, deadline: timedelta) -> None:
        """Allow grants whose calls start before this monotonic time."""
        self._granter.lease_ends_at = deadline

    # Before and after each input.

    def _begin(self, now: timedelta) -> None:
        self._now = max(self._now, now)
        if not self._is_started:
            self._is_started = True
            self._capacity.start(now)
            self._reader.read_all(now)

    # Resends.

    def _answer_again(self, msg: PermitRequest, known: KnownRequest) -> None:
        """Answer a resend as before, unless its entry has finished with the permit.

        When the start window is over, the entry reports "not run" and asks anew.
        """
        if msg.n_attempts < known.n_attempts:
            return
        if known.refusal is not None:
            self._refuser.say(msg, known.refusal, ZERO)
            return
        task = known.task
        if task is None or task.result is not None:
            return
        left = max(task.starts_until - self._cfg.clock_margin - self._now, ZERO)
        self._outbox.put(
            Granted(entry_id=msg.entry_id, permit=with_window(task.permit, left))
        )

    def _supersede(
        self, msg: PermitRequest, known: KnownRequest, now: timedelta
    ) -> None:
        """Drop an earlier try of a request.

        A call that did not reach its endpoint speaks against the endpoint only when
        the entry now avoids it: it may have been the caller who went away.
        """
        if known.waiting is not None:
            self._scheduler.remove(known.waiting)
            known.waiting = None
        task = known.task
        if task is None or task.result is not RunResult.NOT_RUN:
            return
        endpoint = self._capacity.endpoints.get(task.endpoint_id)
        if endpoint is not None and task.endpoint_id in msg.excluded:
            self._ejector.note(endpoint, msg, RunResult.FAILED, now)

    # Tasks that end.

    def _count(self, task: Task, sign: int) -> None:
        """Count a task for its team, and charge what it used."""
        self._reader.know_team(task.team)
        team = self._scheduler.team(task.team)
        self._scheduler.count(task, sign)
        self._reporter.demand.is_changed = True
        if sign > 0:
            self._scheduler.charge(team, task.charged, self._now)
            return
        self._reader.shrinkable.add(task.team)
        if task.is_foreign:
            return
        used = task.used_seconds
        if used is None:
            used = (self._now - task.granted_at).total_seconds()
        self._scheduler.charge(team, used * task.slots - task.charged, self._now)

    def _learn(self, task: Task, msg: PermitDone, now: timedelta) -> None:
        """Learn from the end of a permit: run time, and who is at fault."""
        if msg.result is RunResult.NOT_RUN:
            task.used_seconds = 0.0
            return
        if msg.result is not RunResult.UNKNOWN:
            task.used_seconds = msg.run_time.total_seconds()
        if msg.result is RunResult.COMPLETED:
            self._scheduler.run_times.add(task.team, task.req.queue, msg.run_time)
        endpoint = self._capacity.endpoints.get(task.endpoint_id)
        if endpoint is not None:
            self._ejector.note(endpoint, task.req, msg.result, now)

    def _finish(self, now: timedelta) -> None:
        """Do what may follow from any input."""
        self._scheduler.set_slots(
            n_slots=self._capacity.n_slots,
            n_slots_unknown=self._capacity.n_slots_unknown,
        )
        # A recalled slot that falls free must not be taken again first.
        self._shrink(now)
        self._granter.fill(now)
        if not self._reader.is_replaced:
            self._reporter.say_demand(self._scheduler.teams.values(), now)

    def _shrink(self, now: timedelta) -> None:
        """Give back what was recalled and is not used any more."""
        names, self._reader.shrinkable = self._reader.shrinkable, set()
        for name in names:
            self._reader.know_team(name)
            team = self._scheduler.team(name)
            n_running = team.n_running + self._capacity.n_slots_unknown
            command = self._allotments.propose_return(name, n_running, now)
            if command is not None and not self._reader.is_replaced:
                # The promise binds at once, before its proposal is under way.
                team.limit = self._allotments.max_running(name)
                self._outbox.put(Proposed(command=command))

    # Events.

    def _emit_endpoint(self, name: EventName, endpoint: Endpoint) -> None:
        self._outbox.emit(
            name, endpoint_id=endpoint.endpoint_id, vm=endpoint.vm.record.name
        )
