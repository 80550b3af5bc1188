"""What the log replicates."""

from typing import Protocol

__all__ = ["StateMachine"]


class StateMachine(Protocol):
    """A deterministic state machine. It is called from the event loop only."""

    def apply(self, index: int, data: bytes) -> object:
        """Apply a command and return its outcome, the same on every replica."""

    def skip(self, index: int) -> None:
        """Note an entry that holds no command."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, index: int, data: bytes) -> None:
        """Take over a state that `snapshot` returned after the entry `index`."""
