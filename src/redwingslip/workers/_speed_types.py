"""Settings, input and output of the learned speeds of machines."""

import math
from collections.abc import Hashable
from datetime import timedelta
from typing import Annotated, NamedTuple

import msgspec

__all__ = ["Excess", "MachineSpeed", "SpeedChange", "SpeedSettings"]


class SpeedSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the learned speeds of VMs.

    Attributes
    ----------
    enabled : bool
        Whether the speeds of VMs are learned, and slow ones get less work.
    slow_below : float
        A VM is slow if its runs make less progress than this share of that of runs on
        other VMs.
    memory : timedelta
        What is known of a VM loses most of its weight in this time, so that one without
        results counts as normal again.
    interval : timedelta
        Time between two estimates.
    retry_interval : timedelta
        A slow VM without a new run for this long gets one like a normal VM, so that its
        recovery is noticed.
    """

    enabled: bool = False
    slow_below: Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.7
    memory: timedelta = timedelta(seconds=60)
    interval: timedelta = timedelta(milliseconds=500)
    retry_interval: timedelta = timedelta(seconds=2)


class Excess(NamedTuple):
    """How much longer a run took, or has taken until now, than expected.

    Attributes
    ----------
    log_ratio : float
        Logarithm of its run time over the expected one.
    deviation : float
        Standard deviation of this logarithm for runs on normal machines.
    step : hashable
        The job's step that the run belongs to.
    is_shared : bool
        Whether runs of the same step share their error, since the expected time comes
        from the caller's estimate.
    """

    log_ratio: float
    deviation: float
    step: Hashable
    is_shared: bool = False


class MachineSpeed(NamedTuple):
    """The estimated speed of a machine.

    Attributes
    ----------
    speed : float
        Progress of its runs in relation to those on normal machines, at most 1.
    error : float
        Standard deviation of the logarithm of the speed.
    success : float
        Share of its runs that succeed, in relation to those of the same steps
        elsewhere.
    is_slow : bool
        Whether it gets less work.
    n_results : int
        Number of results that the estimate is based on.
    known_at : timedelta
        Monotonic time of the last result.
    """

    speed: float
    error: float
    success: float
    is_slow: bool
    n_results: int
    known_at: timedelta

    @property
    def error_factor(self) -> float:
        """Return the factor by which the speed may be off (one standard deviation)."""
        return math.exp(self.error)


class SpeedChange(NamedTuple):
    """A machine that was found to be slow, or normal again."""

    machine: str
    estimate: MachineSpeed
