"""Times of the last orders for machines, on a clock that limits leader clock skew."""

from collections.abc import Iterator

import msgspec

__all__ = ["MachineOrders"]

# Orders are kept for this long. That is far longer than a new leader waits before it
# orders a machine again that a previous leader may just have ordered.
ORDER_RETENTION_MS = 60_000
# The steady time advances by at most this much from one command to the next. This
# limits the error if the clock of a new leader differs or a clock is set.
MAX_STEP_MS = 500


class MachineOrders(msgspec.Struct, kw_only=True):
    """The time of the last order for each machine.

    An order is recorded in the log before it is sent to the platform.

    Attributes
    ----------
    steady_ms : int
        Time in milliseconds derived from the times of the commands. It advances no
        faster than real time, apart from up to `MAX_STEP_MS` at each change of leader.
    last_ms : int
        Unix time of the last command on the clock of the leader that proposed it.
    given : dict of str to int
        Steady time of the last order for each machine; old orders are dropped.
    """

    steady_ms: int = 0
    last_ms: int = 0
    given: dict[str, int] = msgspec.field(default_factory=dict)

    def advance_to(self, now_ms: int) -> None:
        """Advance the steady time to that of a command."""
        self.steady_ms += min(max(0, now_ms - self.last_ms), MAX_STEP_MS)
        self.last_ms = now_ms

    def record(self, machine: str) -> None:
        """Record an order for a machine at the present steady time."""
        oldest_ms = self.steady_ms - ORDER_RETENTION_MS
        self.given = {name: ms for name, ms in self.given.items() if ms > oldest_ms}
        self.given[machine] = self.steady_ms

    def is_ordered_since(self, machine: str, steady_ms: int) -> bool:
        """Return whether an order for a machine was recorded at a time or later."""
        return self.given.get(machine, -1) >= steady_ms

    def ages_ms(self) -> Iterator[tuple[str, int]]:
        """Yield each machine with the age of its last order in milliseconds."""
        for machine, at_ms in self.given.items():
            yield machine, self.steady_ms - at_ms
