"""A simulated platform whose orders for machines are lost, late or refused.

A machine that is moved or maintained gets a new VM under a new name. An order that was
carried out before is answered as done again.
"""

import asyncio

from redwingslip.scheduling import MachineOutcome, MachineState, MachineView
from tests.scheduling_endpoints import CALL_S, CALL_TIMEOUT_S, CAPACITY

RETURN_S = (1.5, 2.0)


class Platform:
    """The machines of a `LifecycleWorld` and the orders for them.

    Parameters
    ----------
    world : LifecycleWorld
        The world, whose machines are those of its first VMs.
    enforces_fences : bool
        Whether an order with a lower fence than an earlier one is refused.

    Attributes
    ----------
    loss_rate, refusal_rate : float
        Share of the orders that are lost or late, and of those refused for now.
    maintained : set
        Wave and machine of each maintenance that was carried out.
    """

    def __init__(self, world, *, enforces_fences=True):
        self.world = world
        self.enforces_fences = enforces_fences
        self.loss_rate = 0.3
        self.refusal_rate = 0.2
        self.maintained = set()
        self.pools = {e.machine: e.pool for e in world.endpoints.values()}
        self._away = set()
        self._fences = {}

    async def list_machines(self):
        """Return all machines."""
        await asyncio.sleep(CALL_S)
        return tuple(
            MachineView(
                machine=machine,
                pool=pool,
                state=MachineState.MOVING if machine in self._away else MachineState.UP,
                capacity=CAPACITY,
                labels=("a", "r1"),
            )
            for machine, pool in self.pools.items()
        )

    async def move(self, machine, pool, *, fence):
        """Move a machine to a pool."""
        return await self._order(
            machine,
            fence,
            lambda: self.pools[machine] == pool,
            lambda: self.pools.update({machine: pool}),
        )

    async def maintain(self, machine, wave, *, fence):
        """Maintain a machine for a wave."""
        return await self._order(
            machine,
            fence,
            lambda: (wave, machine) in self.maintained,
            lambda: self.maintained.add((wave, machine)),
        )

    async def _order(self, machine, fence, is_done, note_done):
        rng = self.world.rng
        term = self.world.term
        await term.wait_awake()
        await asyncio.sleep(CALL_S)
        if rng.random() < self.refusal_rate:
            return MachineOutcome.LATER
        if rng.random() < self.loss_rate:
            if rng.random() < 0.7:
                delay = rng.choice((0, rng.uniform(0.5, 8)))
                asyncio.get_running_loop().call_later(
                    delay, self._carry_out, machine, fence, is_done, note_done
                )
            await asyncio.sleep(CALL_TIMEOUT_S)
            return MachineOutcome.NO_ANSWER
        return self._carry_out(machine, fence, is_done, note_done)

    def _carry_out(self, machine, fence, is_done, note_done):
        if self.enforces_fences and fence < self._fences.get(machine, 0):
            return MachineOutcome.SUPERSEDED
        self._fences[machine] = max(fence, self._fences.get(machine, 0))
        if is_done():
            return MachineOutcome.DONE
        if machine in self._away:
            return MachineOutcome.BUSY
        note_done()
        self.world.spawn(self._replace_vm(machine))
        return MachineOutcome.DONE

    async def _replace_vm(self, machine):
        """End the VM of a machine; start another one later."""
        self._away.add(machine)
        address = ""
        for endpoint in tuple(self.world.endpoints.values()):
            if endpoint.machine == machine:
                endpoint.is_up = False
                address = endpoint.address
                del self.world.endpoints[endpoint.vm_id]
        rng = self.world.rng
        await asyncio.sleep(rng.uniform(*RETURN_S))
        self._away.discard(machine)
        name = next(self.world.names)
        address = address if rng.random() < 0.5 else f"{name}:3"
        pool = self.pools[machine]
        self.world.start_endpoint(name, machine=machine, address=address, pool=pool)
