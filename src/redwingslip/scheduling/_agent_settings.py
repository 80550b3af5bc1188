"""Settings of the leader's work with VMs."""

from datetime import timedelta

import msgspec

from ..workers import HealthSettings, LeaseSettings, ProgressSettings

__all__ = ["AgentSettings", "VmPolicy"]


class AgentSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How the leader works with VMs.

    Attributes
    ----------
    wait : timedelta
        How long a VM may hold back its answer to a look while no run ends (platform
        contract: at most 2 s).
    retry_delay, max_retry_delay : timedelta
        Wait after a call without an answer; doubles up to the longest.
    gone_after : timedelta
        A VM without contact for this long is forgotten.
    """

    wait: timedelta = timedelta(milliseconds=1000)
    retry_delay: timedelta = timedelta(milliseconds=100)
    max_retry_delay: timedelta = timedelta(milliseconds=400)
    gone_after: timedelta = timedelta(seconds=20)


class VmPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """All the settings of an agent.

    Attributes
    ----------
    agents : AgentSettings
        Looks and orders.
    leases : LeaseSettings
        Leases of runs.
    health : HealthSettings
        When a VM is avoided.
    progress : ProgressSettings
        When a run is begun anew.
    """

    agents: AgentSettings = AgentSettings()
    leases: LeaseSettings = LeaseSettings()
    health: HealthSettings = HealthSettings()
    progress: ProgressSettings = ProgressSettings()
