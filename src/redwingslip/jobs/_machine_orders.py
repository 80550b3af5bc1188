"""When machines were last ordered, in a time that a change of leader hardly moves."""

from collections.abc import Iterator

import msgspec

__all__ = ["MachineOrders"]

# How long an order for a machine is remembered: far beyond the time for which another
# leader leaves the machine alone.
MEMORY_MS = 60_000
# The steady time goes on by at most this much from one command to the next, so that the
# clock of another leader, or one that was set, moves it hardly.
MAX_STEP_MS = 500


class MachineOrders(msgspec.Struct, kw_only=True):
    """The last order for each machine, taken note of before it is given.

    Attributes
    ----------
    steady_ms : int
        Milliseconds that have passed for the log, no more than for the world but for
        `MAX_STEP_MS` at a change of leader.
    last_ms : int
        Unix time of the last command, by its leader's clock.
    given : dict of str to int
        Steady time of the last order for a machine; old ones are forgotten.
    """

    steady_ms: int = 0
    last_ms: int = 0
    given: dict[str, int] = msgspec.field(default_factory=dict)

    def advance_to(self, now_ms: int) -> None:
        """Take note of the time of a command."""
        self.steady_ms += min(max(0, now_ms - self.last_ms), MAX_STEP_MS)
        self.last_ms = now_ms

    def record(self, machine: str) -> None:
        """Take note of an order."""
        horizon = self.steady_ms - MEMORY_MS
        self.given = {name: ms for name, ms in self.given.items() if ms > horizon}
        self.given[machine] = self.steady_ms

    def ages_ms(self) -> Iterator[tuple[str, int]]:
        """Yield machines with the age of their last order."""
        for machine, at_ms in self.given.items():
            yield machine, self.steady_ms - at_ms
