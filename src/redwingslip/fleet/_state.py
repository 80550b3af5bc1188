"""The replicated state machine of the fleet.

Every replica applies the same commands in the same order. The state refuses what
would break a promise, so that no race between proposers can: two operators with the
same version, two waves that want the last spare VM, two claims of one request.
"""

import msgspec

from . import (  # noqa: F401  (each registers its commands)
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
    """All of the state."""

    view: ViewSnapshot
    claims: ClaimSnapshot
    operations: tuple[Operation, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_StateSnapshot)


class FleetState:
    """The fleet's desired state and every decision that must be exact."""

    __slots__ = ("_tables",)

    def __init__(self) -> None:
        self._tables = Tables()

    @property
    def view(self) -> FleetView:
        """Return what the entries follow."""
        return self._tables.view

    @property
    def n_claims(self) -> int:
        """Return how many claims are kept."""
        return len(self._tables.claims)

    def claim(self, key: ClaimKey) -> ClaimTaken | None:
        """Return what is known of a claimed run, or None when the id is free."""
        return self._tables.claims.describe(key)

    def apply(self, index: int, command: Command) -> tuple[Outcome, tuple[Change, ...]]:
        """Apply the command at a log index.

        Parameters
        ----------
        index : int
            Greater than that of any command applied before.
        command : Command
            What to do.

        Returns
        -------
        outcome : Outcome
            What became of it, the same on every replica.
        changes : tuple of Change
            The rows of the view that are new, in order.
        """
        self._tables.begin(index)
        outcome = apply_command(command, self._tables)
        return outcome, self._tables.end()

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        return _ENCODER.encode(
            _StateSnapshot(
                view=self._tables.view.snapshot(),
                claims=self._tables.claims.snapshot(),
                operations=self._tables.operations.snapshot(),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace everything by an encoded snapshot."""
        snapshot = _DECODER.decode(data)
        self._tables.view.restore(snapshot.view)
        self._tables.claims.restore(snapshot.claims)
        self._tables.operations.restore(snapshot.operations)
