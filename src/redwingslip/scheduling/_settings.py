"""Settings of the leader's scheduling."""

from datetime import timedelta
from typing import Annotated

import msgspec

from ..placement import (
    AdmissionSettings,
    ArrivalSettings,
    ForecastSettings,
    LocalitySettings,
    SizingSettings,
)
from ..workers import SpeedSettings
from ._advice import AdviceSettings
from ._agent_settings import VmPolicy

__all__ = [
    "EvacuationSettings",
    "LeaderPolicy",
    "MoveSettings",
    "SchedulingSettings",
    "WaveSettings",
]


FORGET_PASSES_PER_KEEP_TIME = 20


class SchedulingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of placement, retention and takeover.

    Attributes
    ----------
    round_interval : timedelta
        Longest time between two rounds of placement.
    keep_ended : timedelta
        How long an ended job stays in the replicated state.
    max_job_bytes : int or None
        Limit of the memory of all jobs in the replicated state, active and ended,
        counted as decoded. A new job that does not fit is refused. Half of it is
        reserved for jobs of up to 128 KiB. A single larger job is accepted whatever its
        size. None stands for 45 % of the machine's memory.
    max_unconfirmed_vms : int
        Number of VMs that may be in the state though they have not answered the leader
        yet. A further one is taken only if it answers at the address that it reports.
    max_unconfirmed_bytes : int
        The same limit for the total size of the texts that they report.
    takeover_delay : timedelta
        A new leader gives no order for a machine until this long after the last order
        of an earlier leader for it, so that orders of two leaders for one machine
        never interleave (platform contract: the platform's lease time).
    """

    round_interval: timedelta = timedelta(milliseconds=100)
    keep_ended: timedelta = timedelta(seconds=150)
    max_job_bytes: int | None = None
    max_unconfirmed_vms: Annotated[int, msgspec.Meta(ge=1)] = 1_000
    max_unconfirmed_bytes: Annotated[int, msgspec.Meta(ge=1)] = 8 << 20
    takeover_delay: timedelta = timedelta(seconds=3)

    @property
    def forget_interval(self) -> timedelta:
        """Return the time between two removals of ended jobs."""
        return self.keep_ended / FORGET_PASSES_PER_KEEP_TIME

    @property
    def forget_after(self) -> timedelta:
        """Return how long an ended job is kept at most."""
        return self.keep_ended + self.forget_interval


class WaveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of maintenance waves.

    Attributes
    ----------
    interval : timedelta
        Time between two checks of the open waves.
    max_drain : timedelta
        A machine is maintained this long after its cordon even if short tasks still
        run on it.
    down_timeout : timedelta
        A machine that has not come back from its maintenance counts as down for at
        most this long.
    retry_delay : timedelta
        Wait before the retry of an order that the platform did not carry out.
    cycle : timedelta
        Estimated time from the beginning of a machine's drain until it serves again;
        determines the pace of a wave.
    off_cycle : timedelta
        Estimated time for a machine that is switched off and so needs no drain.
    evacuation : timedelta
        Estimated time from the stop of a task until it is known to be at work on
        another VM; determines the pace of a wave.
    safety : float
        Share of a wave's duration that is kept in reserve for orders that are not
        carried out.
    pool_share : float
        A machine in use that the pace of the wave does not require yet is cordoned
        early only if at most this share of its pool's VMs, or one VM, is then cordoned.
    critical_share : float
        Machines whose tasks can leave only a few at a time are cordoned before all
        others if moving these tasks takes more than this share of the time that is
        left for the wave; 0 turns this off.
    """

    interval: timedelta = timedelta(milliseconds=100)
    max_drain: timedelta = timedelta(seconds=4)
    down_timeout: timedelta = timedelta(seconds=12)
    retry_delay: timedelta = timedelta(seconds=1)
    cycle: timedelta = timedelta(seconds=5)
    off_cycle: timedelta = timedelta(milliseconds=2500)
    evacuation: timedelta = timedelta(milliseconds=2500)
    safety: float = 0.35
    pool_share: float = 0.2
    critical_share: float = 0.0


class MoveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the moves of machines between pools.

    Attributes
    ----------
    interval : timedelta
        Time between two checks of the pools.
    list_interval : timedelta
        Time between two requests for the platform's list of machines.
    rest_time : timedelta
        A machine is switched off after it was idle for this long, about the time that
        a move takes.
    arrival_time : timedelta
        A machine that was moved counts as arriving for at most this long.
    survey_time : timedelta
        A new leader plans no move until its VMs have had this much time to answer, or
        until `survey_part` of them have answered.
    survey_part : float
        Share of the VMs whose answers end the survey early.
    max_drain : timedelta
        A machine in use that is to move stays in its pool if its runs have not ended
        after this long.
    off_time : timedelta
        A machine that was switched off is not switched on again before this time has
        passed.
    """

    interval: timedelta = timedelta(milliseconds=100)
    list_interval: timedelta = timedelta(seconds=1)
    rest_time: timedelta = timedelta(milliseconds=1200)
    arrival_time: timedelta = timedelta(seconds=5)
    survey_time: timedelta = timedelta(seconds=1)
    survey_part: float = 0.9
    max_drain: timedelta = timedelta(seconds=4)
    off_time: timedelta = timedelta(milliseconds=2500)


class EvacuationSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the evacuations of data centres, which operators request.

    Attributes
    ----------
    data_centres : tuple of str
        Names of the data centres. An evacuation of any other is refused, unless a VM
        has reported it. With none, every name is accepted.
    start_bound : timedelta
        No task is started in a data centre later than this after the response to the
        request. A warning is logged if start orders are not settled by then.
    ramp : timedelta
        Time after the end of an evacuation over which the share of each VM's capacity
        that new tasks may use grows from `first_share` to all. The VMs may be cold.
    first_share : float
        Share of a VM's capacity that new tasks may use at the beginning of the ramp.
    follows_cold_reports : bool
        Whether a VM that reports that it is cold is filled in the same way, until the
        time that it names.
    """

    data_centres: tuple[str, ...] = ()
    start_bound: timedelta = timedelta(seconds=5)
    ramp: timedelta = timedelta(seconds=3)
    first_share: float = 0.25
    follows_cold_reports: bool = False


class LeaderPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of a leader.

    Attributes
    ----------
    scheduling : SchedulingSettings
        Placement, retention and takeover.
    vms : VmPolicy
        Polls of VMs, and orders to them.
    waves : WaveSettings
        Maintenance waves.
    moves : MoveSettings
        Moves between pools.
    sizing : SizingSettings
        Target sizes of pools.
    arrivals : ArrivalSettings
        Forecast of the load from the arrivals of jobs.
    forecast : ForecastSettings
        Forecast of demand that comes in turns, and reserves of pools.
    advice : AdviceSettings
        Requests to the adviser.
    evacuation : EvacuationSettings
        Evacuations of data centres.
    admission : AdmissionSettings
        Order of jobs under overload.
    locality : LocalitySettings
        Waits for places in the rack of a task's data.
    speeds : SpeedSettings
        Learned speeds of VMs.
    """

    scheduling: SchedulingSettings = SchedulingSettings()
    vms: VmPolicy = VmPolicy()
    waves: WaveSettings = WaveSettings()
    moves: MoveSettings = MoveSettings()
    sizing: SizingSettings = SizingSettings()
    arrivals: ArrivalSettings = ArrivalSettings()
    forecast: ForecastSettings = ForecastSettings()
    advice: AdviceSettings = AdviceSettings()
    evacuation: EvacuationSettings = EvacuationSettings()
    admission: AdmissionSettings = AdmissionSettings()
    locality: LocalitySettings = LocalitySettings()
    speeds: SpeedSettings = SpeedSettings()
