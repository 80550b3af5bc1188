"""The maintenance waves of the replicated state."""

from collections.abc import Iterable

from ._commands import RecordMaintenance, StartWave
from ._records import WaveRecord

__all__ = ["Waves"]


class Waves:
    """The maintenance waves.

    Attributes
    ----------
    by_number : dict of int to WaveRecord
        The waves by their numbers.
    """

    __slots__ = ("by_number",)

    def __init__(self, waves: Iterable[WaveRecord]) -> None:
        self.by_number: dict[int, WaveRecord] = {wave.number: wave for wave in waves}

    def start(self, command: StartWave) -> None:
        """Start a wave unless its number is known."""
        if command.number not in self.by_number:
            self.by_number[command.number] = WaveRecord(
                command.number,
                command.machines,
                command.now_ms + command.duration_ms,
                command.max_at_once,
                command.duration_ms,
            )

    def record(self, command: RecordMaintenance) -> bool:
        """Record the progress of a wave; return whether the wave is known."""
        wave = self.by_number.get(command.number)
        if wave is None:
            return False
        for machine in command.ordered:
            wave.ordered[machine] = command.now_ms
        for machine in command.given_up:
            wave.ordered.pop(machine, None)
        wave.begun.update(command.begun)
        wave.gone.update(command.gone)
        return True

    def is_ordered_since(self, machine: str, unix_ms: int) -> bool:
        """Return whether maintenance of a machine was ordered at a time or later."""
        times = (wave.ordered.get(machine) for wave in self.by_number.values())
        return any(at_ms is not None and at_ms >= unix_ms for at_ms in times)
