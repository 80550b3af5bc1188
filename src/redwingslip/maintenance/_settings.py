"""Settings of the planners."""

from datetime import timedelta

import msgspec

__all__ = ["MoveSettings", "WaveSettings"]


class WaveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the planner of maintenance waves.

    Attributes
    ----------
    propose_again : timedelta
        Time after which a command without effect is proposed again.
    order_again : timedelta
        Time after which a reboot order without an answer is sent again.
    failure_window : timedelta
        Length of the window in which failures count as one cluster.
    n_failures_to_hold : int
        Number of failures in a window at which the waves are held.
    n_failures_to_go_on : int
        Maximum number of failed VMs with which held waves resume.
    calm : timedelta
        Time without a new failure after which held waves resume, if no more than
        `n_failures_to_go_on` VMs are down.
    give_up_after : timedelta
        Time without a new failure after which held waves resume, however many VMs
        are still down.
    n_refusals : int
        Number of refusals after which a reboot is not ordered again.
    refusal_wait : timedelta
        Time from the last order of a refused reboot until the VM returns to service.
        It must exceed the longest time that an entry or the platform holds an order.
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
    """Settings of the planner of moves between pools.

    Attributes
    ----------
    propose_again : timedelta
        Time after which a command without effect is proposed again.
    window : timedelta
        Length of the windows in which demand is evaluated. Shorter peaks of demand
        don't count as a shortage.
    n_windows : int
        Number of consecutive windows that must agree before a VM is lent or returned.
    peak_part : float
        Fraction of a window's samples that may be peaks when idle slots are counted.
    horizon : timedelta
        Assumed duration of a shortage when its cost is compared with the price of a
        move.
    n_slots_reserved : int
        Number of slots that must stay idle in a pool that returns a VM.
    """

    propose_again: timedelta = timedelta(seconds=2)
    window: timedelta = timedelta(seconds=60)
    n_windows: int = 5
    peak_part: float = 0.25
    horizon: timedelta = timedelta(minutes=10)
    n_slots_reserved: int = 8
