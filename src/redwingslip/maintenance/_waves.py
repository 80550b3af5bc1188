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
from ._drains import Drains
from ._failures import FailureMonitor
from ._order import n_rounds, ordered
from ._reboots import Reboots
from ._resend import Resender
from ._settings import WaveSettings
from ._status import WaveLife, WavePhase, WaveStatus

__all__ = ["WavePlanner"]

DURATION_WEIGHT = 0.2


class WavePlanner:
    """Takes the VMs of the waves out and brings them back, within the budgets.

    Everything that a wave rests on is in the fleet's view; what the planner keeps
    besides is learnt again by a new leader.

    Parameters
    ----------
    settings : WaveSettings
        Times and sizes.
    sink : EventSink
        Takes the events.
    """

    __slots__ = (
        "_drains",
        "_duration",
        "_lives",
        "_monitor",
        "_orders",
        "_proposals",
        "_reboots",
        "_refused",
        "_settings",
        "_sink",
        "_taken_at",
    )

    def __init__(
        self, settings: WaveSettings | None = None, sink: EventSink | None = None
    ) -> None:
        self._settings = settings or WaveSettings()
        self._sink = sink or NullSink()
        self._drains = Drains()
        self._monitor = FailureMonitor(self._settings)
        self._proposals = Resender(self._settings.propose_again)
        self._orders = Resender(self._settings.order_again)
        self._reboots = Reboots(self._settings)
        self._refused: dict[str, set[str]] = {}
        self._lives: dict[str, WaveLife] = {}
        self._taken_at: dict[str, _Watch] = {}
        self._duration: timedelta | None = None

    def vm_drained(self, msg: VmDrained, now: timedelta) -> None:
        """Take a dispatcher's word that a VM is drained."""
        self._drains.note(msg)

    def reboot_done(self, msg: RebootDone, now: timedelta) -> None:
        """Take an entry's word on a reboot."""
        self._reboots.note_answer(msg, now)
        if not msg.accepted:
            self._refused.setdefault(msg.wave, set()).add(msg.vm)
            self._warn(msg.wave, msg.vm, f"reboot refused: {msg.reason}")

    def plan(self, view: FleetView, now: timedelta) -> list[Command | RebootOrder]:
        """Return the commands to propose and the orders to send now."""
        held = [vm for vm in view.vms.values() if vm.phase is VmPhase.MAINTENANCE]
        self._watch(held, now)
        self._monitor.observe(self._failed(view, now), now)
        self._update_lives(view)
        commands = [cmd for vm in held for cmd in self._steps_after_order(vm, now)]
        commands += self._begin(view)
        orders = [order for vm in held for order in self._reboot_orders(view, vm)]
        due_orders = self._orders.due(orders, now)
        for order in due_orders:
            self._reboots.note_order(order, now)
        return [*self._proposals.due(commands, now), *due_orders]

    def status(self, view: FleetView, wave: str, now: timedelta) -> WaveStatus:
        """Return how far a wave is."""
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
            refused=tuple(sorted(self._refused.get(wave, ()))),
            remaining=self._remaining(view, record, spec),
        )

    # What the planner has seen.

    def _watch(self, held: list[VmRecord], now: timedelta) -> None:
        """Follow the VMs in maintenance and learn how long one takes."""
        watches = {}
        for vm in held:
            watch = self._taken_at.get(vm.name)
            if watch is None or watch.drain_index != vm.drain_index:
                watch = _Watch(vm.drain_index, now)
            if vm.rebooted and watch.rebooted_at is None:
                watch.rebooted_at = now
                self._emit(EventName.VM_REBOOTED, vm.wave, vm.name)
            watches[vm.name] = watch
        for name, watch in self._taken_at.items():
            if name not in watches and watch.rebooted_at is not None:
                self._learn(now - watch.began_at)
        self._taken_at = watches
        self._drains.keep(watches.__contains__)
        self._reboots.keep({_operation_id(vm) for vm in held})

    def _learn(self, duration: timedelta) -> None:
        if self._duration is None:
            self._duration = duration
        self._duration += (duration - self._duration) * DURATION_WEIGHT

    def _is_overdue(self, vm: str, now: timedelta) -> bool:
        watch = self._taken_at.get(vm)
        if watch is None or watch.rebooted_at is None:
            return False
        return now - watch.rebooted_at >= self._settings.overdue_after

    def _failed(self, view: FleetView, now: timedelta) -> set[str]:
        """Return the VMs that are out without anybody's plan."""
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
        return WavePhase.HELD if self._monitor.is_clustered else WavePhase.RUNNING

    def _update_lives(self, view: FleetView) -> None:
        for gone in self._lives.keys() - view.waves.keys():
            del self._lives[gone]
            self._refused.pop(gone, None)
        for name, record in view.waves.items():
            life = self._lives.get(name)
            if life is None:
                life = self._lives[name] = WaveLife(name, self._sink)
            life.become(self._phase(record, view.spec(Kind.WAVE, name)))

    # Steps.

    def _begin(self, view: FleetView) -> Iterator[Command]:
        """Take as many VMs as the budgets admit, the older waves first."""
        budgets: dict[str, PoolBudget] = {}
        taken: set[str] = set()
        waves = sorted(view.waves, key=lambda wave: _version(view, wave))
        for wave in waves:
            if self._lives[wave].state is not WavePhase.RUNNING:
                continue
            spec = view.spec(Kind.WAVE, wave)
            n_free = spec.max_parallel - view.waves[wave].n_active
            if n_free <= 0:
                continue
            pending = [vm for vm in view.pending_vms(wave) if vm.name not in taken]
            admitted = [vm for vm in pending if _is_admitted(view, vm, budgets)]
            for vm in ordered(view, admitted, pending, spec.max_parallel):
                if budgets[vm.pool].take(vm):
                    taken.add(vm.name)
                    n_free -= 1
                    yield BeginMaintenance(vm=vm.name, wave=wave)
                if n_free <= 0:
                    break

    def _reboot_orders(self, view: FleetView, vm: VmRecord) -> Iterator[RebootOrder]:
        operation_id = _operation_id(vm)
        if vm.rebooted or self._reboots.is_done(operation_id):
            return
        if self._reboots.is_refused(operation_id):
            return
        if self._drains.is_drained(view, vm):
            yield RebootOrder(vm=vm.name, wave=vm.wave, operation_id=operation_id)

    def _steps_after_order(self, vm: VmRecord, now: timedelta) -> Iterator[Command]:
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

    def _remaining(
        self, view: FleetView, record: WaveRecord, spec: WaveSpec
    ) -> timedelta | None:
        if record.is_done:
            return timedelta(0)
        if self._duration is None:
            return None
        vms = view.active_vms(record.name) + view.pending_vms(record.name)
        return self._duration * n_rounds(view, vms, spec.max_parallel)

    def _warn(self, wave: str, vm: str, detail: str) -> None:
        self._sink.emit(Event(name=EventName.WARNING, wave=wave, vm=vm, detail=detail))

    def _emit(self, name: EventName, wave: str, vm: str) -> None:
        self._sink.emit(Event(name=name, wave=wave, vm=vm))


class _Watch:
    """What the planner has seen of one VM's maintenance."""

    __slots__ = ("began_at", "drain_index", "rebooted_at")

    def __init__(self, drain_index: int, began_at: timedelta) -> None:
        self.drain_index = drain_index
        self.began_at = began_at
        self.rebooted_at: timedelta | None = None


def _operation_id(vm: VmRecord) -> str:
    """Return the platform's id of a VM's reboot, the same for every leader."""
    return f"{vm.wave}/{vm.name}/{vm.drain_index}"


def _version(view: FleetView, wave: str) -> int:
    resource = view.resources[Kind.WAVE].get(wave)
    return 0 if resource is None else resource.version


def _is_admitted(view: FleetView, vm: VmRecord, budgets: dict[str, PoolBudget]) -> bool:
    """Return whether a VM could be taken before any other is."""
    if vm.phase is not VmPhase.SERVING or vm.pool not in view.dispatchers:
        return False
    if vm.pool not in budgets:
        budgets[vm.pool] = _budget_beside_moves(view, vm.pool)
    return budgets[vm.pool].violation(vm) is None and not is_misplaced(view, vm)


def _budget_beside_moves(view: FleetView, pool: str) -> PoolBudget:
    """Return what a pool's budget leaves to waves.

    Moves that the operator wants go first, since a long wave would starve them.
    """
    budget = PoolBudget(view, pool)
    for vm in view.vms_of(pool):
        if is_misplaced(view, vm):
            budget.take(vm)
    return budget
