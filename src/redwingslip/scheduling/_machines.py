"""The machines under the VMs, who may order something for one, and how."""

import asyncio
from collections import Counter
from collections.abc import Coroutine, Mapping
from datetime import timedelta

from ._agent import VmAgent
from ._job_index import PoolBacklog
from ._ports import MachineOutcome, VmOperations
from ._settings import LeaderPolicy
from ._term import Term

__all__ = ["MachineManager", "MachineRegistry"]

MS = timedelta(milliseconds=1)
# How much older than it is an order may seem: two changes of leader, each of which can
# move the steady time of the log by `MAX_STEP_MS`.
AGE_MARGIN = timedelta(seconds=1)


class MachineRegistry:
    """Keeps moves and maintenance from meeting at one machine.

    A claimed machine gets no new runs.

    Parameters
    ----------
    term : Term
        The leadership.
    agents : mapping of str to VmAgent
        The leader's agents.
    takeover_delay : timedelta
        A new leader leaves a machine alone for this long for which an earlier one may
        have given its last order a moment ago.

    Attributes
    ----------
    wanted : Counter
        VMs by pool that are missing for tasks which have to leave theirs.
    is_short : bool
        Whether a pool needs more machines than it has.
    """

    __slots__ = (
        "_claims",
        "_held_until",
        "_takeover_delay",
        "_term",
        "agents",
        "is_short",
        "n_vms_needed",
    )

    def __init__(
        self,
        term: Term,
        agents: Mapping[str, VmAgent],
        *,
        takeover_delay: timedelta,
    ) -> None:
        self._term = term
        self._takeover_delay = takeover_delay
        self._claims: dict[str, object] = {}
        self._held_until = self._inherited_holds()
        self.agents = agents
        self.n_vms_needed: Counter[str] = Counter()
        self.is_short = False

    def _inherited_holds(self) -> dict[str, timedelta]:
        """Return when the machines are free for which others gave orders lately."""
        held_until = {}
        for machine, age_ms in self._term.state.machine_orders.ages_ms():
            age = max(timedelta(0), age_ms * MS - AGE_MARGIN)
            if age < self._takeover_delay:
                held_until[machine] = self._term.started_at + self._takeover_delay - age
        return held_until

    def may_order(self, machine: str) -> bool:
        """Return whether this leader may give orders for a machine now."""
        if not self._term.is_leading():
            return False
        held_until = self._held_until.get(machine)
        return held_until is None or self._term.clock.monotonic() >= held_until

    def claim(self, machine: str, claimant: object) -> bool:
        """Claim a machine; return False when it is another's."""
        return self._claims.setdefault(machine, claimant) is claimant

    def release(self, machine: str, claimant: object) -> None:
        """Give a claim up, if it is the claimant's."""
        if self._claims.get(machine) is claimant:
            del self._claims[machine]

    def is_claimed(self, machine: str) -> bool:
        """Return whether a machine is about to be moved or maintained."""
        return machine in self._claims

    def agent_on(self, machine: str) -> VmAgent | None:
        """Return the agent of the newest life on a machine, None for none."""
        agents = [a for a in self.agents.values() if a.vm.machine == machine]
        return max(agents, key=lambda agent: agent.vm.born_ms, default=None)


class MachineManager:
    """Base of those that order something for machines.

    Parameters
    ----------
    term : Term
        The leadership.
    machines : MachineBook
        The machines, and who may order something for one.
    operations : VmOperations
        Calls to the platform.
    backlog : mapping of str to PoolBacklog
        What waits for room in each pool.
    cfg : LeaderPolicy
        The settings.
    """

    def __init__(
        self,
        *,
        term: Term,
        machines: MachineRegistry,
        operations: VmOperations,
        backlog: Mapping[str, PoolBacklog],
        cfg: LeaderPolicy,
    ) -> None:
        self._term = term
        self._state = term.state
        self._machines = machines
        self._operations = operations
        self._backlog = backlog
        self._cfg = cfg
        self._orders: dict[str, asyncio.Task] = {}
        self._init_state()

    def _init_state(self) -> None:
        """Make what a keeper remembers beside its orders."""
        raise NotImplementedError

    def _begin_order(self, machine: str, work: Coroutine[None, None, None]) -> None:
        """Carry an order out; a machine has one at a time."""
        task = asyncio.create_task(work, name=f"order for {machine}")
        self._orders[machine] = task
        task.add_done_callback(lambda _: self._end_order(machine))

    def _end_order(self, machine: str) -> None:
        del self._orders[machine]

    def _cancel_orders(self) -> None:
        for task in self._orders.values():
            task.cancel()

    def _count_outcome(self, kind: str, outcome: MachineOutcome) -> None:
        """Count an order."""
        self._term.metrics.add_machine_order(kind=kind, outcome=outcome.value)
