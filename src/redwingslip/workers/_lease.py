"""The lease for all runs on a VM, measured on the VM's own clock."""

from datetime import timedelta

import msgspec

__all__ = ["LeaseSettings", "VmLease"]

MS = timedelta(milliseconds=1)
# A VM that has answered this recently is not silent.
RECENT_CONTACT = timedelta(milliseconds=500)
# Part of a lease that must be left at the start of a run.
MIN_START_SHARE = 0.5


class LeaseSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the leases of VMs.

    Attributes
    ----------
    duration : timedelta
        Lease duration that a renewal requests, unless `max_duration` is shorter. It
        must be long enough for a new leader to be elected and to renew the lease. It
        should be short, since the runs of a lost VM restart only after its lease has
        expired. A new leader takes the leases of earlier ones to be no longer.
    longest_duration : timedelta
        While `duration` differs between controllers: its longest value on any of them.
    max_duration : timedelta
        Duration to which an endpoint shortens a longer lease.
    clock_rate_margin : float
        Maximum fraction by which a VM's clock runs slower than true time (platform
        contract: 2 %).
    margin : timedelta
        Time added to the end of a lease to allow for timers that fire late.
    contact_timeout : timedelta
        A VM that has not answered for this long gets no new runs.
    """

    duration: timedelta = timedelta(seconds=6)
    longest_duration: timedelta = timedelta(0)
    max_duration: timedelta = timedelta(seconds=6)
    clock_rate_margin: float = 0.02
    margin: timedelta = timedelta(milliseconds=250)
    contact_timeout: timedelta = timedelta(milliseconds=2200)


class VmLease:
    """Bounds the time at which the runs on one incarnation of a VM have expired.

    The bound assumes the slowest clock that the settings allow.

    Parameters
    ----------
    cfg : LeaseSettings
        The settings.
    now : timedelta
        Monotonic time at which this leader began to manage the VM. Earlier leaders may
        have granted leases until then.

    Attributes
    ----------
    contact_at : timedelta
        Monotonic time of the last contact with this incarnation.
    """

    __slots__ = (
        "_cfg",
        "_clock_at",
        "_clock_ms",
        "_expires_at",
        "_last_end_ms",
        "contact_at",
    )

    def __init__(self, cfg: LeaseSettings, now: timedelta) -> None:
        self._cfg = cfg
        self._clock_ms = 0
        self._last_end_ms = 0
        self._clock_at: timedelta | None = None
        # An earlier leader may have extended the lease by a reading of the VM's clock
        # as old as the contact timeout, within which a slow clock falls behind.
        longest = min(max(cfg.duration, cfg.longest_duration), cfg.max_duration)
        age = cfg.contact_timeout
        self._expires_at = now + self._max_true_duration(longest + age) - age
        self._expires_at += cfg.margin
        self.contact_at = now

    @property
    def has_clock(self) -> bool:
        """Return whether the VM's clock has been read."""
        return self._clock_at is not None

    def note_clock(self, clock_ms: int, received_at: timedelta) -> None:
        """Record a reading of the VM's clock.

        Parameters
        ----------
        clock_ms : int
            The VM's clock in milliseconds, read while it handled a call.
        received_at : timedelta
            Monotonic time at which the answer to that call arrived.
        """
        if self._clock_at is not None:
            expected = self._clock_ms + (received_at - self._clock_at) // MS
            # A delayed answer carries an older reading than the known one.
            if clock_ms < expected * (1 - self._cfg.clock_rate_margin) - 1000:
                return
        self._clock_ms = clock_ms
        self._clock_at = received_at

    def note_contact(self, now: timedelta) -> None:
        """Record an answer of this incarnation."""
        self.contact_at = max(self.contact_at, now)

    def extend(self, now: timedelta) -> int:
        """Extend the lease and return its end, to be sent immediately.

        Returns
        -------
        int
            End of the lease in milliseconds of the VM's clock.
        """
        elapsed = now - self._clock_at
        duration = min(self._cfg.duration, self._cfg.max_duration)
        end_ms = self._clock_ms + (elapsed + duration) // MS
        remaining = (end_ms - self._clock_ms) * MS
        expires_at = (
            self._clock_at + self._max_true_duration(remaining) + self._cfg.margin
        )
        self._expires_at = max(self._expires_at, expires_at)
        self._last_end_ms = max(self._last_end_ms, end_ms)
        return end_ms

    def last_end_ms(self, now: timedelta) -> int:
        """Return the last end of the lease that was sent, without extending it.

        This is the lease end for an unresponsive VM. Such a VM may still receive what
        is sent to it, and with an extended lease its runs would never expire. The lease
        is extended only if no end was sent before.
        """
        return self._last_end_ms or self.extend(now)

    def end_for_start(self, now: timedelta) -> int:
        """Return the end of the lease to send with the start of a run.

        A start extends the lease if the VM has just answered, or if little of it is
        left. Else the VM may have fallen silent, and its runs could be restarted only
        later.
        """
        if now - self.contact_at < RECENT_CONTACT:
            return self.extend(now)
        elapsed = now - self._clock_at
        remaining = (self._last_end_ms - self._clock_ms) * MS - elapsed
        if remaining >= self._cfg.duration * MIN_START_SHARE:
            return self._last_end_ms
        return self.extend(now)

    def time_to_expiry(self, now: timedelta) -> timedelta:
        """Return the time until `has_expired`, zero if it has."""
        return max(timedelta(0), self._expires_at - now)

    def has_expired(self, now: timedelta) -> bool:
        """Return whether no run that was started under this lease can be alive."""
        return now >= self._expires_at

    def is_in_contact(self, now: timedelta) -> bool:
        """Return whether the VM has answered within `contact_timeout`."""
        return now - self.contact_at < self._cfg.contact_timeout

    def _max_true_duration(self, duration: timedelta) -> timedelta:
        """Return how long a duration on the slowest clock takes in true time."""
        return duration / (1 - self._cfg.clock_rate_margin)
