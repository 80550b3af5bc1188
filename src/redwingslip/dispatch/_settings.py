"""Settings of a dispatcher."""

import enum
from datetime import timedelta

import msgspec

__all__ = ["DispatchSettings", "PolicyName"]


class PolicyName(enum.StrEnum):
    """Names of the policies that order the grants of a pool's slots."""

    WEIGHTED_FAIR = "weighted-fair"
    FIRST_COME = "first-come"
    FIXED_PARTITION = "fixed-partition"


class DispatchSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a dispatcher.

    Attributes
    ----------
    start_window : timedelta
        How long an entry may take to start a call after its permit was granted.
    min_start_window : timedelta
        Shortest start window: no permit is granted when less than this is left of the
        dispatcher's lease.
    clock_margin : timedelta
        Added to times that depend on another process's clock, which may run slower.
    silence : timedelta
        Time since its last report after which an endpoint is unresponsive and gets no
        work.
    repeat : timedelta
        Interval at which a report or proposal is repeated until the view shows it, and
        at which an unchanged demand is reported again.
    demand_interval : timedelta
        Shortest time between two demand messages.
    remember : timedelta
        How long a request that has ended is known after its deadline, so that a
        delayed resend is not granted again.
    half_life : timedelta
        Half-life of the recorded use of slots by a team.
    batch_patience : timedelta
        How long batch requests wait while their team has urgent requests.
    n_urgent_in_a_row : int
        Number of urgent grants of a team after which one batch request goes first, if
        it has waited for `batch_patience`.
    reserve_after : timedelta
        How long a request for several slots, accelerators or memory waits before an
        endpoint is reserved for it.
    early_refusal : bool
        Whether a request is refused as soon as it can't be answered by its deadline.
    refusal_slack : float
        A request is refused on arrival if its estimated wait is more than this many
        times the time that is left for waiting.
    n_learning : int
        Number of runs of a team and queue that must be known before the learned run
        time is used to refuse or demote requests.
    eject_after : int
        Number of requests in a row that must fail on an endpoint to eject it.
    eject_backoff, max_eject_backoff : timedelta
        First and longest time until an ejected endpoint is probed. Each failed probe
        doubles the time.
    unrunnable_after : int
        Number of healthy endpoints on which a request must fail to be refused as
        unrunnable.
    policy : PolicyName
        The policy that orders the grants.
    """

    start_window: timedelta = timedelta(seconds=2)
    min_start_window: timedelta = timedelta(milliseconds=100)
    clock_margin: timedelta = timedelta(milliseconds=500)
    silence: timedelta = timedelta(seconds=3)
    repeat: timedelta = timedelta(seconds=1)
    demand_interval: timedelta = timedelta(milliseconds=100)
    remember: timedelta = timedelta(seconds=30)
    half_life: timedelta = timedelta(seconds=5)
    batch_patience: timedelta = timedelta(seconds=20)
    n_urgent_in_a_row: int = 8
    reserve_after: timedelta = timedelta(seconds=2)
    early_refusal: bool = True
    refusal_slack: float = 3.0
    n_learning: int = 5
    eject_after: int = 5
    eject_backoff: timedelta = timedelta(seconds=5)
    max_eject_backoff: timedelta = timedelta(minutes=5)
    unrunnable_after: int = 3
    policy: PolicyName = PolicyName.WEIGHTED_FAIR
