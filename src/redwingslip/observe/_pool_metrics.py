"""Metrics of pools: their VMs and machines, and the demand for them."""

from ._instruments import Instrument, InstrumentSet

__all__ = ["POOL_INSTRUMENTS", "PoolMetrics"]

POOL_INSTRUMENTS = (
    Instrument("counter", "vm.moves", "{vm}", "VMs that changed pools."),
    Instrument(
        "counter",
        "vm.silences",
        "{silence}",
        "Leases of silent VMs that expired, and such VMs that answered again.",
    ),
    Instrument(
        "counter",
        "machine.orders",
        "{order}",
        "Moves and maintenances that were ordered, by outcome.",
    ),
    Instrument(
        "counter",
        "vm.calls",
        "{call}",
        "Calls of VMs, by whether the leader or a delegate makes them.",
    ),
    Instrument(
        "gauge",
        "evacuation.vms",
        "{vm}",
        "VMs in data centres that are being evacuated.",
    ),
    Instrument(
        "gauge",
        "evacuation.tasks",
        "{task}",
        "Long-running tasks in data centres that are being evacuated.",
    ),
    Instrument(
        "gauge",
        "pool.demand.expected",
        "{core}",
        "Cores that a pool needs, or will need in its next rise.",
    ),
    Instrument(
        "gauge", "pool.demand.seen", "{core}", "Cores that a pool needs at present."
    ),
    Instrument(
        "gauge", "pool.reserve", "{core}", "Cores that a pool keeps beyond its demand."
    ),
    Instrument(
        "gauge", "pool.vms.slow", "{vm}", "VMs of a pool that are slower than others."
    ),
    Instrument("gauge", "pool.speed", "1", "Mean speed of the VMs of a pool."),
    Instrument(
        "counter",
        "rise.predictions",
        "{rise}",
        "Predicted rises of pools, by whether they came.",
    ),
)


class PoolMetrics(InstrumentSet):
    """Metrics of pools, VMs and machines."""

    __slots__ = ()

    def add_move(self, *, pool: str) -> None:
        """Count a VM that moved into a pool."""
        self._instruments["vm.moves"].add(
            1, self._limit_values({"redwingslip.pool": pool})
        )

    def add_vm_silence(self, *, outcome: str) -> None:
        """Count a silent VM: `expired` with its lease, or `answered` later."""
        attributes = {"redwingslip.outcome": outcome}
        self._instruments["vm.silences"].add(1, attributes)

    def add_vm_calls(self, count: int, *, caller: str) -> None:
        """Count calls of VMs that the leader or its delegates make."""
        if count:
            self._instruments["vm.calls"].add(count, {"redwingslip.caller": caller})

    def add_machine_order(self, *, kind: str, outcome: str) -> None:
        """Count a move or maintenance order for a machine, by its outcome."""
        attributes = {"redwingslip.order": kind, "redwingslip.outcome": outcome}
        self._instruments["machine.orders"].add(1, self._limit_values(attributes))

    def set_forecast(
        self, *, pool: str, expected: int, seen: int, reserve: int
    ) -> None:
        """Set the demand and the reserve of a pool, in thousandths of a core."""
        attributes = self._limit_values({"redwingslip.pool": pool})
        self._instruments["pool.demand.expected"].set(expected / 1000, attributes)
        self._instruments["pool.demand.seen"].set(seen / 1000, attributes)
        self._instruments["pool.reserve"].set(reserve / 1000, attributes)

    def add_prediction(self, *, pool: str, outcome: str) -> None:
        """Count a predicted rise of a pool: `right` if it came, else `missed`."""
        attributes = {"redwingslip.pool": pool, "redwingslip.outcome": outcome}
        self._instruments["rise.predictions"].add(1, self._limit_values(attributes))

    def set_evacuation(self, *, data_centre: str, n_vms: int, n_tasks: int) -> None:
        """Set the numbers of VMs and of long-running tasks in a data centre."""
        attributes = self._limit_values({"redwingslip.data_centre": data_centre})
        self._instruments["evacuation.vms"].set(n_vms, attributes)
        self._instruments["evacuation.tasks"].set(n_tasks, attributes)

    def set_vm_speeds(self, *, pool: str, n_slow: int, mean: float) -> None:
        """Set the number of a pool's slow VMs, and the mean speed of all its VMs."""
        attributes = self._limit_values({"redwingslip.pool": pool})
        self._instruments["pool.vms.slow"].set(n_slow, attributes)
        self._instruments["pool.speed"].set(mean, attributes)
