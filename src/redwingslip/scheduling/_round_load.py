"""How much of the leader's time the rounds of placement take."""

from datetime import timedelta

from ..observe import EventName
from ._term import Term

__all__ = ["RoundLoad"]

MS = timedelta(milliseconds=1)
REPORT_INTERVAL = timedelta(seconds=1)
# The leader also polls, orders and commits in the same thread.
MAX_SHARE = 0.25


class RoundLoad:
    """Measures the rounds of placement, and logs when they take much of the time.

    Parameters
    ----------
    term : Term
        The term of this leader.
    """

    __slots__ = ("_busy", "_n_rounds", "_since", "_term")

    def __init__(self, term: Term) -> None:
        self._term = term
        self._since = term.clock.monotonic()
        self._busy = timedelta(0)
        self._n_rounds = 0

    def record(self, began_at: timedelta, ended_at: timedelta) -> None:
        """Record a round; log a warning if the rounds took too large a share.

        Parameters
        ----------
        began_at, ended_at : timedelta
            Monotonic times of the beginning and the end of the round.
        """
        duration = ended_at - began_at
        self._term.metrics.record_placement_round(duration=duration)
        self._busy += duration
        self._n_rounds += 1
        elapsed = ended_at - self._since
        if elapsed < REPORT_INTERVAL:
            return
        if self._busy > MAX_SHARE * elapsed:
            detail = (
                f"{self._n_rounds} rounds of placement took {self._busy / MS:.0f} of "
                f"{elapsed / MS:.0f} ms"
            )
            self._term.emit(EventName.WARNING, detail=detail)
        self._since = ended_at
        self._busy = timedelta(0)
        self._n_rounds = 0
