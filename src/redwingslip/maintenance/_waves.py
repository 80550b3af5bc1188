"""The planner of maintenance waves."""

from collections.abc import Iterator
from datetime import timedelta

from ..fleet import (
    BeginMaintenance,
    CancelMaintenance,
    Command,
    CompleteMaintenance,
    FleetView,
    Kind,
    MarkRebooted,
    PoolBudget,
    VmHealth,
    VmPhase,
    VmRecord,
    WaveRecord,
    WaveSpec,
    is_misplaced,
)
from ..observe._events import Event, EventName, EventSink, NullSink
from ..peers._messages import RebootDone, RebootOrder, VmDrained
from ._drain_reports import DrainReports
from ._failures import FailureMonitor
from ._order import min_rounds, sort_admitted
from ._reboots import RebootTracker
from ._resend import Resender
from ._settings import WaveSettings
from ._status import WavePhase, WavePhaseTracker, WaveStatus

__all__ = ["WavePlanner"]

DURATION_SMOOTHING = 0.2


class WavePlanner:
    """Plans the drains, reboots and returns of the waves' VMs within the budgets.

    Decisions that must survive a change of leader are in the fleet's view. A new leader
    collects the other state of the planner again.

    Parameters
    ----------
    settings : WaveSettings
        Intervals and thresholds of the waves.
    sink : EventSink
        Receives the events.
    """

    __slots__ = (
        "_drain_reports",
        "_failure_monitor",
        "_mean_duration",
        "_order_resender",
        "_phase_trackers",
        "_progress_by_vm",
        "_proposal_resender",
        "_reboots",
        "_refused_vms",
        "_settings",
        "_sink",
    )

    def __init__(
        self, settings: WaveSettings | None = None, sink: EventSink | None = None
    ) -> None:
        self._settings = settings or WaveSettings()
        self._sink = sink or NullSink()
        self._drain_reports = DrainReports()
        self._failure_monitor = FailureMonitor(self._settings)
        self._proposal_resender = Resender(self._settings.propose_again)
        self._order_resender = Resender(self._settings.order_again)
        self._reboots = RebootTracker(self._settings)
        self._refused_vms: dict[str, set[str]] = {}
        self._phase_trackers: dict[str, WavePhaseTracker] = {}
        self._progress_by_vm: dict[str, _MaintenanceProgress] = {}
        self._mean_duration: timedelta | None = None

    def handle_vm_drained(self, msg: VmDrained, now: timedelta) -> None:
        """Handle a dispatcher's report that a VM is drained."""
        self._drain_reports.record(msg)

    def handle_reboot_done(self, msg: RebootDone, now: timedelta) -> None:
        """Handle an entry's answer to a reboot order."""
        self._reboots.note_answer(msg, now)
        if not msg.accepted:
            self._refused_vms.setdefault(msg.wave, set()).add(msg.vm)
            self._emit_warning(msg.wave, msg.vm, f"reboot refused: {msg.reason}")

    def plan(self, view: FleetView, now: timedelta) -> list[Command | RebootOrder]:
        """Return the commands to propose and the orders to send at `now`."""
        vms_in_maintenance = [
            vm for vm in view.vms.values() if vm.phase is VmPhase.MAINTENANCE
        ]
        self._track_progress(vms_in_maintenance, now)
        self._failure_monitor.observe(self._failed_vms(view, now), now)
        self._update_phases(view)
        commands = [
            cmd
            for vm in vms_in_maintenance
            for cmd in self._continue_maintenance(vm, now)
        ]
        commands += self._begin_maintenance(view)
        orders = [
            order
            for vm in vms_in_maintenance
            for order in self._reboot_orders(view, vm)
        ]
        due_orders = self._order_resender.select_due(orders, now)
        for order in due_orders:
            self._reboots.note_order(order, now)
        return [*self._proposal_resender.select_due(commands, now), *due_orders]

    def status(self, view: FleetView, wave: str, now: timedelta) -> WaveStatus:
        """Return the status of a wave."""
        record = view.waves[wave]
        spec = view.spec(Kind.WAVE, wave)
        overdue = [vm.name for vm in view.active_vms(wave)]
        overdue = [vm for vm in overdue if self._is_overdue(vm, now)]
        return WaveStatus(
            phase=self._phase(record, spec),
            n_pending=record.n_pending,
            n_active=record.n_active,
            n_done=record.n_done,
            n_skipped=record.n_skipped,
            overdue=tuple(overdue),
            refused=tuple(sorted(self._refused_vms.get(wave, ()))),
            remaining=self._remaining_time(view, record, spec),
        )

    # Observations.

    def _track_progress(
        self, vms_in_maintenance: list[VmRecord], now: timedelta
    ) -> None:
        """Track the VMs in maintenance and the mean duration of their maintenance."""
        progress_by_vm = {}
        for vm in vms_in_maintenance:
            progress = self._progress_by_vm.get(vm.name)
            if progress is None or progress.drain_index != vm.drain_index:
                progress = _MaintenanceProgress(vm.drain_index, now)
            if vm.rebooted and progress.rebooted_at is None:
                progress.rebooted_at = now
                self._emit_vm_event(EventName.VM_REBOOTED, vm.wave, vm.name)
            progress_by_vm[vm.name] = progress
        for name, progress in self._progress_by_vm.items():
            if name not in progress_by_vm and progress.rebooted_at is not None:
                self._update_mean_duration(now - progress.began_at)
        self._progress_by_vm = progress_by_vm
        self._drain_reports.retain(progress_by_vm.__contains__)
        self._reboots.retain({_operation_id(vm) for vm in vms_in_maintenance})

    def _update_mean_duration(self, duration: timedelta) -> None:
        if self._mean_duration is None:
            self._mean_duration = duration
        self._mean_duration += (duration - self._mean_duration) * DURATION_SMOOTHING

    def _is_overdue(self, vm: str, now: timedelta) -> bool:
        progress = self._progress_by_vm.get(vm)
        if progress is None or progress.rebooted_at is None:
            return False
        return now - progress.rebooted_at >= self._settings.overdue_after

    def _failed_vms(self, view: FleetView, now: timedelta) -> set[str]:
        """Return the VMs that are unavailable without being drained, or overdue."""
        failed = set()
        for vm in view.vms.values():
            is_down = vm.phase is VmPhase.SERVING and vm.health is VmHealth.DOWN
            if (is_down and vm.joined) or self._is_overdue(vm.name, now):
                failed.add(vm.name)
        return failed

    # Phases.

    def _phase(self, record: WaveRecord, spec: WaveSpec) -> WavePhase:
        if record.is_done:
            return WavePhase.DONE
        if spec.paused:
            return WavePhase.PAUSED
        return (
            WavePhase.HELD if self._failure_monitor.is_clustered else WavePhase.RUNNING
        )

    def _update_phases(self, view: FleetView) -> None:
        for removed_wave in self._phase_trackers.keys() - view.waves.keys():
            del self._phase_trackers[removed_wave]
            self._refused_vms.pop(removed_wave, None)
        for name, record in view.waves.items():
            tracker = self._phase_trackers.get(name)
            if tracker is None:
                tracker = self._phase_trackers[name] = WavePhaseTracker(
                    name, self._sink
                )
            tracker.enter(self._phase(record, view.spec(Kind.WAVE, name)))

    # Planning.

    def _begin_maintenance(self, view: FleetView) -> Iterator[Command]:
        """Yield the start of as many drains as the budgets allow, older waves first."""
        budgets: dict[str, PoolBudget] = {}
        started_vms: set[str] = set()
        waves = sorted(view.waves, key=lambda wave: _version(view, wave))
        for wave in waves:
            if self._phase_trackers[wave].state is not WavePhase.RUNNING:
                continue
            spec = view.spec(Kind.WAVE, wave)
            n_starts_left = spec.max_parallel - view.waves[wave].n_active
            if n_starts_left <= 0:
                continue
            pending = [
                vm for vm in view.pending_vms(wave) if vm.name not in started_vms
            ]
            admitted = [vm for vm in pending if _is_admitted(view, vm, budgets)]
            for vm in sort_admitted(view, admitted, pending, spec.max_parallel):
                if budgets[vm.pool].reserve(vm):
                    started_vms.add(vm.name)
                    n_starts_left -= 1
                    yield BeginMaintenance(vm=vm.name, wave=wave)
                if n_starts_left <= 0:
                    break

    def _reboot_orders(self, view: FleetView, vm: VmRecord) -> Iterator[RebootOrder]:
        operation_id = _operation_id(vm)
        if vm.rebooted or self._reboots.is_done(operation_id):
            return
        if self._reboots.is_refused(operation_id):
            return
        if self._drain_reports.is_drained(view, vm):
            yield RebootOrder(vm=vm.name, wave=vm.wave, operation_id=operation_id)

    def _continue_maintenance(self, vm: VmRecord, now: timedelta) -> Iterator[Command]:
        operation_id = _operation_id(vm)
        if vm.rebooted:
            if vm.health is VmHealth.UP:
                yield CompleteMaintenance(vm=vm.name, wave=vm.wave)
        elif self._reboots.is_done(operation_id):
            yield MarkRebooted(vm=vm.name, wave=vm.wave, drain_index=vm.drain_index)
        elif self._reboots.is_given_up(operation_id, now):
            yield CancelMaintenance(
                vm=vm.name, wave=vm.wave, drain_index=vm.drain_index
            )

    # Reports.

    def _remaining_time(
        self, view: FleetView, record: WaveRecord, spec: WaveSpec
    ) -> timedelta | None:
        if record.is_done:
            return timedelta(0)
        if self._mean_duration is None:
            return None
        vms = view.active_vms(record.name) + view.pending_vms(record.name)
        return self._mean_duration * min_rounds(view, vms, spec.max_parallel)

    def _emit_warning(self, wave: str, vm: str, detail: str) -> None:
        self._sink.emit(Event(name=EventName.WARNING, wave=wave, vm=vm, detail=detail))

    def _emit_vm_event(self, name: EventName, wave: str, vm: str) -> None:
        self._sink.emit(Event(name=name, wave=wave, vm=vm))


class _MaintenanceProgress:
    """The planner's observations of one VM's maintenance."""

    __slots__ = ("began_at", "drain_index", "rebooted_at")

    def __init__(self, drain_index: int, began_at: timedelta) -> None:
        self.drain_index = drain_index
        self.began_at = began_at
        self.rebooted_at: timedelta | None = None


def _operation_id(vm: VmRecord) -> str:
    """Return the platform's id of a VM's reboot, which is the same for all leaders."""
    return f"{vm.wave}/{vm.name}/{vm.drain_index}"


def _version(view: FleetView, wave: str) -> int:
    resource = view.resources[Kind.WAVE].get(wave)
    return 0 if resource is None else resource.version


def _is_admitted(view: FleetView, vm: VmRecord, budgets: dict[str, PoolBudget]) -> bool:
    """Return whether a VM's maintenance could start after the reservations so far."""
    if vm.phase is not VmPhase.SERVING or vm.pool not in view.dispatchers:
        return False
    if vm.pool not in budgets:
        budgets[vm.pool] = _budget_after_moves(view, vm.pool)
    return budgets[vm.pool].violation(vm) is None and not is_misplaced(view, vm)


def _budget_after_moves(view: FleetView, pool: str) -> PoolBudget:
    """Return the budget of a pool that remains for waves.

    Moves that the operator has requested take precedence, because a long wave would
    starve them.
    """
    budget = PoolBudget(view, pool)
    for vm in view.vms_of(pool):
        if is_misplaced(view, vm):
            budget.reserve(vm)
    return budget
