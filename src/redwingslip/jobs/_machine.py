"""The jobs' state as the state machine of the replicated log."""

from collections.abc import Callable

import msgspec

from ._commands import Command
from ._state import JobsState

__all__ = ["JobsMachine", "encode_command"]

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Return a command as the log holds it."""
    return _ENCODER.encode(command)


class JobsMachine:
    """Applies the log's commands to the jobs' state.

    Attributes
    ----------
    state : JobsState
        The replicated state.
    on_applied : callable
        Called with each command after it was applied, and its outcome.
    """

    __slots__ = ("on_applied", "state")

    def __init__(self) -> None:
        self.state = JobsState()
        self.on_applied: Callable[[Command, object], None] = lambda cmd, outcome: None

    def apply(self, index: int, data: bytes) -> object:
        """Apply an encoded command."""
        command = _DECODER.decode(data)
        outcome = self.state.apply(command)
        self.on_applied(command, outcome)
        return outcome

    def skip(self, index: int) -> None:
        """Note an entry that holds no command."""

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return self.state.snapshot()

    def restore(self, index: int, data: bytes) -> None:
        """Take over a snapshot."""
        self.state.restore(data)
