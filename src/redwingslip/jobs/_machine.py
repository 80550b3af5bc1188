"""The state machine that the replicated log drives."""

from collections.abc import Callable

import msgspec

from ._commands import Command
from ._state import JobsState
from .exceptions import InvalidCommandError

__all__ = ["JobsMachine", "encode_command"]

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Return a command in the encoding of the log.

    Raises
    ------
    InvalidCommandError
        A value has a type or size that the log does not hold. Such an entry would end
        every replica that applies it, again after each restart.
    """
    try:
        data = _ENCODER.encode(command)
        _DECODER.decode(data)
    except (msgspec.DecodeError, OverflowError, UnicodeError) as exc:
        name = type(command).__name__
        raise InvalidCommandError(f"{name} can't be replicated: {exc}") from exc
    return data


class JobsMachine:
    """Applies the commands of the log to the state of jobs.

    Attributes
    ----------
    state : JobsState
        The replicated state.
    on_applied : callable
        Called with each command and its outcome after the command was applied.
    """

    __slots__ = ("on_applied", "state")

    def __init__(self) -> None:
        self.state = JobsState()
        self.on_applied: Callable[[Command, object], None] = lambda cmd, outcome: None

    def apply(self, index: int, data: bytes) -> object:
        """Apply an encoded command and return its outcome."""
        command = _DECODER.decode(data)
        outcome = self.state.apply(command)
        self.on_applied(command, outcome)
        return outcome

    def skip(self, index: int) -> None:
        """Skip a log entry without a command."""

    def snapshot(self) -> bytes:
        """Return an encoded snapshot of the whole state."""
        return self.state.snapshot()

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state by an encoded snapshot."""
        self.state.restore(data)
