"""Settings of a dispatcher."""

import enum
from datetime import timedelta

import msgspec

__all__ = ["DispatchSettings", "PolicyName"]


class PolicyName(enum.StrEnum):
    """The orders in which a pool's slots can be given out."""

    WEIGHTED_FAIR = "weighted-fair"
    FIRST_COME = "first-come"
    FIXED_PARTITION = "fixed-partition"


class DispatchSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a dispatcher may decide by itself.

    Attributes
    ----------
    start_window : timedelta
        How long an entry may take to start a call after its permit was granted.
    min_start_window : timedelta
        No permit is granted when the dispatcher's lease leaves less than this.
    clock_margin : timedelta
        Added wherever another process's clock may run slower than this one.
    silence : timedelta
        An endpoint that was not heard for this long gets no work.
    repeat : timedelta
        How often something is said again until the view shows it.
    demand_interval : timedelta
        The shortest time between two demand messages.
    remember : timedelta
        How long an ended request is known after its deadline, so that a late resend
        is not granted again.
    half_life : timedelta
        How fast the use of slots by a team is forgotten.
    batch_patience : timedelta
        How long batch work waits while its team has urgent work.
    n_urgent_in_a_row : int
        Urgent grants of a team after which one batch request goes first that has
        waited for longer than that.
    reserve_after : timedelta
        How long a request that is larger than one slot is passed by others before an
        endpoint is kept free for it.
    early_refusal : bool
        Whether a request is refused once it can't be answered by its deadline.
    refusal_slack : float
        How many times the time left a wait must be estimated at to refuse at once.
    n_learning : int
        Runs of a queue seen before its learned run time refuses anything.
    eject_after : int
        Requests that must fail on an endpoint in a row to eject it.
    eject_backoff, max_eject_backoff : timedelta
        Time until an ejected endpoint is probed, doubled by each failed probe.
    unrunnable_after : int
        Healthy endpoints on which a request must fail to be unrunnable.
    policy : PolicyName
        The order in which slots are given out.
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
