"""Tests of false reports, and of the true ones that contradict them."""

import asyncio
import contextlib
import unittest
from datetime import timedelta
from types import SimpleNamespace

from redwingslip.clock import ManualClock
from redwingslip.scheduling import JobService, SchedulingError
from redwingslip.scheduling._report_history import (
    MAX_REPORT_DELAY,
    N_REPORTS_TO_REFUTE,
)
from tests.support_scheduling import FakeTerm, make_state, make_vm
from tests.support_virtual_time import run_virtually
from tests.test_scheduling_lifecycle import LifecycleCase

INTERVAL = timedelta(seconds=1)
HUGE = 2**53 - 1
N_HISTORIES = 8


class TestReportHistory(unittest.IsolatedAsyncioTestCase):
    """One report decides nothing for good, and late ones take nothing back."""

    async def asyncSetUp(self):
        self.state = make_state()
        self.clock = ManualClock()
        self.term = FakeTerm(self.state, self.clock)
        self.agents = {}
        self.begin_term()
        self.sequence = 0
        await self.report()

    def begin_term(self):
        """Have a new leader receive the reports."""
        self.term.started_at = self.clock.monotonic()
        scheduler = SimpleNamespace(agents=self.agents)
        self.service = JobService(term=self.term, scheduler=scheduler)

    async def report(self, sequence=None, **fields):
        """Report the VM, by default with the next number of its true reports."""
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        await self.service.report_vm(make_vm(**fields), sequence, 0)

    async def report_for(self, duration, **fields):
        """Have the VM report at intervals."""
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            self.clock.advance(INTERVAL)
            await self.report(**fields)

    @property
    def vm(self):
        """Return the known record of the VM."""
        return self.state.vms["v1"]

    async def test_a_false_number_shuts_no_reports_out_for_good(self):
        """Guards against one false report that makes all true ones outdated."""
        await self.report(HUGE)
        await self.report_for(
            MAX_REPORT_DELAY + (N_REPORTS_TO_REFUTE + 1) * INTERVAL, address="new:1"
        )
        self.assertEqual(self.vm.address, "new:1")
        await self.report(1, address="old:1")
        self.assertEqual(self.vm.address, "new:1", "its late reports are ignored")

    async def test_a_drain_counts_whatever_the_number_of_its_report(self):
        """Guards against starts on a VM that drains, for a false report before it."""
        await self.report(HUGE)
        await self.report(is_draining=True)
        self.assertTrue(self.vm.is_draining)

    async def test_the_drain_of_an_outdated_report_is_all_that_counts(self):
        await self.report(9, address="new:1")
        await self.report(3, address="old:1", is_draining=True)
        self.assertEqual((self.vm.address, self.vm.is_draining), ("new:1", True))

    async def test_late_reports_do_not_restore_an_address(self):
        """Guards against a VM that is sought where it was before."""
        for sequence in range(2, 9):
            await self.report(sequence + 20, address="new:1")
            self.clock.advance(MAX_REPORT_DELAY - INTERVAL)
            await self.report(sequence, address="old:1")
            self.assertEqual(self.vm.address, "new:1")

    async def test_single_late_reports_restore_no_address_however_late_they_are(self):
        """Guards against a report that a paused process held back for long."""
        await self.report(90, address="new:1")
        self.clock.advance(10 * MAX_REPORT_DELAY)
        for sequence in [5] * 9 + [4, 3, 2]:
            await self.report(sequence, address="old:1")
        self.assertEqual(self.vm.address, "new:1")

    async def test_a_vm_that_has_left_stays_unknown(self):
        """Guards against starts on a VM that has left, after a late report."""
        await self.report(9, is_draining=True)
        await self.service.remove_vm("v1", 1)
        self.clock.advance(MAX_REPORT_DELAY + INTERVAL)
        await self.report(8)
        await self.report(7, is_draining=True)
        self.assertNotIn("v1", self.state.vms)


class FalseNumberCase(LifecycleCase):
    """A history with reports of VMs under a number that is far too high."""

    async def fail_vms(self):
        """Fail VMs, and report some of them falsely meanwhile."""
        reports = asyncio.create_task(self.report_falsely())
        try:
            await super().fail_vms()
        finally:
            reports.cancel()

    async def report_falsely(self):
        """Send reports of VMs as they are, but for the number."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            endpoint = self.rng.choice(list(self.world.endpoints.values()))
            if self.world.is_serving() and not endpoint.is_draining:
                self.world.spawn(self.send(endpoint.record()))

    async def send(self, vm):
        """Send a report once."""
        with contextlib.suppress(SchedulingError):
            await self.world.service.report_vm(vm, HUGE, 0)


class TestFalseNumbers(unittest.TestCase):
    """No false number breaks a guarantee."""

    def test_vms_that_leave(self):
        """Guards against starts on VMs that drain, after a false report of them."""
        for seed in range(1, N_HISTORIES + 1):
            with self.subTest(seed=seed):
                case = FalseNumberCase(seed, faults=("leave", "crash"))
                world = run_virtually(case.run)
                self.assertEqual(world.problems, [])
                self.assertEqual(world.unfinished(), [])


if __name__ == "__main__":
    unittest.main()
