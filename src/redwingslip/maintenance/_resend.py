"""Repetition of outputs at an interval until they have taken effect."""

from collections.abc import Hashable, Iterable
from datetime import timedelta
from typing import TypeVar

__all__ = ["Resender"]

_Output = TypeVar("_Output", bound=Hashable)


class Resender:
    """Selects the outputs that are new or were last sent at least an interval ago.

    Parameters
    ----------
    interval : timedelta
        Time between two transmissions of equal outputs.
    """

    __slots__ = ("_interval", "_sent_at")

    def __init__(self, interval: timedelta) -> None:
        self._interval = interval
        self._sent_at: dict[Hashable, timedelta] = {}

    def select_due(self, outputs: Iterable[_Output], now: timedelta) -> list[_Output]:
        """Return the outputs to send at `now`.

        Outputs that are missing from `outputs` are no longer tracked.
        """
        sent_at = {}
        due = []
        for output in outputs:
            last_sent_at = self._sent_at.get(output)
            if last_sent_at is None or now - last_sent_at >= self._interval:
                due.append(output)
                last_sent_at = now
            sent_at[output] = last_sent_at
        self._sent_at = sent_at
        return due
