"""Settings of a leader's scheduling."""

from datetime import timedelta

import msgspec

from ..placement import ArrivalSettings, SizingSettings
from ._advice import AdviceSettings
from ._agent_settings import VmPolicy

__all__ = ["LeaderPolicy", "MoveSettings", "SchedulingSettings", "WaveSettings"]


class SchedulingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How the leader schedules.

    Attributes
    ----------
    round_interval : timedelta
        Longest time between two rounds of placement.
    keep_ended : timedelta
        How long an ended job is remembered.
    takeover_delay : timedelta
        A new leader leaves a machine alone for this long for which an earlier one may
        have given its last order a moment ago, so that two leaders never take turns
        at one (platform contract: its lease time).
    """

    round_interval: timedelta = timedelta(milliseconds=100)
    keep_ended: timedelta = timedelta(seconds=150)
    takeover_delay: timedelta = timedelta(seconds=3)


class WaveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How maintenance waves are carried out.

    Attributes
    ----------
    interval : timedelta
        Time between two looks at the open waves.
    max_drain : timedelta
        A machine is maintained after this long, though short tasks still run on it.
    down_timeout : timedelta
        A machine that has not come back counts as down for at most this long.
    retry_delay : timedelta
        Wait before an order is repeated that the platform did not carry out.
    cycle : timedelta
        What one machine takes from the beginning of its drain until it serves again,
        for the pace of a wave.
    off_cycle : timedelta
        The same of a machine that is off, and so needs no drain.
    evacuation : timedelta
        What one task takes from its stop until it is known to be at work elsewhere,
        for the pace of a wave.
    safety : float
        Part of a wave's time that is kept back for orders that are not carried out.
    pool_share : float
        Part of a pool's VMs that may be away at once while the pace allows a choice.
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


class MoveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How machines are moved between pools.

    Attributes
    ----------
    interval : timedelta
        Time between two looks at the pools.
    list_interval : timedelta
        Time between two readings of the platform's list of machines.
    rest_time : timedelta
        A machine is switched off when it was idle for this long, about a move's time.
    arrival_time : timedelta
        A machine that was moved counts as on its way for at most this long.
    survey_time : timedelta
        A new leader moves nothing before its VMs have had this time to answer, or
        before most have answered.
    survey_part : float
        Part of the VMs that are most.
    off_time : timedelta
        A machine that was switched off is not asked for again before.
    """

    interval: timedelta = timedelta(milliseconds=100)
    list_interval: timedelta = timedelta(seconds=1)
    rest_time: timedelta = timedelta(milliseconds=1200)
    arrival_time: timedelta = timedelta(seconds=5)
    survey_time: timedelta = timedelta(seconds=1)
    survey_part: float = 0.9
    off_time: timedelta = timedelta(milliseconds=2500)


class LeaderPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """All the settings of a leader.

    Attributes
    ----------
    scheduling : SchedulingSettings
        Rounds of placement.
    vms : VmPolicy
        Work with VMs.
    waves : WaveSettings
        Maintenance waves.
    moves : MoveSettings
        Moves between pools.
    sizing : SizingSettings
        Sizes of pools.
    arrivals : ArrivalSettings
        What arrivals let expect.
    advice : AdviceSettings
        Questions to advisers.
    """

    scheduling: SchedulingSettings = SchedulingSettings()
    vms: VmPolicy = VmPolicy()
    waves: WaveSettings = WaveSettings()
    moves: MoveSettings = MoveSettings()
    sizing: SizingSettings = SizingSettings()
    arrivals: ArrivalSettings = ArrivalSettings()
    advice: AdviceSettings = AdviceSettings()
