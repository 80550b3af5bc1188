"""Events about a replica's leadership and the cluster's members."""

from collections.abc import Callable

from ..observe._events import Event, EventName, EventSink
from ._node import RaftNode

__all__ = ["Reporter"]


class Reporter:
    """Reports changes of a node's leadership and members once each.

    Changes are reported as events and through the callback `on_leadership`.

    Parameters
    ----------
    replica_id : str
        Id of the replica.
    events : EventSink
        Receives the events.

    Attributes
    ----------
    on_leadership : callable or None
        Called with True once the replica leads and its state machine is current, and
        with False once it no longer leads.
    """

    __slots__ = (
        "_events",
        "_has_unrepaired",
        "_is_announced",
        "_replica_id",
        "_term",
        "on_leadership",
    )

    def __init__(self, replica_id: str, events: EventSink) -> None:
        self._replica_id = replica_id
        self._events = events
        self._term = 0
        self._is_announced = False
        self._has_unrepaired = False
        self.on_leadership: Callable[[bool], None] | None = None

    def has_leadership_ended(self, node: RaftNode) -> bool:
        """Return whether the node does not lead, or not in the reported term."""
        return not node.is_leader or self._term not in (0, node.term)

    def report_leadership(self, node: RaftNode, applied_index: int) -> None:
        """Report the start of a leadership, and the repair of all members.

        The callback waits until the state machine has applied the first entry of the
        leader's term. The repair is reported once after each change of members.
        """
        if not node.is_leader:
            return
        if not self._term:
            self._term = node.term
            self._emit(EventName.LEADER_ELECTED)
        is_current = applied_index >= node.first_index_of_term
        if is_current and not self._is_announced:
            self._is_announced = True
            self._notify(True)
        if self._has_unrepaired and self._are_all_repaired(node):
            self._has_unrepaired = False
            detail = "all members vote and hold every committed entry"
            self._emit(EventName.MEMBER_CHANGED, detail=detail)

    def report_leadership_end(self) -> None:
        """Report the end of the leadership if its start was reported."""
        if self._term:
            self._emit(EventName.LEADER_STEPPED_DOWN)
            self._term = 0
        if self._is_announced:
            self._is_announced = False
            self._notify(False)

    def report_member_change(self, index: int) -> None:
        """Report a committed change of members."""
        self._has_unrepaired = True
        self._emit(EventName.MEMBER_CHANGED, index=index)

    def report_failure(self, exc: Exception) -> None:
        """Report the error that stops the replica."""
        self._emit(EventName.WARNING, detail=f"replica failed: {exc}")

    def _are_all_repaired(self, node: RaftNode) -> bool:
        return all(
            node.is_repaired(member.replica_id, member.incarnation)
            for member in node.members
        )

    def _notify(self, is_leader: bool) -> None:
        if self.on_leadership is not None:
            self.on_leadership(is_leader)

    def _emit(self, name: EventName, *, index: int = 0, detail: str = "") -> None:
        event = Event(
            name=name,
            peer=self._replica_id,
            index=index,
            term=self._term,
            detail=detail,
        )
        self._events.emit(event)
