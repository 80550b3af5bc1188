"""What the commands of the replicated log change."""

from functools import singledispatch

from ._claims import ClaimTable
from ._commands import Command
from ._operations import OperationTable
from ._outcomes import Accepted, Outcome
from ._view import Change, FleetView, Removed, Row, Table

__all__ = ["Tables", "apply_command"]


class Tables:
    """The view, the claims and the operators' operations, as of one log index.

    Attributes
    ----------
    view : FleetView
        What the entries follow.
    claims : ClaimTable
        The claimed runs.
    operations : OperationTable
        The outcomes of the operators' writes.
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
        """Begin to apply the command at a log index."""
        self.index = index
        self._changes = []

    def end(self) -> tuple[Change, ...]:
        """Return the changes that the command has made, in order."""
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
        """Return the outcome of a command that is done."""
        return Accepted(version=self.index)

    def is_current(self, pool: str, epoch: int) -> bool:
        """Return whether an epoch is that of the pool's present dispatcher."""
        lease = self.view.dispatchers.get(pool)
        return lease is not None and lease.epoch == epoch


@singledispatch
def apply_command(command: Command, tables: Tables) -> Outcome:
    """Apply a command to the tables; return what became of it."""
    raise TypeError(f"not a command: {type(command).__name__}")
