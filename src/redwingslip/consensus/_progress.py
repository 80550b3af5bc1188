"""The leader's view of a member: replication progress and last contact."""

from datetime import timedelta

__all__ = ["HeartbeatRounds", "Progress"]


class Progress:
    """Replication progress of one member.

    Attributes
    ----------
    next_index : int
        Index of the next entry to send.
    sent_index : int
        Index of the last entry sent to the member since the last mismatch, 0 for none.
    match_index : int
        The member has every entry up to this index on its disk.
    contact_at : timedelta or None
        When the latest answered heartbeat was sent, by the leader's monotonic clock.
    window_start : int
        Index before the first entry that counts as in flight.
    mismatch_round : int
        Mismatches reported for heartbeat rounds before this one are already handled.
    snapshot_index : int
        Index of the snapshot that is being sent, 0 for none.
    snapshot_offset : int
        Offset of the snapshot's next chunk, in bytes.
    """

    __slots__ = (
        "contact_at",
        "incarnation",
        "match_index",
        "mismatch_round",
        "next_index",
        "sent_index",
        "snapshot_index",
        "snapshot_offset",
        "window_start",
    )

    def __init__(self, incarnation: str, next_index: int) -> None:
        self.incarnation = incarnation
        self.next_index = next_index
        self.match_index = 0
        self.sent_index = 0
        self.mismatch_round = 0
        self.window_start = next_index - 1
        self.contact_at: timedelta | None = None
        self.snapshot_index = 0
        self.snapshot_offset = 0

    @property
    def is_awaiting_ack(self) -> bool:
        """Return whether entries were sent that the member has not acknowledged."""
        return self.sent_index > self.match_index

    def note_contact(self, sent_at: timedelta | None) -> None:
        """Record when an answered heartbeat was sent, None if that is unknown."""
        if sent_at is None:
            return
        if self.contact_at is None or sent_at > self.contact_at:
            self.contact_at = sent_at

    def note_match(self, index: int) -> None:
        """Record the index that the member acknowledged."""
        self.match_index = max(self.match_index, index)
        self.window_start = max(self.window_start, self.match_index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def note_mismatch(self, hint: int) -> None:
        """Restart sending after the index that the member gave as a hint."""
        self.window_start = max(self.match_index, hint)
        self.next_index = self.window_start + 1
        self.sent_index = 0

    def note_sent(self, n_entries: int) -> None:
        """Record that the next entries were sent."""
        self.next_index += n_entries
        self.sent_index = self.next_index - 1

    def start_snapshot(self, index: int) -> None:
        """Start to send a snapshot from its first chunk."""
        self.snapshot_index = index
        self.snapshot_offset = 0

    def end_snapshot(self) -> None:
        """Continue with the entries after the installed snapshot."""
        self.note_match(self.snapshot_index)
        self.window_start = self.match_index
        self.next_index = self.match_index + 1
        self.sent_index = 0
        self.snapshot_index = 0


class HeartbeatRounds:
    """The sending times of the latest heartbeat rounds.

    Parameters
    ----------
    retention : timedelta
        How long the sending time of a round is kept.
    """

    __slots__ = ("_retention", "_sent_at", "number")

    def __init__(self, retention: timedelta) -> None:
        self._retention = retention
        self._sent_at: dict[int, timedelta] = {}
        self.number = 0

    def begin(self, now: timedelta) -> None:
        """Begin a new round and discard the oldest one if it has expired."""
        self.number += 1
        self._sent_at[self.number] = now
        oldest = next(iter(self._sent_at))
        if self._sent_at[oldest] < now - self._retention:
            del self._sent_at[oldest]

    def sent_at(self, number: int) -> timedelta | None:
        """Return when a round was sent, None if its time is no longer kept."""
        return self._sent_at.get(number)
