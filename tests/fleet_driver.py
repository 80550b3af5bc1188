"""A replicated state with planners on a manual clock, for tests and measurements.

Dispatchers, endpoints and the platform are a few lines each: a drained VM is
announced again at each step until the state has moved on, and the platform does one
reboot for each operation id.
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

Duration = Callable[[str], timedelta]


class FleetDriver:
    """A fleet of one entry that dispatches all pools.

    Parameters
    ----------
    drain_time, boot_time : callable
        How long a VM takes to drain, and from the reboot order until it serves.
    """

    def __init__(
        self,
        drain_time: Duration = lambda vm: SECOND,
        boot_time: Duration = lambda vm: 3 * SECOND,
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
        self._drain_ends: dict[tuple[str, int], timedelta] = {}
        self.apply(RegisterEntry(entry_id="e", incarnation="1", address="here"))

    @property
    def view(self):
        """Return the view of the state."""
        return self.state.view

    @property
    def now(self) -> timedelta:
        """Return the monotonic time."""
        return self.clock.monotonic()

    def apply(self, command: Command) -> Outcome:
        """Apply a command at the next index."""
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
        """Declare a VM that serves at once."""
        self.put(name, VmSpec(pool=pool, data_centre=dc, rack=rack))
        self.report(name, VmHealth.UP)

    def report(self, vm: str, health: VmHealth) -> Outcome:
        """Report the health of a VM as its present dispatcher does."""
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
        """Go on from a snapshot with planners that know nothing else."""
        restored = FleetState()
        restored.restore(self.state.snapshot())
        self.state = restored
        self.waves = WavePlanner()
        self.moves = MovePlanner()

    def step(self, step: timedelta = SECOND) -> None:
        """Let the time pass, the endpoints announce and the planners plan."""
        self.clock.advance(step)
        for record in list(self.view.vms.values()):
            if record.phase is not VmPhase.SERVING:
                self._drain(record)
            self._boot(record)
        self.plan()

    def run(self, is_done: Callable[[], bool], limit: timedelta) -> timedelta:
        """Step until something is done; return how long it took."""
        began_at = self.now
        while not is_done():
            if self.now - began_at > limit:
                raise AssertionError(f"not done after {limit}")
            self.step()
        return self.now - began_at

    def run_wave(self, name: str, limit: timedelta = timedelta(hours=9)) -> timedelta:
        """Step until a wave has ended; return how long it took."""
        wave = self.view.waves
        return self.run(lambda: wave[name].is_done, limit)

    def plan(self) -> None:
        """Apply what the planners propose now."""
        outputs = self.waves.plan(self.view, self.now)
        outputs += self.moves.plan(self.view, self.now)
        for output in outputs:
            if isinstance(output, RebootOrder):
                self.order(output)
            elif not isinstance(self.apply(output), Accepted):
                self.n_refused += 1
            elif isinstance(output, CompleteMove):
                self.n_moves += 1

    def order(self, order: RebootOrder) -> None:
        """Take a reboot order as the platform does: once for each operation."""
        accepted = order.vm not in self.refused_vms
        if accepted:
            self.reboots.setdefault(order.operation_id, self.now)
        done = RebootDone(
            vm=order.vm,
            wave=order.wave,
            operation_id=order.operation_id,
            accepted=accepted,
        )
        self.waves.reboot_done(done, self.now)

    def drained(self, record: VmRecord) -> None:
        """Tell the planners that a VM is drained."""
        epoch = self.view.dispatchers[record.pool].epoch
        word = VmDrained(
            vm=record.name,
            pool=record.pool,
            epoch=epoch,
            drain_index=record.drain_index,
        )
        self.waves.vm_drained(word, self.now)
        self.moves.vm_drained(word, self.now)

    def _drain(self, record: VmRecord) -> None:
        key = (record.name, record.drain_index)
        end = self._drain_ends.setdefault(
            key, self.now + self._drain_time(record.name) - SECOND
        )
        if end <= self.now:
            self.drained(record)

    def _boot(self, record: VmRecord) -> None:
        if record.health is VmHealth.UP or record.name in self.unresponsive_vms:
            return
        operation_id = f"{record.wave}/{record.name}/{record.drain_index}"
        began_at = self.reboots.get(operation_id, timedelta(0))
        if self.now - began_at >= self._boot_time(record.name):
            self.report(record.name, VmHealth.UP)
