"""The collected outputs of a dispatcher."""

from ..observe._events import Event, EventName
from ._outputs import Emitted, Output

__all__ = ["Outbox"]


class Outbox:
    """Collects the outputs of one dispatcher in order."""

    __slots__ = ("_epoch", "_outputs", "_pool")

    def __init__(self, *, pool: str, epoch: int) -> None:
        self._pool = pool
        self._epoch = epoch
        self._outputs: list[Output] = []

    def put(self, output: Output) -> None:
        """Add an output."""
        self._outputs.append(output)

    def emit(self, name: EventName, **fields: str) -> None:
        """Add an event of this pool and epoch."""
        event = Event(name=name, pool=self._pool, epoch=self._epoch, **fields)
        self._outputs.append(Emitted(event=event))

    def take(self) -> list[Output]:
        """Return and clear the outputs since the last call."""
        outputs, self._outputs = self._outputs, []
        return outputs
