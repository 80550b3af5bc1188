"""How much of the leader's time the rounds of placement take, and its bound."""

from datetime import timedelta

from ..observe import EventName
from ._term import Term

__all__ = ["RoundLoad"]

MS = timedelta(milliseconds=1)
REPORT_INTERVAL = timedelta(seconds=1)
# The leader also polls, orders and commits in the same thread.
MAX_SHARE = 0.25
# Rounds pause so that they take this share of the time, which leaves the others of the
# thread their part.
PACED_SHARE = 0.1
# The longest time for which a pause may delay a task that could start.
MAX_PAUSE = timedelta(milliseconds=50)


class RoundLoad:
    """Paces the rounds of placement, and logs when they take much of the time.

    The leader begins a round after each answer of a VM and each commit. A round places
    all that waits, so that under load one round for several of them does the same work.

    Parameters
    ----------
    term : Term
        The term of this leader.
    """

    __slots__ = ("_busy", "_n_rounds", "_next_at", "_since", "_term")

    def __init__(self, term: Term) -> None:
        self._term = term
        self._since = term.clock.monotonic()
        self._busy = timedelta(0)
        self._n_rounds = 0
        self._next_at = self._since

    def pause(self, now: timedelta) -> timedelta:
        """Return the time to wait before the next round, zero if it may begin."""
        return max(timedelta(0), self._next_at - now)

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
        self._next_at = ended_at + min(MAX_PAUSE, duration / PACED_SHARE - duration)
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
