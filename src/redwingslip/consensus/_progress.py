"""What a leader knows of another member."""

from datetime import timedelta

__all__ = ["HeartbeatRounds", "Progress"]


class Progress:
    """How far a member's log has come.

    Attributes
    ----------
    next_index : int
        The next entry to send; sending does not wait for the answers.
    match_index : int
        Everything up to it is on the member's disk.
    contact : timedelta or None
        When the latest answered heartbeat was sent.
    window_start : int
        Entries in flight are counted from here.
    mismatch_round : int
        Mismatches of earlier rounds than this one have been dealt with.
    snapshot_index : int
        The snapshot that is being sent, 0 for none.
    snapshot_offset : int
        The next part of it.
    """

    __slots__ = (
        "contact_at",
        "incarnation",
        "match_index",
        "mismatch_round",
        "next_index",
        "snapshot_index",
        "snapshot_offset",
        "window_start",
    )

    def __init__(self, incarnation: str, next_index: int) -> None:
        self.incarnation = incarnation
        self.next_index = next_index
        self.match_index = 0
        self.mismatch_round = 0
        self.window_start = next_index - 1
        self.contact_at: timedelta | None = None
        self.snapshot_index = 0
        self.snapshot_offset = 0

    def note_contact(self, sent_at: timedelta | None) -> None:
        """Take the sending time of an answered heartbeat."""
        if sent_at is None:
            return
        if self.contact_at is None or sent_at > self.contact_at:
            self.contact_at = sent_at

    def note_match(self, index: int) -> None:
        """Take what the member acknowledged."""
        self.match_index = max(self.match_index, index)
        self.window_start = max(self.window_start, self.match_index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def note_mismatch(self, hint: int) -> None:
        """Take from where the member wants to have it again."""
        self.window_start = max(self.match_index, hint)
        self.next_index = self.window_start + 1

    def start_snapshot(self, index: int) -> None:
        """Send a snapshot from its beginning."""
        self.snapshot_index = index
        self.snapshot_offset = 0

    def end_snapshot(self) -> None:
        """Go on with entries after the snapshot."""
        self.note_match(self.snapshot_index)
        self.window_start = self.match_index
        self.next_index = self.match_index + 1
        self.snapshot_index = 0


class HeartbeatRounds:
    """When each of the latest heartbeat rounds was sent.

    Parameters
    ----------
    keep : timedelta
        How long a round is of use.
    """

    __slots__ = ("_retention", "_sent_at", "number")

    def __init__(self, retention: timedelta) -> None:
        self._retention = retention
        self._sent_at: dict[int, timedelta] = {}
        self.number = 0

    def begin(self, now: timedelta) -> None:
        """Begin a round."""
        self.number += 1
        self._sent_at[self.number] = now
        oldest = next(iter(self._sent_at))
        if self._sent_at[oldest] < now - self._retention:
            del self._sent_at[oldest]

    def sent_at(self, number: int) -> timedelta | None:
        """Return when a round was sent, or None when that is too long ago."""
        return self._sent_at.get(number)
