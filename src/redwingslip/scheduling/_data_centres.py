"""Evacuation of data centres: their long-running tasks move, their starts end."""

from collections import Counter
from datetime import timedelta

from ..observe import EventName
from ._agent import VmAgent
from ._evacuation import Evacuation
from ._machines import MachineRegistry
from ._settings import EvacuationSettings
from ._term import Term

__all__ = ["DataCentreEvacuation"]

REPORT_INTERVAL = timedelta(seconds=1)


class DataCentreEvacuation:
    """Empties the VMs of the data centres that the state names.

    Long-running tasks move one by one, within the disruption budgets of their steps,
    and only to a place that exists. Short ones finish where they run.

    Parameters
    ----------
    term : Term
        The term of this leader.
    machines : MachineRegistry
        Registry of the machines; a VM that a pool needs for a task without another
        place is counted there.
    evacuation : Evacuation
        Stops tasks within their budgets, also for waves, so that both together keep
        them, and finds their next places.
    cfg : EvacuationSettings
        The settings.
    """

    __slots__ = (
        "_cfg",
        "_evacuation",
        "_failure",
        "_late_reported",
        "_machines",
        "_report_due",
        "_reported",
        "_seen_at",
        "_term",
    )

    def __init__(
        self,
        *,
        term: Term,
        machines: MachineRegistry,
        evacuation: Evacuation,
        cfg: EvacuationSettings,
    ) -> None:
        self._term = term
        self._machines = machines
        self._evacuation = evacuation
        self._cfg = cfg
        # Monotonic times at which this leader first saw the evacuations.
        self._seen_at: dict[str, timedelta] = {}
        self._late_reported: set[str] = set()
        self._reported: set[str] = set()
        self._report_due = timedelta(0)
        self._failure = ""

    def advance(self) -> None:
        """Stop the next tasks that can move; an error is logged, and waves go on."""
        try:
            self._advance()
            self._failure = ""
        except Exception as exc:
            if repr(exc) != self._failure:
                detail = f"evacuation of data centres failed: {exc!r}"
                self._term.emit(EventName.WARNING, detail=detail)
            self._failure = repr(exc)

    def _advance(self) -> None:
        started = self._term.state.evacuations.started
        if not started and not self._reported:
            return
        now = self._term.clock.monotonic()
        self._seen_at = {name: self._seen_at.get(name, now) for name in started}
        self._late_reported &= started.keys()
        agents = [a for a in self._machines.agents.values() if a.is_evacuated]
        if agents:
            places = self._evacuation.places
            short_pools = {
                agent.vm.pool
                for agent in sorted(agents, key=lambda agent: agent.vm.vm_id)
                if not self._evacuation.move_off(agent, places)
            }
            # One VM at a time, as the tasks also count as demand of their pools.
            for pool in short_pools:
                self._machines.n_vms_needed[pool] += 1
        self._report_late_starts(agents, now)
        self._report_remaining(agents, now)

    def _report_late_starts(self, agents: list[VmAgent], now: timedelta) -> None:
        """Log, once for each evacuation, the VMs that may still start a task late."""
        for name, seen_at in self._seen_at.items():
            if now - seen_at < self._cfg.start_bound or name in self._late_reported:
                continue
            self._late_reported.add(name)
            vms = [
                agent.vm.vm_id
                for agent in agents
                if agent.vm.data_centre == name and agent.n_unsettled_starts
            ]
            if vms:
                detail = f"starts in evacuated data centre {name} are not settled: "
                self._term.emit(EventName.WARNING, detail=detail + ", ".join(vms))

    def _report_remaining(self, agents: list[VmAgent], now: timedelta) -> None:
        """Set the metrics of what is left in evacuated data centres."""
        started = set(self._term.state.evacuations.started)
        if started == self._reported and now < self._report_due:
            return
        self._report_due = now + REPORT_INTERVAL
        n_vms = Counter(agent.vm.data_centre for agent in agents)
        n_tasks: Counter[str] = Counter()
        for agent in agents:
            n_tasks[agent.vm.data_centre] += self._evacuation.n_long_running(agent)
        # A data centre whose evacuation has ended is set to 0 once.
        for name in started | self._reported:
            self._term.metrics.set_evacuation(
                data_centre=name, n_vms=n_vms[name], n_tasks=n_tasks[name]
            )
        self._reported = started
