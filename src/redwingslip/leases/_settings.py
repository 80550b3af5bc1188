"""Settings of the entries' leases."""

from datetime import timedelta

import msgspec

__all__ = ["LeaseSettings"]


class LeaseSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How long leases last.

    Attributes
    ----------
    duration : timedelta
        From the moment an entry asks for its lease.
    renewal : timedelta
        How often it asks again.
    margin : timedelta
        What the leader adds before it takes a lease for ended, for clock rates.
    """

    duration: timedelta = timedelta(milliseconds=1500)
    renewal: timedelta = timedelta(milliseconds=300)
    margin: timedelta = timedelta(milliseconds=200)
