"""Reports of a dispatcher to the leader: health of VMs, drains and demand."""

from collections.abc import Iterable
from datetime import timedelta

from ..fleet import ReportVm
from ..observe._events import EventName
from ..peers import PoolDemand, TeamDemand, VmDrained
from ._capacity import PoolCapacity
from ._demand import DemandReporter
from ._endpoints import VmState
from ._outbox import Outbox
from ._outputs import Proposed, ToLeader
from ._settings import DispatchSettings
from ._teams import TeamState

__all__ = ["LeaderReporter"]


class LeaderReporter:
    """Reports to the leader, at a bounded rate.

    Health and drains of VMs are reported again until the view shows them.

    Attributes
    ----------
    demand : DemandReporter
        Decides when the demand is reported.
    """

    __slots__ = ("_capacity", "_cfg", "_epoch", "_outbox", "_pool", "demand")

    def __init__(
        self,
        *,
        pool: str,
        epoch: int,
        cfg: DispatchSettings,
        capacity: PoolCapacity,
        outbox: Outbox,
    ) -> None:
        self._pool = pool
        self._epoch = epoch
        self._cfg = cfg
        self._capacity = capacity
        self._outbox = outbox
        self.demand = DemandReporter(cfg)

    def report_vms(self, now: timedelta) -> None:
        """Report health and drains of every VM, as far as a report is due."""
        for vm in self._capacity.vms.values():
            self.report_health(vm, now)
            self._report_drained(vm, now)

    def report_health(self, vm: VmState, now: timedelta) -> None:
        """Propose a VM's observed health if the view shows another one."""
        health = self._capacity.observed_health(vm, now)
        if health is None or health is vm.record.health:
            return
        is_reported = vm.health_reported_at is not None and vm.reported_health is health
        if is_reported and now - vm.health_reported_at < self._cfg.repeat:
            return
        vm.health_reported_at = now
        vm.reported_health = health
        command = ReportVm(
            vm=vm.record.name,
            pool=self._pool,
            epoch=self._epoch,
            assigned_at=vm.record.assigned_at,
            health=health,
        )
        self._outbox.put(Proposed(command=command))

    def _report_drained(self, vm: VmState, now: timedelta) -> None:
        """Report that a VM is drained, until the view shows that its drain is over."""
        if not vm.must_drain:
            vm.drain_reported_at = None
            return
        if not self._capacity.is_drained(vm):
            return
        if (
            vm.drain_reported_at is not None
            and now - vm.drain_reported_at < self._cfg.repeat
        ):
            return
        if vm.drain_reported_at is None:
            self._outbox.emit(EventName.VM_DRAINED, vm=vm.record.name)
        vm.drain_reported_at = now
        message = VmDrained(
            vm=vm.record.name,
            pool=self._pool,
            epoch=self._epoch,
            drain_index=vm.record.drain_index,
        )
        self._outbox.put(ToLeader(message=message))

    def report_demand(self, teams: Iterable[TeamState], now: timedelta) -> None:
        """Report the demand of the pool, if a report is due."""
        if not self.demand.is_due(now):
            return
        message = self.demand.take_if_due(self._describe(teams), now)
        if message is not None:
            self._outbox.put(ToLeader(message=message))

    def _describe(self, teams: Iterable[TeamState]) -> PoolDemand:
        demands = tuple(
            TeamDemand(
                team=team.name, n_running=team.n_running, n_waiting=team.n_waiting
            )
            for team in teams
            if not team.is_idle
        )
        return PoolDemand(
            pool=self._pool,
            epoch=self._epoch,
            teams=demands,
            n_slots=self._capacity.n_slots,
            n_idle=self._capacity.slots.n_free,
        )
