"""The lease under which everything on a VM runs, measured on the VM's own clock."""

from datetime import timedelta

import msgspec

__all__ = ["LeaseSettings", "VmLease"]

MS = timedelta(milliseconds=1)


class LeaseSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How runs are leased to a VM.

    Attributes
    ----------
    duration : timedelta
        What a renewal asks for, unless `max_duration` is shorter: long enough for a
        new leader to be elected and to renew, short since the runs of a VM that was
        lost begin anew only after it.
    max_duration : timedelta
        What an endpoint cuts a longer lease to; the longest that a previous leader
        can have given.
    clock_rate_margin : float
        How much slower than true time a VM's clock may run (platform contract: 2 %).
    margin : timedelta
        Added to the end of a lease for timers that fire late.
    contact_timeout : timedelta
        A VM that has not answered for this long gets no new runs.
    """

    duration: timedelta = timedelta(seconds=6)
    max_duration: timedelta = timedelta(seconds=6)
    clock_rate_margin: float = 0.02
    margin: timedelta = timedelta(milliseconds=250)
    contact_timeout: timedelta = timedelta(milliseconds=2200)


class VmLease:
    """Bounds when the runs on one life of a VM have surely lapsed.

    Parameters
    ----------
    cfg : LeaseSettings
        The settings.
    now : timedelta
        Monotonic time at which this leader began; earlier leaders gave leases up to
        then.
    """

    __slots__ = (
        "_cfg",
        "_clock_at",
        "_clock_ms",
        "_lapsed_at",
        "_until_ms",
        "contact_at",
    )

    def __init__(self, cfg: LeaseSettings, now: timedelta) -> None:
        self._cfg = cfg
        self._clock_ms = 0
        self._until_ms = 0
        self._clock_at: timedelta | None = None
        self._lapsed_at = now + self._stretched(cfg.max_duration) + cfg.margin
        self.contact_at = now

    @property
    def has_clock(self) -> bool:
        """Return whether a reading of the VM's clock is known."""
        return self._clock_at is not None

    def note_clock(self, clock_ms: int, received_at: timedelta) -> None:
        """Take a reading of the VM's clock, at most as old as the call it came with."""
        if self._clock_at is not None:
            expected = self._clock_ms + (received_at - self._clock_at) // MS
            # A delayed report reads an older clock than one already known.
            if clock_ms < expected * (1 - self._cfg.clock_rate_margin) - 1000:
                return
        self._clock_ms = clock_ms
        self._clock_at = received_at

    def note_contact(self, now: timedelta) -> None:
        """Take note of an answer of this life."""
        self.contact_at = max(self.contact_at, now)

    def extend(self, now: timedelta) -> int:
        """Return the end of a lease to be sent now, in ms of the VM's clock."""
        elapsed = now - self._clock_at
        duration = min(self._cfg.duration, self._cfg.max_duration)
        until_ms = self._clock_ms + (elapsed + duration) // MS
        left = (until_ms - self._clock_ms) * MS
        lapsed_at = self._clock_at + self._stretched(left) + self._cfg.margin
        self._lapsed_at = max(self._lapsed_at, lapsed_at)
        self._until_ms = max(self._until_ms, until_ms)
        return until_ms

    def last_end_ms(self, now: timedelta) -> int:
        """Return the end of the lease that was sent last.

        A VM that does not answer may still hear what is sent to it: extending its
        lease would keep its runs open for good.
        """
        return self._until_ms or self.extend(now)

    def has_expired(self, now: timedelta) -> bool:
        """Return whether nothing that was started under this lease can be alive."""
        return now >= self._lapsed_at

    def is_in_contact(self, now: timedelta) -> bool:
        """Return whether the VM has answered lately."""
        return now - self.contact_at < self._cfg.contact_timeout

    def _stretched(self, duration: timedelta) -> timedelta:
        return duration / (1 - self._cfg.clock_rate_margin)
