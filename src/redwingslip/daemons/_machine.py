"""The state machine of the replicated log, which holds the fleet's state."""

from collections.abc import Callable

import msgspec

from ..fleet import Change, Command, FleetState, Outcome
from ..leases import ChangeLog

__all__ = ["FleetMachine", "encode_command"]

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Return a command in the encoding of the log."""
    return _ENCODER.encode(command)


class FleetMachine:
    """Applies the log's commands to the fleet's state and keeps the latest changes.

    Attributes
    ----------
    state : FleetState
        The replicated state.
    changes : ChangeLog
        The latest changes of the state's view.
    on_applied : callable
        Called with the changes of each applied command.
    """

    __slots__ = ("changes", "on_applied", "state")

    def __init__(self) -> None:
        self.on_applied: Callable[[tuple[Change, ...]], None] = lambda changes: None
        self.state = FleetState()
        self.changes = ChangeLog()

    def apply(self, index: int, data: bytes) -> Outcome:
        """Apply an encoded command."""
        outcome, changes = self.state.apply(index, _DECODER.decode(data))
        self.changes.add(changes)
        self.on_applied(changes)
        return outcome

    def skip(self, index: int) -> None:
        """Advance the view past a log entry that contains no command."""
        self.state.view.index = index

    def snapshot(self) -> bytes:
        """Return an encoded snapshot of the state."""
        return self.state.snapshot()

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state by a snapshot taken at a log index."""
        self.state.restore(data)
        self.state.view.index = index
        self.changes.restart(index)
