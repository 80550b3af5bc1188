"""Settings of a leader's scheduling."""

from datetime import timedelta

import msgspec

from ..placement import SizingSettings
from ._advice import AdviceSettings
from ._agent_settings import VmPolicy
from ._moves import MoveSettings
from ._waves import WaveSettings

__all__ = ["LeaderPolicy", "SchedulingSettings"]


class SchedulingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How the leader schedules.

    Attributes
    ----------
    round_interval : timedelta
        Longest time between two rounds of placement.
    keep_ended : timedelta
        How long an ended job is remembered.
    """

    round_interval: timedelta = timedelta(milliseconds=100)
    keep_ended: timedelta = timedelta(seconds=150)


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
    advice : AdviceSettings
        Questions to advisers.
    """

    scheduling: SchedulingSettings = SchedulingSettings()
    vms: VmPolicy = VmPolicy()
    waves: WaveSettings = WaveSettings()
    moves: MoveSettings = MoveSettings()
    sizing: SizingSettings = SizingSettings()
    advice: AdviceSettings = AdviceSettings()
