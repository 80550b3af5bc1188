"""The capacity of a pool: its VMs, endpoints, slots and open tasks."""

from collections.abc import Callable
from datetime import timedelta

from ..fleet import FleetView, VmHealth, VmRecord, VmSpec
from ..peers import EndpointReport
from ._endpoints import Endpoint, VmState
from ._queue import Shape
from ._settings import DispatchSettings
from ._slots import SlotIndex
from ._tasks import PermitId, Task, TaskTable

__all__ = ["PoolCapacity"]


class PoolCapacity:
    """What the endpoints of a pool can take, and what runs on them.

    Parameters
    ----------
    on_task : callable
        Called with each task that is added (1) or ended (-1).

    Attributes
    ----------
    n_slots : int
        Slots of the endpoints that may take work.
    n_slots_unknown : int
        Slots on which tasks of older epochs may run that nobody has listed yet.
    """

    __slots__ = (
        "_cfg",
        "_epoch",
        "_holds",
        "_longest_run",
        "_on_task",
        "_pool",
        "_started_at",
        "_unknown_until",
        "_view",
        "endpoints",
        "n_slots",
        "n_slots_unknown",
        "slots",
        "tasks",
        "vms",
    )

    def __init__(
        self,
        *,
        pool: str,
        epoch: int,
        cfg: DispatchSettings,
        view: FleetView,
        on_task: Callable[[Task, int], None],
    ) -> None:
        self._pool = pool
        self._epoch = epoch
        self._cfg = cfg
        self._view = view
        self._on_task = on_task
        self._holds: dict[Shape, bool] = {}
        self._longest_run = timedelta(0)
        self._started_at: timedelta | None = None
        self._unknown_until = timedelta(0)
        self.vms: dict[str, VmState] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.slots = SlotIndex()
        self.tasks = TaskTable()
        self.n_slots = 0
        self.n_slots_unknown = 0

    # Time and the view.

    def start(self, now: timedelta) -> None:
        """Note when this epoch began to decide."""
        self._started_at = now
        self.raise_longest_run(timedelta(0))

    def raise_longest_run(self, max_run: timedelta) -> None:
        """Note a task lease that may be in use."""
        self._longest_run = max(self._longest_run, max_run)
        if self._started_at is not None:
            self._unknown_until = self._started_at + self._bound(self._longest_run)

    def _bound(self, run: timedelta) -> timedelta:
        return self._cfg.start_window + run + self._cfg.clock_margin

    def is_surely_over(self, now: timedelta) -> bool:
        """Return whether no task of an older epoch can run unlisted any more."""
        return self._started_at is not None and now >= self._unknown_until

    def put_vm(self, record: VmRecord, now: timedelta) -> None:
        """Take over a VM's record."""
        if record.pool != self._pool:
            self.drop_vm(record.name)
            return
        self._holds.clear()
        spec = self._view.vm_spec(record.name)
        vm = self.vms.get(record.name)
        if vm is None:
            vm = self._new_vm(record, spec)
        if record.assigned_at != vm.record.assigned_at:
            vm.heard_at = None
        vm.record = record
        vm.spec = spec
        for endpoint in vm.endpoints.values():
            self._judge_token(endpoint)
        self.refresh_vm(vm, now)

    def _new_vm(self, record: VmRecord, spec: VmSpec | None) -> VmState:
        vm = self.vms[record.name] = VmState(record, spec)
        for task in self.tasks:
            if task.vm == record.name:
                vm.hold(task, 1)
        return vm

    def drop_vm(self, name: str) -> None:
        """Forget a VM that is in the pool no more; its open tasks still count."""
        vm = self.vms.pop(name, None)
        if vm is None:
            return
        self._holds.clear()
        for endpoint in list(vm.endpoints.values()):
            self._forget_endpoint(endpoint)
        self.n_slots_unknown -= vm.n_slots_unknown

    def _forget_endpoint(self, endpoint: Endpoint) -> None:
        self.n_slots -= endpoint.n_slots_counted
        self.slots.remove(endpoint)
        endpoint.health.forget()
        endpoint.vm.endpoints.pop(endpoint.endpoint_id, None)
        del self.endpoints[endpoint.endpoint_id]

    def refresh_all(self, now: timedelta) -> None:
        """Bring every VM up to date, after a change that touches them all."""
        for vm in self.vms.values():
            for endpoint in vm.endpoints.values():
                self._judge_token(endpoint)
            self.refresh_vm(vm, now)

    def refresh_vm(self, vm: VmState, now: timedelta) -> None:
        """Bring the free slots of a VM's endpoints and its unknown slots up to date."""
        for endpoint in vm.endpoints.values():
            self._recount(endpoint)
        unknown = self._count_unknown(vm, now)
        self.n_slots_unknown += unknown - vm.n_slots_unknown
        vm.n_slots_unknown = unknown

    def _count_unknown(self, vm: VmState, now: timedelta) -> int:
        """Return on how many slots of a VM tasks may run that nobody listed.

        A VM that came into the pool under this epoch was drained before.
        """
        if vm.record.assigned_at > self._epoch or self.is_surely_over(now):
            return 0
        cleared = sum(e.last.slots for e in vm.endpoints.values() if e.is_cleared)
        return max(vm.record.slots - cleared, 0)

    # Endpoints.

    def hear(self, msg: EndpointReport, now: timedelta) -> Endpoint | None:
        """Take an endpoint's report; return the endpoint unless it is not ours."""
        vm = self.vms.get(msg.vm)
        endpoint = self.endpoints.get(msg.endpoint_id)
        if endpoint is not None and endpoint.vm is not vm:
            self._forget_endpoint(endpoint)
            endpoint = None
        if vm is None:
            return None
        if endpoint is None:
            endpoint = Endpoint(msg, vm, now)
            self.endpoints[msg.endpoint_id] = endpoint
            vm.endpoints[msg.endpoint_id] = endpoint
            self._readopt(endpoint)
        elif self._is_stale(endpoint, msg, now):
            return None
        else:
            self._replace_report(endpoint, msg, now)
        self._judge_token(endpoint)
        self._reconcile(endpoint, now)
        if self._has_token(endpoint):
            vm.heard_at = now
        self._judge_ejection(endpoint, now)
        self.refresh_vm(vm, now)
        return endpoint

    def _is_stale(
        self, endpoint: Endpoint, msg: EndpointReport, now: timedelta
    ) -> bool:
        """Return whether a report is doubled or was overtaken by a newer one.

        Incarnations have no order. One that was replaced is taken for the older one
        as long as its successor is heard.
        """
        if msg.incarnation in endpoint.retired and not self.is_silent(endpoint, now):
            return True
        is_same_process = msg.incarnation == endpoint.last.incarnation
        return is_same_process and msg.clock <= endpoint.last.clock

    def _replace_report(
        self, endpoint: Endpoint, msg: EndpointReport, now: timedelta
    ) -> None:
        if msg.service != endpoint.last.service:
            self.slots.remove(endpoint)
        if msg.incarnation != endpoint.last.incarnation:
            endpoint.retire(endpoint.last.incarnation)
        endpoint.last = msg
        endpoint.heard_at = now

    def _readopt(self, endpoint: Endpoint) -> None:
        """Give an endpoint that was forgotten its open tasks back."""
        for task in self.tasks:
            if task.endpoint_id == endpoint.endpoint_id:
                endpoint.hold(task)

    def _recount(self, endpoint: Endpoint) -> None:
        """Bring the slots of an endpoint, all and free, up to date."""
        n_slots = endpoint.last.slots if endpoint.takes_work else 0
        self.n_slots += n_slots - endpoint.n_slots_counted
        endpoint.n_slots_counted = n_slots
        self.slots.update(endpoint)

    def _judge_token(self, endpoint: Endpoint) -> None:
        """Bring an endpoint's state in line with its last report and the view."""
        health = endpoint.health
        is_current = self._has_token(endpoint) and self.is_current
        if endpoint.last.fencing_token >= self._epoch:
            endpoint.is_cleared = True
        if endpoint.last.leaving:
            if health.state != "leaving":
                health.leave()
        elif not is_current:
            if health.state != "unconfirmed":
                health.unconfirm()
        elif not health.is_confirmed:
            if health.state != "unconfirmed":
                health.unconfirm()
            health.confirm()

    def _has_token(self, endpoint: Endpoint) -> bool:
        vm = endpoint.vm.record.name
        if vm not in self._view.vms:
            return False
        return endpoint.last.fencing_token == self._view.fencing_token(vm)

    @property
    def is_current(self) -> bool:
        """Whether the view names this epoch as the pool's dispatcher."""
        lease = self._view.dispatchers.get(self._pool)
        return lease is not None and lease.epoch == self._epoch

    def _judge_ejection(self, endpoint: Endpoint, now: timedelta) -> None:
        health = endpoint.health
        if health.state == "serving" and endpoint.ejected_until > now:
            self.change_health(endpoint, health.eject)
        if health.state == "ejected" and endpoint.ejected_until <= now:
            self.change_health(endpoint, health.probe)

    def change_health(self, endpoint: Endpoint, change: Callable[[], bool]) -> None:
        """Make one transition of an endpoint and count its slots anew."""
        change()
        self._recount(endpoint)

    def is_silent(self, endpoint: Endpoint, now: timedelta) -> bool:
        """Return whether an endpoint was not heard for too long."""
        return now - endpoint.heard_at >= self._cfg.silence

    def find_silent(self, now: timedelta) -> list[Endpoint]:
        """Return the endpoints that have become silent."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.health.state != "silent" and self.is_silent(endpoint, now)
        ]

    # Tasks.

    def _reconcile(self, endpoint: Endpoint, now: timedelta) -> None:
        """Compare what an endpoint lists with what it is known to run.

        A permit that the report does not list has ended once the endpoint's clock is
        past the last moment at which it could have started.
        """
        report = endpoint.last
        listed = {task.permit_id for task in report.running}
        for task in list(endpoint.tasks.values()):
            if task.permit_id in listed:
                continue
            permit = task.permit
            if permit is None:
                self.end(task, now)
                continue
            is_same_process = permit.incarnation == report.incarnation
            if is_same_process and report.clock > permit.start_by:
                self.end(task, now)
        for running in report.running:
            self._note_listed(endpoint, running.permit_id, running.team, now)

    def _note_listed(
        self, endpoint: Endpoint, permit_id: str, team: str, now: timedelta
    ) -> None:
        ends_by = now + self._bound(self._longest_run)
        task = self.tasks.get(permit_id)
        if task is not None:
            heard_until = now + self._cfg.silence
            task.ends_by = (
                ends_by if task.is_foreign else max(task.ends_by, heard_until)
            )
            return
        size = PermitId.decode(permit_id)
        if size.epoch == self._epoch:
            return
        task = Task(
            permit_id=permit_id,
            team=team,
            endpoint_id=endpoint.endpoint_id,
            vm=endpoint.vm.record.name,
            size=size,
            now=now,
            ends_by=ends_by,
        )
        self.begin(endpoint, task, now)

    def begin(self, endpoint: Endpoint, task: Task, now: timedelta) -> None:
        """Take in a task on an endpoint."""
        self.tasks.add(task)
        endpoint.hold(task)
        endpoint.vm.hold(task, 1)
        self.refresh_vm(endpoint.vm, now)
        self._on_task(task, 1)

    def end(self, task: Task, now: timedelta) -> None:
        """Drop a task that has surely ended."""
        self.tasks.remove(task)
        endpoint = self.endpoints.get(task.endpoint_id)
        if endpoint is not None:
            endpoint.release(task)
        vm = self.vms.get(task.vm)
        if vm is not None:
            vm.hold(task, -1)
            self.refresh_vm(vm, now)
        self._on_task(task, -1)

    # What the fleet is told.

    def can_ever_hold(self, shape: Shape) -> bool:
        """Return whether any VM of the pool is large enough for a shape."""
        known = self._holds.get(shape)
        if known is None:
            known = any(vm.can_ever_hold(*shape[1:]) for vm in self.vms.values())
            self._holds[shape] = known
        return known

    def seen_health(self, vm: VmState, now: timedelta) -> VmHealth | None:
        """Return what was seen of a VM, or None while that can't be told."""
        since = vm.heard_at
        if since is not None and now - since < self._cfg.silence:
            return VmHealth.UP
        if since is None:
            since = self._started_at
        if since is None or now - since < self._cfg.silence:
            return None
        return VmHealth.DOWN

    def is_drained(self, vm: VmState) -> bool:
        """Return whether nothing runs, or can start, on a VM that takes no work."""
        return not (vm.takes_work or vm.n_slots_unknown or vm.n_slots_used)
