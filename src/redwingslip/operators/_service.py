"""What passes between the operators' interface and the rest of an entry."""

from datetime import timedelta
from typing import Protocol

import msgspec

from ..fleet import Change, Command, FleetView, Outcome
from ..peers import ReplicasReply

__all__ = ["FleetService", "ProcessStatus"]


class ProcessStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry knows of itself and of the leader.

    Attributes
    ----------
    has_lease : bool
        Whether the entry holds its configuration lease.
    applied_index : int
        Log index of the entry's view.
    in_force_index : int
        Everything up to it is in force everywhere.
    """

    entry_id: str
    has_lease: bool
    leader_id: str
    applied_index: int
    in_force_index: int
    dispatched_pools: tuple[str, ...] = ()


class FleetService(Protocol):
    """Gives access to the replicated state; the entry daemon implements it."""

    @property
    def view(self) -> FleetView:
        """Return the entry's view."""

    def status(self) -> ProcessStatus:
        """Return what the entry knows of itself."""

    async def replicas(self, timeout: timedelta) -> ReplicasReply:
        """Return how the replicas are, as the leader sees them.

        Raises
        ------
        NoLeaderError
            No leader answered in time.
        """

    async def propose(self, command: Command, timeout: timedelta) -> Outcome:
        """Have a command committed, and applied to this entry's view.

        Raises
        ------
        NoLeaderError
            No leader took it in time. It may yet be done: resend it with the same
            operation id.
        """

    async def changes_after(
        self, index: int, timeout: timedelta
    ) -> tuple[Change, ...] | None:
        """Wait for the changes after a log index.

        Returns
        -------
        changes : tuple of Change, or None
            Empty after the timeout; None when the index is too old to continue.
        """
