"""Settings of the planners."""

from datetime import timedelta

import msgspec

__all__ = ["MoveSettings", "WaveSettings"]


class WaveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How maintenance waves are driven.

    Attributes
    ----------
    propose_again : timedelta
        Time after which a command that shows no effect is proposed again.
    order_again : timedelta
        Time after which a reboot order without an answer is sent again.
    failure_window : timedelta
        Failures that fall into one such window form a cluster.
    n_failures_to_hold : int
        Size of the cluster at which the waves take no further VM.
    n_failures_to_go_on : int
        VMs of a cluster that may still be down when the waves go on.
    calm : timedelta
        Time without a new failure before the waves go on.
    give_up_after : timedelta
        Time without a new failure after which the waves go on although VMs of the
        cluster are still down.
    n_refusals : int
        Refusals of one reboot after which it is ordered no more.
    refusal_wait : timedelta
        Time from the last order of a refused reboot until the VM is given back. It
        must exceed the longest time that an entry or the platform holds an order.
    overdue_after : timedelta
        Time from the reboot after which a VM that does not serve is overdue.
    """

    propose_again: timedelta = timedelta(seconds=2)
    order_again: timedelta = timedelta(seconds=5)
    failure_window: timedelta = timedelta(seconds=60)
    n_failures_to_hold: int = 3
    n_failures_to_go_on: int = 1
    calm: timedelta = timedelta(seconds=60)
    give_up_after: timedelta = timedelta(minutes=10)
    n_refusals: int = 3
    refusal_wait: timedelta = timedelta(minutes=20)
    overdue_after: timedelta = timedelta(minutes=5)


class MoveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How VMs are moved between pools.

    Attributes
    ----------
    propose_again : timedelta
        Time after which a command that shows no effect is proposed again.
    window : timedelta
        Length of the windows over which demand is judged; a peak that is shorter
        leaves no trace.
    n_windows : int
        Windows in a row that must agree before a VM is lent or given back.
    peak_part : float
        Part of a window that peaks may take when idle slots are judged.
    horizon : timedelta
        How long a shortage is taken to last when its cost is set against the price
        of a move.
    n_slots_reserved : int
        Slots that must stay idle in a pool that gives a VM back.
    """

    propose_again: timedelta = timedelta(seconds=2)
    window: timedelta = timedelta(seconds=60)
    n_windows: int = 5
    peak_part: float = 0.25
    horizon: timedelta = timedelta(minutes=10)
    n_slots_reserved: int = 8
