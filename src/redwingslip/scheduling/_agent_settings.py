"""Settings of the leader's agents; each VM has one."""

from datetime import timedelta

import msgspec

from ..workers import (
    HealthSettings,
    LeaseSettings,
    ProgressSettings,
    RunTimeSettings,
)

__all__ = ["AgentSettings", "VmPolicy"]


class AgentSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of polls of VMs and orders to them.

    Attributes
    ----------
    wait : timedelta
        How long a VM may delay its answer to a poll while no run ends (platform
        contract: at most 2 s).
    retry_delay, max_retry_delay : timedelta
        Wait after a poll without an answer; doubles with each further one up to the
        maximum. Orders are retried after `retry_delay` each time. A VM that had no
        capacity for a run gets no new one for `max_retry_delay`.
    gone_after : timedelta
        A VM is removed when it has not answered for this long.
    """

    wait: timedelta = timedelta(milliseconds=1000)
    retry_delay: timedelta = timedelta(milliseconds=100)
    max_retry_delay: timedelta = timedelta(milliseconds=400)
    gone_after: timedelta = timedelta(seconds=20)


class VmPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of an agent.

    Attributes
    ----------
    agents : AgentSettings
        Polls and orders.
    leases : LeaseSettings
        Leases of VMs.
    health : HealthSettings
        When a VM is avoided by placement.
    progress : ProgressSettings
        When a run is restarted on another VM.
    run_times : RunTimeSettings
        Run times learned from finished runs.
    """

    agents: AgentSettings = AgentSettings()
    leases: LeaseSettings = LeaseSettings()
    health: HealthSettings = HealthSettings()
    progress: ProgressSettings = ProgressSettings()
    run_times: RunTimeSettings = RunTimeSettings()
