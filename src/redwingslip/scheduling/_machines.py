"""The machines that VMs run on: claims, takeover and orders to the platform."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from datetime import timedelta

from ..workers import HealthSettings
from ._agent import VmAgent
from ._ejections import ejected_vms
from ._job_index import PoolBacklog
from ._ports import MachineOperations, MachineOutcome
from ._ramp import CapacityRamp
from ._settings import EvacuationSettings, LeaderPolicy
from ._speeds import VmSpeeds
from ._term import Term

__all__ = ["MachineManager", "MachineRegistry"]

MS = timedelta(milliseconds=1)
# Each change of leader may make an order appear older than it is, by at most
# `MAX_STEP_MS` (see `MachineOrders`). This margin covers two changes.
AGE_MARGIN = timedelta(seconds=1)
# A machine that was recalled is not claimed again for this long, in which runs on it
# are stopped and a task is placed there.
RECALL_TIME = timedelta(seconds=1)


class MachineRegistry:
    """Registry of the machines and of the claims on them.

    A machine has at most one claimant, so that it is never moved and maintained at the
    same time. A claimed machine gets no new runs.

    Parameters
    ----------
    term : Term
        The term of this leader.
    agents : mapping of str to VmAgent
        The leader's agents by VM.
    takeover_delay : timedelta
        This leader gives no order for a machine until this long after the last order
        of an earlier leader for it.
    max_ejected_share : float
        Largest share of a pool's VMs that may be ejected.
    evacuation : EvacuationSettings or None
        Evacuations of data centres; None for the default.
    speeds : VmSpeeds or None
        Learned speeds of VMs; None if all count as equally fast.

    Attributes
    ----------
    n_vms_needed : Counter
        By pool, the number of tasks that must leave their machine before its
        maintenance but fit on no other VM. Each of them needs an additional VM.
    is_short : bool
        Whether any pool needs more machines than it has.
    ramp : CapacityRamp
        What new tasks may use of VMs whose data centre was evacuated lately.
    """

    __slots__ = (
        "_claims",
        "_held_until",
        "_kept_until",
        "_max_ejected_share",
        "_recalls",
        "_speeds",
        "_takeover_delay",
        "_term",
        "agents",
        "is_short",
        "n_vms_needed",
        "ramp",
    )

    def __init__(
        self,
        term: Term,
        agents: Mapping[str, VmAgent],
        *,
        takeover_delay: timedelta,
        max_ejected_share: float = HealthSettings().max_ejected_share,
        evacuation: EvacuationSettings | None = None,
        speeds: VmSpeeds | None = None,
    ) -> None:
        self._term = term
        self._speeds = speeds
        self._takeover_delay = takeover_delay
        self._max_ejected_share = max_ejected_share
        self._claims: dict[str, object] = {}
        self._recalls: dict[str, Callable[[str], bool]] = {}
        self._kept_until: dict[str, timedelta] = {}
        self._held_until = self._inherited_holds()
        self.agents = agents
        self.n_vms_needed: Counter[str] = Counter()
        self.is_short = False
        self.ramp = CapacityRamp(term, evacuation or EvacuationSettings())

    def _inherited_holds(self) -> dict[str, timedelta]:
        """Return when the takeover delay of each recently ordered machine ends."""
        held_until = {}
        for machine, age_ms in self._term.state.machine_orders.ages_ms():
            age = max(timedelta(0), age_ms * MS - AGE_MARGIN)
            if age < self._takeover_delay:
                held_until[machine] = self._term.started_at + self._takeover_delay - age
        return held_until

    def may_order(self, machine: str) -> bool:
        """Return whether this leader may give orders for a machine at present."""
        if not self._term.is_leading():
            return False
        held_until = self._held_until.get(machine)
        return held_until is None or self._term.clock.monotonic() >= held_until

    def claim(
        self,
        machine: str,
        claimant: object,
        on_recall: Callable[[str], bool] | None = None,
    ) -> bool:
        """Claim a machine; return False if it can't be claimed at present.

        Parameters
        ----------
        machine : str
            The machine.
        claimant : object
            The new holder of the claim.
        on_recall : callable or None
            Called with the machine to have the claim released. It returns whether it
            was; no order for the machine may be in progress then. A claim without it
            is never recalled.
        """
        kept_until = self._kept_until.get(machine)
        if kept_until is not None:
            if self._term.clock.monotonic() < kept_until:
                return False
            del self._kept_until[machine]
        if self._claims.setdefault(machine, claimant) is not claimant:
            return False
        if on_recall is not None:
            self._recalls[machine] = on_recall
        return True

    def release(self, machine: str, claimant: object) -> None:
        """Release a machine if the claimant holds it."""
        if self._claims.get(machine) is claimant:
            del self._claims[machine]
            self._recalls.pop(machine, None)

    def keep(self, machine: str, until: timedelta) -> None:
        """Let nothing claim a machine before a monotonic time."""
        self._kept_until[machine] = max(until, self._kept_until.get(machine, until))

    def recall(self, machine: str) -> bool:
        """Have the claim on a machine released; return whether it was.

        The machine is then not claimed again for `RECALL_TIME`.
        """
        on_recall = self._recalls.get(machine)
        if on_recall is None or not on_recall(machine):
            return False
        self.keep(machine, self._term.clock.monotonic() + RECALL_TIME)
        return True

    def is_claimed(self, machine: str) -> bool:
        """Return whether a machine is to be moved or maintained."""
        return machine in self._claims

    def ejected_vms(self, now: timedelta) -> frozenset[str]:
        """Return the VMs that get no new runs since their runs fail."""
        return ejected_vms(self.agents, now, max_share=self._max_ejected_share)

    def speed(self, vm_id: str) -> float:
        """Return the speed of a VM that is known to be slow, and 1 for any other."""
        return 1.0 if self._speeds is None else self._speeds.speed(vm_id)

    def speed_of_machine(self, machine: str) -> float:
        """Return the speed of a slow machine, and 1 for any other."""
        return 1.0 if self._speeds is None else self._speeds.speed_of_machine(machine)

    def agent_on(self, machine: str) -> VmAgent | None:
        """Return the agent of the newest incarnation on a machine, or None."""
        agents = [a for a in self.agents.values() if a.vm.machine == machine]
        return max(agents, key=lambda agent: agent.vm.born_ms, default=None)


class MachineManager:
    """Base of the managers that give orders for machines.

    Parameters
    ----------
    term : Term
        The term of this leader.
    machines : MachineRegistry
        Registry of the machines and their claims.
    operations : MachineOperations
        Client of the platform.
    backlog : mapping of str to PoolBacklog
        Unplaced tasks of each pool.
    cfg : LeaderPolicy
        The settings.
    """

    def __init__(
        self,
        *,
        term: Term,
        machines: MachineRegistry,
        operations: MachineOperations,
        backlog: Mapping[str, PoolBacklog],
        cfg: LeaderPolicy,
    ) -> None:
        self._term = term
        self._state = term.state
        self._machines = machines
        self._operations = operations
        self._backlog = backlog
        self._cfg = cfg
        self._order_tasks: dict[str, asyncio.Task] = {}
        self._init_state()

    def _init_state(self) -> None:
        """Create the state that a manager keeps in addition to its orders."""
        raise NotImplementedError

    def _begin_order(self, machine: str, work: Coroutine[None, None, None]) -> None:
        """Run an order in the background; a machine has at most one at a time."""
        task = asyncio.create_task(work, name=f"order for {machine}")
        self._order_tasks[machine] = task
        task.add_done_callback(lambda _: self._end_order(machine))

    def _end_order(self, machine: str) -> None:
        del self._order_tasks[machine]

    def _cancel_orders(self) -> None:
        for task in self._order_tasks.values():
            task.cancel()

    def _count_outcome(self, kind: str, outcome: MachineOutcome) -> None:
        """Count an order in the metrics."""
        self._term.metrics.add_machine_order(kind=kind, outcome=outcome.value)
