"""The types shared by the operators' interface and the rest of an entry."""

from datetime import timedelta
from typing import Protocol

import msgspec

from ..fleet import Change, Command, FleetView, Outcome
from ..peers import ReplicasReply

__all__ = ["FleetService", "ProcessStatus"]


class ProcessStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The status of an entry, and what it knows of the leader.

    Attributes
    ----------
    has_lease : bool
        Whether the entry holds its configuration lease.
    applied_index : int
        Log index up to which the view of the entry is current.
    in_force_index : int
        Log index up to which all changes are in force on every entry.
    """

    entry_id: str
    has_lease: bool
    leader_id: str
    applied_index: int
    in_force_index: int
    dispatched_pools: tuple[str, ...] = ()


class FleetService(Protocol):
    """Access to the replicated state; the entry daemon implements it."""

    @property
    def view(self) -> FleetView:
        """Return the entry's view of the replicated state."""

    def status(self) -> ProcessStatus:
        """Return the status of the entry."""

    async def replicas(self, timeout: timedelta) -> ReplicasReply:
        """Return the state of the replicas, as the leader knows it.

        Raises
        ------
        NoLeaderError
            No leader answered in time.
        """

    async def propose(self, command: Command, timeout: timedelta) -> Outcome:
        """Propose a command; return its outcome once this entry has applied it.

        Raises
        ------
        NoLeaderError
            No leader confirmed the command in time. It may still be applied: resend
            it with the same operation id.
        """

    async def changes_after(
        self, index: int, timeout: timedelta
    ) -> tuple[Change, ...] | None:
        """Wait for the changes after a log index.

        Returns
        -------
        changes : tuple of Change, or None
            Empty after the timeout; None if the index is so old that the changes
            after it are no longer available.
        """
