"""Settings of the delegation of calls."""

from datetime import timedelta

import msgspec

__all__ = ["DelegationSettings"]


class DelegationSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How the leader has other controllers call VMs for it.

    Attributes
    ----------
    min_vms : int
        In a fleet with fewer VMs, the leader calls the VMs itself, except those that it
        does not reach.
    renew_interval : timedelta
        Interval at which a delegate renews its lease.
    silence : timedelta
        The leader drops a delegate that has not shown for this time that it holds a
        lease.
    max_lag, rest_time : timedelta
        A delegate whose event loop is later than `max_lag` gets no orders for
        `rest_time`, while there are others.
    detour_time : timedelta
        A VM that a controller did not reach is called by others for this time.
    settle_time : timedelta
        A new leader waits at most this long for delegates before it calls VMs itself.
    reply_timeout : timedelta
        An order counts as lost if no reply arrives within this time after the VM had
        to answer.
    batch_delay : timedelta
        Orders, and replies, are collected for this time and sent together.
    max_in_flight : int
        Orders that a delegate carries out at the same time; it refuses more.
    """

    min_vms: int = 100
    renew_interval: timedelta = timedelta(milliseconds=100)
    silence: timedelta = timedelta(milliseconds=450)
    max_lag: timedelta = timedelta(milliseconds=100)
    rest_time: timedelta = timedelta(seconds=2)
    detour_time: timedelta = timedelta(seconds=10)
    settle_time: timedelta = timedelta(milliseconds=200)
    reply_timeout: timedelta = timedelta(milliseconds=1200)
    batch_delay: timedelta = timedelta(milliseconds=2)
    max_in_flight: int = 4000
