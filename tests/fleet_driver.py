"""A fleet state with planners on a manual clock, for tests and measurements.

Dispatchers, endpoints and the platform are simulated. A dispatcher reports a drained
VM at each step until the VM's phase changes. The platform performs one reboot for each
operation id.
"""

from collections.abc import Callable
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.fleet import (
    Accepted,
    AssignDispatcher,
    Command,
    CompleteMove,
    FleetState,
    Outcome,
    PoolSpec,
    PutResource,
    RegisterEntry,
    ReportVm,
    VmHealth,
    VmPhase,
    VmRecord,
    VmSpec,
)
from redwingslip.maintenance import MovePlanner, WavePlanner
from redwingslip.peers._messages import RebootDone, RebootOrder, VmDrained

from . import SECOND

DurationOf = Callable[[str], timedelta]


class FleetDriver:
    """A fleet with a single entry, which dispatches all pools.

    Parameters
    ----------
    drain_time, boot_time : callable
        Return the time that a VM takes to drain, and the time from its reboot order
        until it serves.

    Attributes
    ----------
    n_refused : int
        Number of planners' proposals that the state has rejected.
    n_moves : int
        Number of completed moves.
    reboots : dict
        Time of each reboot by operation id, in the order of the reboots.
    refused_vms : set of str
        VMs whose reboot the platform refuses.
    unresponsive_vms : set of str
        VMs whose endpoints don't come up.
    """

    def __init__(
        self,
        drain_time: DurationOf = lambda vm: SECOND,
        boot_time: DurationOf = lambda vm: 3 * SECOND,
    ) -> None:
        self.clock = ManualClock()
        self.state = FleetState()
        self.waves = WavePlanner()
        self.moves = MovePlanner()
        self.n_refused = 0
        self.n_moves = 0
        self.reboots: dict[str, timedelta] = {}
        self.refused_vms: set[str] = set()
        self.unresponsive_vms: set[str] = set()
        self.index = 0
        self._drain_time = drain_time
        self._boot_time = boot_time
        self._drained_at: dict[tuple[str, int], timedelta] = {}
        self.apply(RegisterEntry(entry_id="e", incarnation="1", address="here"))

    @property
    def view(self):
        """Return the fleet's view."""
        return self.state.view

    @property
    def now(self) -> timedelta:
        """Return the monotonic time."""
        return self.clock.monotonic()

    def apply(self, command: Command) -> Outcome:
        """Apply a command at the next log index."""
        self.index += 1
        outcome, _ = self.state.apply(self.index, command)
        return outcome

    def put(self, name: str, spec, **options) -> Outcome:
        """Write a resource."""
        return self.apply(PutResource(name=name, spec=spec, **options))

    def add_pool(self, name: str, **options) -> None:
        """Declare a pool and give it a dispatcher."""
        self.put(name, PoolSpec(**options))
        self.apply(AssignDispatcher(pool=name, entry_id="e", incarnation="1"))

    def add_vm(self, name: str, pool: str, dc: str = "d0", rack: str = "r0") -> None:
        """Declare a VM and report it as up."""
        self.put(name, VmSpec(pool=pool, data_centre=dc, rack=rack))
        self.report(name, VmHealth.UP)

    def report(self, vm: str, health: VmHealth) -> Outcome:
        """Report the health of a VM on behalf of its current dispatcher."""
        record = self.view.vms[vm]
        return self.apply(
            ReportVm(
                vm=vm,
                pool=record.pool,
                epoch=self.view.dispatchers[record.pool].epoch,
                assigned_at=record.assigned_at,
                health=health,
            )
        )

    def replace_leader(self) -> None:
        """Replace the leader by one with a restored snapshot and new planners."""
        restored = FleetState()
        restored.restore(self.state.snapshot())
        self.state = restored
        self.waves = WavePlanner()
        self.moves = MovePlanner()

    def step(self, step: timedelta = SECOND) -> None:
        """Advance the clock, report drained and booted VMs, and run the planners."""
        self.clock.advance(step)
        for record in list(self.view.vms.values()):
            if record.phase is not VmPhase.SERVING:
                self._report_if_drained(record)
            self._report_if_booted(record)
        self.plan()

    def run(self, is_done: Callable[[], bool], limit: timedelta) -> timedelta:
        """Step until a condition holds; return the elapsed time."""
        began_at = self.now
        while not is_done():
            if self.now - began_at > limit:
                raise AssertionError(f"not done after {limit}")
            self.step()
        return self.now - began_at

    def run_wave(self, name: str, limit: timedelta = timedelta(hours=9)) -> timedelta:
        """Step until a wave has ended; return the elapsed time."""
        wave = self.view.waves
        return self.run(lambda: wave[name].is_done, limit)

    def plan(self) -> None:
        """Apply the commands and orders of the planners."""
        outputs = self.waves.plan(self.view, self.now)
        outputs += self.moves.plan(self.view, self.now)
        for output in outputs:
            if isinstance(output, RebootOrder):
                self.handle_order(output)
            elif not isinstance(self.apply(output), Accepted):
                self.n_refused += 1
            elif isinstance(output, CompleteMove):
                self.n_moves += 1

    def handle_order(self, order: RebootOrder) -> None:
        """Handle a reboot order as the platform does, once for each operation id."""
        accepted = order.vm not in self.refused_vms
        if accepted:
            self.reboots.setdefault(order.operation_id, self.now)
        answer = RebootDone(
            vm=order.vm,
            wave=order.wave,
            operation_id=order.operation_id,
            accepted=accepted,
        )
        self.waves.handle_reboot_done(answer, self.now)

    def report_drained(self, record: VmRecord) -> None:
        """Report to the planners that a VM is drained."""
        epoch = self.view.dispatchers[record.pool].epoch
        report = VmDrained(
            vm=record.name,
            pool=record.pool,
            epoch=epoch,
            drain_index=record.drain_index,
        )
        self.waves.handle_vm_drained(report, self.now)
        self.moves.handle_vm_drained(report, self.now)

    def _report_if_drained(self, record: VmRecord) -> None:
        key = (record.name, record.drain_index)
        drained_at = self._drained_at.setdefault(
            key, self.now + self._drain_time(record.name) - SECOND
        )
        if drained_at <= self.now:
            self.report_drained(record)

    def _report_if_booted(self, record: VmRecord) -> None:
        if record.health is VmHealth.UP or record.name in self.unresponsive_vms:
            return
        operation_id = f"{record.wave}/{record.name}/{record.drain_index}"
        began_at = self.reboots.get(operation_id, timedelta(0))
        if self.now - began_at >= self._boot_time(record.name):
            self.report(record.name, VmHealth.UP)
