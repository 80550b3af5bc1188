"""Machines of waves that can't be ready, since their tasks have no place to go to."""

from collections.abc import Set
from datetime import timedelta

from ..observe import EventName
from ._evacuation import Evacuation
from ._term import Term

__all__ = ["BlockedMachines"]

# Time between two looks for machines that can't be ready, before their turn.
CHECK_INTERVAL = timedelta(seconds=1)
# A machine that can't be ready is tried again after this long. The adviser is asked
# about VMs that it has refused every 5 s at most.
RETRY_DELAY = timedelta(seconds=3)


class BlockedMachines:
    """Machines that are passed over for a time, and reported once in a wave.

    Parameters
    ----------
    term : Term
        The term of this leader.
    evacuation : Evacuation
        Tells which machines have tasks that no other VM may run.
    """

    __slots__ = ("_check_due", "_evacuation", "_reported", "_retry_at", "_term")

    def __init__(self, term: Term, evacuation: Evacuation) -> None:
        self._term = term
        self._evacuation = evacuation
        self._retry_at: dict[str, timedelta] = {}
        self._reported: set[str] = set()
        # A new leader first hears from its VMs.
        self._check_due = term.started_at + CHECK_INTERVAL

    def __contains__(self, machine: str) -> bool:
        """Return whether a machine could not be ready when it was last tried."""
        return machine in self._retry_at

    def may_try(self, machine: str, now: timedelta) -> bool:
        """Return whether a machine is not passed over at present."""
        return now >= self._retry_at.get(machine, now)

    def find(self, now: timedelta, cordoned: Set[str]) -> None:
        """Report, before their turn, machines whose tasks no other VM may run."""
        if now < self._check_due:
            return
        self._check_due = now + CHECK_INTERVAL
        remaining = {
            machine: wave.number
            for wave in self._term.state.waves.values()
            for machine in wave.remaining()
        }
        for machine, wave in remaining.items():
            if machine not in cordoned and self._evacuation.is_blocked(machine):
                self._retry_at[machine] = now + RETRY_DELAY
                self._report(wave, machine)
        for machine in self._retry_at.keys() - remaining.keys():
            del self._retry_at[machine]
        self._reported &= remaining.keys()

    def note(self, machine: str, *, wave: int, now: timedelta) -> None:
        """Pass over a machine whose tasks have found no place; report it if need be.

        A VM with tickets and without room, or on a cordoned machine, may take the tasks
        soon. That is reported only when the machine is blocked a second time.
        """
        is_second = machine in self._retry_at
        self._retry_at[machine] = now + RETRY_DELAY
        if is_second or self._evacuation.is_blocked(machine):
            self._report(wave, machine)

    def _report(self, wave: int, machine: str) -> None:
        if machine in self._reported:
            return
        self._reported.add(machine)
        self._term.emit(
            EventName.MAINTENANCE_BLOCKED,
            wave=str(wave),
            vm=machine,
            detail="its tasks have no other place with a ticket",
        )
        self._term.metrics.add_machine_order(kind="maintenance", outcome="blocked")
