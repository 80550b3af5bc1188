"""Interface of the replicated state machine."""

from typing import Protocol

__all__ = ["StateMachine"]


class StateMachine(Protocol):
    """A deterministic state machine, called only from the event loop."""

    def apply(self, index: int, data: bytes) -> object:
        """Apply a command and return its outcome, the same on every replica."""

    def skip(self, index: int) -> None:
        """Record the index of an entry that holds no command."""

    def snapshot(self) -> bytes:
        """Return an encoded snapshot of the state."""

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state by one that `snapshot` returned after entry `index`."""
