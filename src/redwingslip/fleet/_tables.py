"""The tables that the commands of the replicated log modify."""

from functools import singledispatch

from ._claims import ClaimTable
from ._commands import Command
from ._operations import OperationTable
from ._outcomes import Accepted, Outcome
from ._view import Change, FleetView, Removed, Row, Table

__all__ = ["Tables", "apply_command"]


class Tables:
    """The view, the claims and the recorded operations as of one log index.

    Attributes
    ----------
    view : FleetView
        The view that is replicated to the entries.
    claims : ClaimTable
        The claimed runs of non-idempotent requests.
    operations : OperationTable
        The outcomes of recent writes by operators.
    index : int
        Log index of the command that is being applied.
    """

    __slots__ = ("_changes", "claims", "index", "operations", "view")

    def __init__(self) -> None:
        self.view = FleetView()
        self.claims = ClaimTable()
        self.operations = OperationTable()
        self.index = 0
        self._changes: list[Change] = []

    def begin(self, index: int) -> None:
        """Start collecting the changes of the command at a log index."""
        self.index = index
        self._changes = []

    def end(self) -> tuple[Change, ...]:
        """Finish the command and return its changes in order."""
        self.view.index = self.index
        changes = tuple(self._changes)
        self._changes = []
        return changes

    def put(self, row: Row | Removed) -> None:
        """Write a row of the view."""
        change = Change(index=self.index, row=row)
        self.view.apply(change)
        self._changes.append(change)

    def remove(self, table: Table, *key: str) -> None:
        """Remove a row of the view."""
        self.put(Removed(table=table, key=key))

    def accepted(self) -> Accepted:
        """Return the outcome of a command that was applied."""
        return Accepted(version=self.index)

    def is_current(self, pool: str, epoch: int) -> bool:
        """Return whether `epoch` belongs to the current dispatcher of the pool."""
        lease = self.view.dispatchers.get(pool)
        return lease is not None and lease.epoch == epoch


@singledispatch
def apply_command(command: Command, tables: Tables) -> Outcome:
    """Apply a command to the tables and return its outcome."""
    raise TypeError(f"no handler for command type {type(command).__name__}")
