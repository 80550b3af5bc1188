"""Settings of the order of jobs and of their admission under overload."""

from datetime import timedelta

import msgspec

__all__ = ["AdmissionSettings"]


class AdmissionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the job order and of admission under overload.

    Attributes
    ----------
    enabled : bool
        Whether the other settings of this section have any effect.
    order : bool
        Whether jobs that can't all finish in time are ordered by what they are worth
        and by the shares of their customers.
    interval : timedelta
        Shortest time between two decisions about the same pool.
    arrival_delay : timedelta
        Time from the order to move a machine until it serves.
    borrowed_share : float
        Share of the idle machines of other pools, and of those that are switched off,
        that counts as capacity after `arrival_delay`.
    planned_share : float
        Share of a pool's capacity that is planned for jobs that are to finish in time.
        The rest covers what no task fits into and estimates that are too low.
    max_correction : float
        Learned run times count as at most this many times the caller's estimate, and at
        least the same fraction of it.
    path_margin : float
        A job is planned to start this many times its critical path before it is due,
        since run times differ from estimates.
    nearly_done : float
        A job that has begun is not deferred if at most this share of its work remains.
    large_share : float
        Share of a pool's capacity for the largest tenth of each queue's jobs while they
        would all be deferred.
    refuse : bool
        Whether jobs are refused that would end after all use of their result, at three
        times the time from their acceptance to their deadline.
    protect : bool
        Whether jobs of customers over their share are refused while accepted jobs
        would miss their deadlines for them, and those that are worth less for their
        work than what the capacity holds. It needs `order` and `refuse`.
    price_window : timedelta
        Time over which arrivals count to tell what jobs must be worth.
    grace : timedelta
        A new leader refuses nothing for this long, in which its VMs answer and machines
        that an earlier leader has moved arrive.
    max_retry : timedelta
        Longest time after which the caller of a refused job is told to try again.
    """

    enabled: bool = False
    order: bool = True
    interval: timedelta = timedelta(milliseconds=200)
    arrival_delay: timedelta = timedelta(milliseconds=2500)
    borrowed_share: float = 0.5
    planned_share: float = 0.9
    max_correction: float = 3.0
    path_margin: float = 1.7
    nearly_done: float = 0.25
    large_share: float = 0.1
    refuse: bool = True
    protect: bool = True
    price_window: timedelta = timedelta(milliseconds=1500)
    grace: timedelta = timedelta(seconds=2)
    max_retry: timedelta = timedelta(seconds=30)
