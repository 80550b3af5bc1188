"""Base of the tests of a leader and its delegates in virtual time."""

import unittest

from redwingslip.jobs import ActiveRun, TaskKey
from tests.support_delegation import DelegationNet
from tests.support_scheduling import FakeEndpoint, make_vm
from tests.support_virtual_time import LoopClock, run_virtually

KEY = TaskKey("j1", 0, 0, 0)
N_VMS = 40
FENCE = 7


def make_run(vm_id="v1", number=1):
    """Return a run on a VM."""
    return ActiveRun(KEY, number, vm_id, 1, "", 0)


class CountingEndpoint(FakeEndpoint):
    """An endpoint that counts the calls that it gets, by process."""

    def __init__(self):
        super().__init__()
        self.n_calls = 0
        self.error = None

    async def hold(self, vm, **fields):
        """Count and answer a poll."""
        self.n_calls += 1
        if self.error is not None:
            raise self.error
        return await super().hold(vm, **fields)

    async def start(self, vm, run, **fields):
        """Count and answer a start."""
        self.n_calls += 1
        if self.error is not None:
            raise self.error
        return await super().start(vm, run, **fields)


class DelegationCase(unittest.TestCase):
    """A leader with two delegates in virtual time."""

    def run_case(self, case, *, n_delegates=2, names=("d1", "d2")):
        """Run a case with a leader and delegates that have joined."""

        async def main(loop):
            self.loop = loop
            self.net = DelegationNet(LoopClock(loop))
            self.own = CountingEndpoint()
            self.clients = {name: CountingEndpoint() for name in names}
            for name, client in self.clients.items():
                self.net.start_delegate(name, client)
            self.orders = self.net.start_leader(
                "lead", self.own, fence=FENCE, n_delegates=n_delegates
            )
            try:
                await self.net.join()
                await case()
            finally:
                self.net.close()

        run_virtually(main)

    async def hold(self, vm_id="v1", wait_ms=0):
        """Poll a VM."""
        return await self.orders.hold(
            make_vm(vm_id), fence=FENCE, cursor=0, until_ms=None, wait_ms=wait_ms
        )

    async def start(self, vm_id="v1"):
        """Order the start of a run."""
        return await self.orders.start(
            make_vm(vm_id),
            make_run(vm_id),
            payload="{}",
            ticket="",
            fence=FENCE,
            until_ms=1,
        )

    def caller(self):
        """Return the only process that has called a VM."""
        callers = [name for name, client in self.clients.items() if client.n_calls]
        self.assertEqual(len(callers), 1)
        return callers[0]
