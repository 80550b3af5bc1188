"""The simulated world of the soak: racks, data centres, slow VMs, tickets, budgets.

A machine keeps its data centre, rack and speed; its VMs come and go.
"""

import asyncio
import zlib
from datetime import timedelta

from msgspec.structs import replace

from redwingslip.placement import (
    AdmissionSettings,
    ForecastSettings,
    LocalitySettings,
)
from redwingslip.scheduling import Advice, LeaderPolicy, OrderOutcomeUnknownError
from tests.scheduling_lifecycle import LeavingEndpoint, LifecycleWorld
from tests.scheduling_platform import Platform

REMOTE_PENALTY = 2.0
SLOWDOWN = 4.0
N_RACKS = 3
# A fault is known to the leader after a call without an answer, a look and a round; it
# may act on what it knew before for as long.
FAULT_GRACE_S = 2.5
TICKET_VALIDITY = timedelta(seconds=8)
DECISION_S = 0.1


def number_of(machine):
    """Return the number of a machine, by which its properties are chosen."""
    return int(machine.removeprefix("m-v"))


def data_centre_of(machine):
    """Return the data centre of a machine; three of eight are in the east."""
    return "east" if number_of(machine) % 3 == 0 else "west"


def labels_of(machine):
    """Return the labels of a machine: that of all, and its rack."""
    return ("a", f"r{number_of(machine) % N_RACKS}")


class SoakEndpoint(LeavingEndpoint):
    """An endpoint in a rack, whose machine may be slow.

    Attributes
    ----------
    order_fence : int
        Term of the leader that sent the stop order in progress.
    has_left : bool
        Whether it has begun to deregister. It ends then, and a leader stops its runs
        before it answers, whatever their budgets.
    """

    order_fence = 0
    has_left = False

    def record(self):
        """Return the record that the endpoint reports."""
        return replace(super().record(), labels=labels_of(self.machine))

    def start(self, run, fence, until_ms):
        """Handle the order to start a run; it takes longer on a slow or far VM."""
        is_known = run.key in self.runs
        result = super().start(run, fence, until_ms)
        if run.key in self.runs and not is_known:
            started = self.runs[run.key]
            factor = SLOWDOWN if number_of(self.machine) % 3 == 1 else 1
            rack = self.world.state.step(run.key).data_rack
            if rack and rack not in labels_of(self.machine):
                factor *= REMOTE_PENALTY
            now = self.world.now()
            started.ends_at = now + factor * (started.ends_at - now)
        return result

    async def _deregister(self):
        if not self.has_left:
            self.has_left = True
            self.world.note_fault(self)
        return await super()._deregister()

    def stop(self, key, number, fence):
        """Handle the order to stop a run."""
        self.order_fence = fence
        super().stop(key, number, fence)


class SoakWorld(LifecycleWorld):
    """A world in which admission, forecast and waits for racks are on."""

    policy = LeaderPolicy(
        admission=AdmissionSettings(enabled=True, grace=timedelta(seconds=2)),
        forecast=ForecastSettings(enabled=True),
        locality=LocalitySettings(remote_penalty=REMOTE_PENALTY),
    )

    def make_endpoint(self, vm_id, rate):
        """Return a new incarnation of a VM."""
        return SoakEndpoint(self, vm_id, rate)

    def start_endpoint(self, vm_id, *, machine="", address="", pool=""):
        """Start a new incarnation of a VM; at first, each pool has half of them."""
        pool = pool or ("p" if number_of(machine or f"m-{vm_id}") < 4 else "p2")
        endpoint = super().start_endpoint(
            vm_id, machine=machine, address=address, pool=pool
        )
        endpoint.data_centre = data_centre_of(endpoint.machine)
        return endpoint

    def note_fault(self, endpoint):
        """Record the tasks that a fault takes away."""
        for key, run in endpoint.runs.items():
            if self.percent(run) == 100:
                self.crashed_at[key] = self.now()

    def is_at_work(self, key):
        """Return whether a long-running task is at work, or a fault has just hit it."""
        since = self.now() - self.crashed_at.get(key, -FAULT_GRACE_S)
        return since < FAULT_GRACE_S or super().is_at_work(key)

    def check_stop(self, endpoint, key):
        """Check the budget as an order of the present leader ends a task at work."""
        if not self.is_long_running_at_work(endpoint, key):
            return
        is_present = endpoint.order_fence == self.fence and not endpoint.is_order_late
        if is_present and not endpoint.has_left:
            self.check_budgets(endpoint, {key})
        else:
            self.crashed_at[key] = self.now()

    def is_long_running_at_work(self, endpoint, key):
        """Return whether an endpoint has a long-running task at work."""
        is_long = self.state.step(key).is_long_running
        return is_long and self.percent(endpoint.runs[key]) == 100


class SoakPlatform(Platform):
    """A platform that checks the disruption budgets before it ends a VM."""

    async def list_machines(self):
        """Return all machines."""
        return tuple(
            replace(
                view,
                labels=labels_of(view.machine),
                data_centre=data_centre_of(view.machine),
            )
            for view in await super().list_machines()
        )

    def _carry_out(self, machine, fence, is_done, note_done):
        is_late = asyncio.current_task() is None
        is_current = fence == self.world.fence and not is_late
        if not is_done() and machine not in self._away:
            for endpoint in self.world.endpoints.values():
                if endpoint.machine == machine and endpoint.is_up:
                    self._check_end(endpoint, is_current=is_current)
        return super()._carry_out(machine, fence, is_done, note_done)

    def _check_end(self, endpoint, *, is_current):
        world = self.world
        endpoint.update()
        keys = {k for k in endpoint.runs if world.is_long_running_at_work(endpoint, k)}
        if is_current:
            world.check_budgets(endpoint, keys)
        else:
            world.note_fault(endpoint)


class SoakAdviser:
    """An adviser that refuses some VMs to long-running steps, and some calls."""

    def __init__(self, world):
        self._world = world

    async def request_advice(self, step, vm_ids):
        """Return tickets, each for one incarnation of a VM."""
        await asyncio.sleep(DECISION_S)
        if self._world.rng.random() < 0.05:
            raise OrderOutcomeUnknownError("no answer")
        tickets = {}
        for vm_id in vm_ids:
            endpoint = self._world.endpoints.get(vm_id)
            if endpoint is not None and self._allows(step, endpoint):
                tickets[vm_id] = str(endpoint.born_ms)
        return Advice(tickets=tickets, validity=TICKET_VALIDITY)

    def _allows(self, step, endpoint):
        is_long = step[0].startswith("long")
        return not is_long or zlib.crc32(f"{step}{endpoint.machine}".encode()) % 3 > 0

    def accepts(self, endpoint, ticket):
        """Return whether an incarnation of a VM accepts a ticket, or needs none."""
        return ticket in ("", str(endpoint.born_ms))
