"""The replicated state machine of the fleet.

Every replica applies the same commands in the same order. The state machine rejects
each command that would violate an invariant. Races between proposers are therefore
safe: two operators may write the same version, two waves may want the last spare VM,
and two claims may name the same request.
"""

import msgspec

from . import (  # noqa: F401  (each module registers its command handlers)
    _apply_allotments,
    _apply_claims,
    _apply_entries,
    _apply_maintenance,
    _apply_moves,
    _apply_resources,
)
from ._claims import ClaimSnapshot
from ._commands import ClaimKey, Command
from ._operations import Operation
from ._outcomes import ClaimTaken, Outcome
from ._tables import Tables, apply_command
from ._view import Change, FleetView, ViewSnapshot

__all__ = ["FleetState"]


class _StateSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Snapshot of the whole state."""

    view: ViewSnapshot
    claims: ClaimSnapshot
    operations: tuple[Operation, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_StateSnapshot)


class FleetState:
    """The desired state of the fleet and every decision that needs consensus."""

    __slots__ = ("_tables",)

    def __init__(self) -> None:
        self._tables = Tables()

    @property
    def view(self) -> FleetView:
        """Return the view that is replicated to the entries."""
        return self._tables.view

    @property
    def n_claims(self) -> int:
        """Return the number of stored claims."""
        return len(self._tables.claims)

    def claim(self, key: ClaimKey) -> ClaimTaken | None:
        """Return the status of a claimed run, or None when the request id is free."""
        return self._tables.claims.describe_claim(key)

    def apply(self, index: int, command: Command) -> tuple[Outcome, tuple[Change, ...]]:
        """Apply the command at a log index.

        Parameters
        ----------
        index : int
            Must be greater than the index of any command applied before.
        command : Command
            The command to apply.

        Returns
        -------
        outcome : Outcome
            The result of the command, which is the same on every replica.
        changes : tuple of Change
            The rows of the view that were written or removed, in order.
        """
        self._tables.begin(index)
        outcome = apply_command(command, self._tables)
        return outcome, self._tables.end()

    def snapshot(self) -> bytes:
        """Return an encoded snapshot of the whole state."""
        return _ENCODER.encode(
            _StateSnapshot(
                view=self._tables.view.snapshot(),
                claims=self._tables.claims.snapshot(),
                operations=self._tables.operations.snapshot(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state with an encoded snapshot."""
        snapshot = _DECODER.decode(data)
        self._tables.view.restore(snapshot.view)
        self._tables.claims.restore(snapshot.claims)
        self._tables.operations.restore(snapshot.operations)
