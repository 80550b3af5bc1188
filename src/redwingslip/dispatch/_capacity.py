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
    """Tracks the VMs and endpoints of a pool, their free slots and open tasks.

    Parameters
    ----------
    on_task : callable
        Called with a task and the sign 1 when it begins, or -1 when it has ended.

    Attributes
    ----------
    n_slots : int
        Number of slots of the endpoints that may take work.
    n_slots_unknown : int
        Number of slots on which tasks of older epochs may run although no report has
        listed them.
    """

    __slots__ = (
        "_can_hold_cache",
        "_cfg",
        "_epoch",
        "_longest_run",
        "_on_task",
        "_pool",
        "_started_at",
        "_takeover_until",
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
        self._can_hold_cache: dict[Shape, bool] = {}
        self._longest_run = timedelta(0)
        self._started_at: timedelta | None = None
        self._takeover_until = timedelta(0)
        self.vms: dict[str, VmState] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.slots = SlotIndex()
        self.tasks = TaskTable()
        self.n_slots = 0
        self.n_slots_unknown = 0

    # Time and the view.

    def start(self, now: timedelta) -> None:
        """Record when this epoch's dispatcher started."""
        self._started_at = now
        self.raise_longest_run(timedelta(0))

    def raise_longest_run(self, max_run: timedelta) -> None:
        """Raise the longest lease that a running task may have to `max_run` or more."""
        self._longest_run = max(self._longest_run, max_run)
        if self._started_at is not None:
            self._takeover_until = self._started_at + self._max_task_duration(
                self._longest_run
            )

    def _max_task_duration(self, run: timedelta) -> timedelta:
        """Return the longest time from the grant to the end of a task."""
        return self._cfg.start_window + run + self._cfg.clock_margin

    def has_takeover_ended(self, now: timedelta) -> bool:
        """Return whether the longest possible task of an older epoch has ended."""
        return self._started_at is not None and now >= self._takeover_until

    def put_vm(self, record: VmRecord, now: timedelta) -> None:
        """Add or update a VM from its record; drop it if it is in another pool."""
        if record.pool != self._pool:
            self.drop_vm(record.name)
            return
        self._can_hold_cache.clear()
        spec = self._view.vm_spec(record.name)
        vm = self.vms.get(record.name)
        if vm is None:
            vm = self._new_vm(record, spec)
        if record.assigned_at != vm.record.assigned_at:
            vm.last_contact_at = None
        vm.record = record
        vm.spec = spec
        for endpoint in vm.endpoints.values():
            self._update_confirmation(endpoint)
        self.refresh_vm(vm, now)

    def _new_vm(self, record: VmRecord, spec: VmSpec | None) -> VmState:
        """Add a VM, with the open tasks that are already known to run on it."""
        vm = self.vms[record.name] = VmState(record, spec)
        for task in self.tasks:
            if task.vm == record.name:
                vm.hold(task, 1)
        return vm

    def drop_vm(self, name: str) -> None:
        """Remove a VM that has left the pool; its open tasks still count."""
        vm = self.vms.pop(name, None)
        if vm is None:
            return
        self._can_hold_cache.clear()
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
        """Update every VM after a change that concerns all of them."""
        for vm in self.vms.values():
            for endpoint in vm.endpoints.values():
                self._update_confirmation(endpoint)
            self.refresh_vm(vm, now)

    def refresh_vm(self, vm: VmState, now: timedelta) -> None:
        """Update the free slots of a VM's endpoints and its slots of unknown use."""
        for endpoint in vm.endpoints.values():
            self._update_slots(endpoint)
        unknown = self._count_unknown(vm, now)
        self.n_slots_unknown += unknown - vm.n_slots_unknown
        vm.n_slots_unknown = unknown

    def _count_unknown(self, vm: VmState, now: timedelta) -> int:
        """Return on how many slots of a VM unlisted tasks of older epochs may run.

        A task is unlisted if no report has listed it. A VM that was assigned to the
        pool under this epoch was drained before, so it runs no unlisted tasks.
        """
        if vm.record.assigned_at > self._epoch or self.has_takeover_ended(now):
            return 0
        n_slots_known = sum(
            e.last_report.slots for e in vm.endpoints.values() if e.has_reported_epoch
        )
        return max(vm.record.slots - n_slots_known, 0)

    # Endpoints.

    def handle_report(self, msg: EndpointReport, now: timedelta) -> Endpoint | None:
        """Handle a report and return its endpoint.

        Returns None if the VM is not in the pool or the report is out of date.
        """
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
            self._restore_tasks(endpoint)
        elif self._is_stale(endpoint, msg, now):
            return None
        else:
            self._replace_report(endpoint, msg, now)
        self._update_confirmation(endpoint)
        self._reconcile(endpoint, now)
        if self._has_token(endpoint):
            vm.last_contact_at = now
        self._update_ejection(endpoint, now)
        self.refresh_vm(vm, now)
        return endpoint

    def _is_stale(
        self, endpoint: Endpoint, msg: EndpointReport, now: timedelta
    ) -> bool:
        """Return whether a report is a duplicate or older than the last one.

        Incarnations have no order. An incarnation that was replaced is regarded as the
        older one as long as its successor is in contact.
        """
        if msg.incarnation in endpoint.retired and not self.is_unresponsive(
            endpoint, now
        ):
            return True
        is_same_process = msg.incarnation == endpoint.last_report.incarnation
        return is_same_process and msg.clock <= endpoint.last_report.clock

    def _replace_report(
        self, endpoint: Endpoint, msg: EndpointReport, now: timedelta
    ) -> None:
        if msg.service != endpoint.last_report.service:
            self.slots.remove(endpoint)
        if msg.incarnation != endpoint.last_report.incarnation:
            endpoint.retire(endpoint.last_report.incarnation)
        endpoint.last_report = msg
        endpoint.last_contact_at = now

    def _restore_tasks(self, endpoint: Endpoint) -> None:
        """Add the open tasks of an endpoint that was forgotten and reports again."""
        for task in self.tasks:
            if task.endpoint_id == endpoint.endpoint_id:
                endpoint.hold(task)

    def _update_slots(self, endpoint: Endpoint) -> None:
        """Update the total and the free slots of an endpoint."""
        n_slots = endpoint.last_report.slots if endpoint.takes_work else 0
        self.n_slots += n_slots - endpoint.n_slots_counted
        endpoint.n_slots_counted = n_slots
        self.slots.update(endpoint)

    def _update_confirmation(self, endpoint: Endpoint) -> None:
        """Update an endpoint's health from its last report and the view.

        An endpoint is confirmed while its last report carries the VM's current fencing
        token and the view names this epoch.
        """
        health = endpoint.health
        may_confirm = self._has_token(endpoint) and self.is_current
        if endpoint.last_report.fencing_token >= self._epoch:
            endpoint.has_reported_epoch = True
        if endpoint.last_report.leaving:
            if health.state != "leaving":
                health.leave()
        elif not may_confirm:
            if health.state != "unconfirmed":
                health.unconfirm()
        elif not health.is_confirmed:
            if health.state != "unconfirmed":
                health.unconfirm()
            health.confirm()

    def _has_token(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint reported its VM's current fencing token."""
        vm = endpoint.vm.record.name
        if vm not in self._view.vms:
            return False
        return endpoint.last_report.fencing_token == self._view.fencing_token(vm)

    @property
    def is_current(self) -> bool:
        """Whether the view names this epoch as the pool's dispatcher."""
        lease = self._view.dispatchers.get(self._pool)
        return lease is not None and lease.epoch == self._epoch

    def _update_ejection(self, endpoint: Endpoint, now: timedelta) -> None:
        """Eject an endpoint again until its backoff ends; then begin to probe it."""
        health = endpoint.health
        if health.state == "serving" and endpoint.ejected_until > now:
            self.change_health(endpoint, health.eject)
        if health.state == "ejected" and endpoint.ejected_until <= now:
            self.change_health(endpoint, health.probe)

    def change_health(self, endpoint: Endpoint, change: Callable[[], bool]) -> None:
        """Apply one health transition to an endpoint and update its slots."""
        change()
        self._update_slots(endpoint)

    def is_unresponsive(self, endpoint: Endpoint, now: timedelta) -> bool:
        """Return whether the last report of an endpoint is too old."""
        return now - endpoint.last_contact_at >= self._cfg.silence

    def find_unresponsive(self, now: timedelta) -> list[Endpoint]:
        """Return the unresponsive endpoints that are not yet in the state `silent`."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.health.state != "silent" and self.is_unresponsive(endpoint, now)
        ]

    # Tasks.

    def _reconcile(self, endpoint: Endpoint, now: timedelta) -> None:
        """Compare the tasks that an endpoint lists with its known open tasks.

        A permit that the report does not list has ended once the endpoint's clock is
        past the permit's latest start. The report must come from the incarnation that
        the permit was granted for. A task of an older epoch has ended as soon as it is
        not listed.
        """
        report = endpoint.last_report
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
            self._record_listed_task(endpoint, running.permit_id, running.team, now)

    def _record_listed_task(
        self, endpoint: Endpoint, permit_id: str, team: str, now: timedelta
    ) -> None:
        """Extend the time by which a listed task ends, or add a task of an older epoch.

        A task of this epoch that is not open has ended and is not added again.
        """
        ends_by = now + self._max_task_duration(self._longest_run)
        task = self.tasks.get(permit_id)
        if task is not None:
            listed_until = now + self._cfg.silence
            task.ends_by = (
                ends_by if task.is_from_older_epoch else max(task.ends_by, listed_until)
            )
            return
        parsed_id = PermitId.decode(permit_id)
        if parsed_id.epoch == self._epoch:
            return
        task = Task(
            permit_id=permit_id,
            team=team,
            endpoint_id=endpoint.endpoint_id,
            vm=endpoint.vm.record.name,
            size=parsed_id,
            now=now,
            ends_by=ends_by,
        )
        self.begin(endpoint, task, now)

    def begin(self, endpoint: Endpoint, task: Task, now: timedelta) -> None:
        """Add an open task to an endpoint."""
        self.tasks.add(task)
        endpoint.hold(task)
        endpoint.vm.hold(task, 1)
        self.refresh_vm(endpoint.vm, now)
        self._on_task(task, 1)

    def end(self, task: Task, now: timedelta) -> None:
        """Remove a task that has ended."""
        self.tasks.remove(task)
        endpoint = self.endpoints.get(task.endpoint_id)
        if endpoint is not None:
            endpoint.release(task)
        vm = self.vms.get(task.vm)
        if vm is not None:
            vm.hold(task, -1)
            self.refresh_vm(vm, now)
        self._on_task(task, -1)

    # Capacity, health and drains of VMs.

    def can_ever_hold(self, shape: Shape) -> bool:
        """Return whether any VM of the pool is large enough for a shape."""
        known = self._can_hold_cache.get(shape)
        if known is None:
            known = any(vm.can_ever_hold(*shape[1:]) for vm in self.vms.values())
            self._can_hold_cache[shape] = known
        return known

    def observed_health(self, vm: VmState, now: timedelta) -> VmHealth | None:
        """Return the health of a VM as its reports show it.

        It is None while the VM has not reported and the dispatcher has not yet waited
        long enough to regard it as down.
        """
        since = vm.last_contact_at
        if since is not None and now - since < self._cfg.silence:
            return VmHealth.UP
        if since is None:
            since = self._started_at
        if since is None or now - since < self._cfg.silence:
            return None
        return VmHealth.DOWN

    def is_drained(self, vm: VmState) -> bool:
        """Return whether a VM takes no work and no task runs or can start on it."""
        return not (vm.takes_work or vm.n_slots_unknown or vm.n_slots_used)
