"""Tests of false reports, and of the true ones that contradict them."""

import asyncio
import contextlib
import unittest
from datetime import timedelta
from types import SimpleNamespace

import msgspec

from redwingslip.clock import ManualClock
from redwingslip.jobs import RunStart, StartRuns, SubmitJob, TaskKey
from redwingslip.scheduling import JobService, SchedulingError
from redwingslip.scheduling._report_history import (
    MAX_REPORT_DELAY,
    N_REPORTS_TO_REFUTE,
)
from tests.support_scheduling import FakeTerm, make_job, make_state, make_vm
from tests.support_virtual_time import VirtualTimeTestCase, run_virtually
from tests.test_scheduling_leaders import FAULTS_S
from tests.test_scheduling_lifecycle import LifecycleCase

INTERVAL = timedelta(seconds=1)
HUGE = 2**53 - 1
N_HISTORIES = 8
# Then there is time to take them back, and to complete the jobs.
FALSE_DRAINS_S = FAULTS_S / 2


class TestReportHistory(VirtualTimeTestCase):
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

    async def test_a_false_drain_is_taken_back(self):
        """Guards against a VM that gets no runs for good, after one false report."""
        for sequence in (None, HUGE):
            with self.subTest(sequence=sequence):
                await self.report(sequence, is_draining=True)
                await self.report_for(MAX_REPORT_DELAY)
                self.assertTrue(self.vm.is_draining)
                await self.report_for((2 * N_REPORTS_TO_REFUTE + 1) * INTERVAL)
                self.assertFalse(self.vm.is_draining)

    async def test_false_deregistration_is_taken_back(self):
        """Guards against the same, after the deregistration of a VM with a run."""
        job = make_job()
        self.state.apply(SubmitJob(spec=job, now_ms=1))
        starts = (RunStart(TaskKey(job.job_id, 0, 0, 0), "v1", 1),)
        self.state.apply(StartRuns(starts=starts, now_ms=1))
        await self.report_for(2 * MAX_REPORT_DELAY)
        await self.service.remove_vm("v1", 1)
        await self.report_for(MAX_REPORT_DELAY)
        self.assertTrue(self.vm.is_draining)
        await self.report_for((N_REPORTS_TO_REFUTE + 1) * INTERVAL)
        self.assertFalse(self.vm.is_draining)

    async def test_late_reports_take_no_drain_back(self):
        """Guards against starts on a VM that drains, for reports from before that."""
        await self.report(90, is_draining=True)
        for sequence in range(60, 89):
            await self.report(sequence)
            self.clock.advance(MAX_REPORT_DELAY / 30)
        self.assertTrue(self.vm.is_draining)

    async def test_few_reports_take_no_drain_back_however_late_they_are(self):
        """Guards against reports that a paused process held back for long."""
        await self.report(is_draining=True)
        self.clock.advance(10 * MAX_REPORT_DELAY)
        for _ in range(N_REPORTS_TO_REFUTE - 1):
            for _ in range(3):
                await self.report(self.sequence)
            self.sequence += 1
        self.assertTrue(self.vm.is_draining)

    async def test_vm_that_goes_on_to_drain_stays_draining(self):
        """Guards against false reports by which a draining VM counts as ready."""
        for _ in range(100):
            await self.report(is_draining=True)
            for _ in range(N_REPORTS_TO_REFUTE):
                self.clock.advance(INTERVAL)
                await self.report()
            self.assertTrue(self.vm.is_draining)

    async def test_new_leader_takes_no_drain_back_that_may_be_recent(self):
        """Guards against late reports that reach a leader without the true ones."""
        self.clock.advance(10 * MAX_REPORT_DELAY)
        await self.report(is_draining=True)
        self.begin_term()
        await self.report_for(MAX_REPORT_DELAY)
        self.assertTrue(self.vm.is_draining)
        await self.report_for((N_REPORTS_TO_REFUTE + 1) * INTERVAL)
        self.assertFalse(self.vm.is_draining)

    async def test_two_false_reports_do_not_hold_for_good(self):
        """Guards against true reports that never count after a false number."""
        for is_draining in (False, True):
            with self.subTest(is_draining=is_draining):
                self.clock.advance(MAX_REPORT_DELAY)
                await self.report(HUGE - 1, is_draining=is_draining, address="old:1")
                await self.report_for(MAX_REPORT_DELAY + 2 * INTERVAL)
                await self.report(HUGE - 2, address="old:1")
                await self.report_for(
                    MAX_REPORT_DELAY + (N_REPORTS_TO_REFUTE + 2) * INTERVAL,
                    address="new:1",
                )
                self.assertEqual(self.vm.address, "new:1")
                self.assertFalse(self.vm.is_draining)

    async def test_a_vm_that_was_falsely_said_to_have_left_is_known_again(self):
        """Guards against a VM that is shut out while nothing else happens."""
        later = make_vm(born_ms=5)
        for born_ms in (1, 4):
            with self.subTest(born_ms=born_ms):
                await self.report_for(INTERVAL, born_ms=5)
                await self.service.remove_vm("v1", later.born_ms)
                self.assertNotIn("v1", self.state.vms)
                await self.report_for(MAX_REPORT_DELAY - INTERVAL, born_ms=born_ms)
                self.assertNotIn("v1", self.state.vms)
                await self.report_for(
                    (N_REPORTS_TO_REFUTE + 2) * INTERVAL, born_ms=born_ms
                )
                self.assertEqual(self.vm.born_ms, born_ms)
                self.assertFalse(self.vm.is_draining)
                await self.service.remove_vm("v1", born_ms)

    async def test_a_vm_that_has_left_stays_unknown(self):
        """Guards against starts on a VM that has left, after a late report."""
        await self.report(9, is_draining=True)
        await self.service.remove_vm("v1", 1)
        self.clock.advance(MAX_REPORT_DELAY + INTERVAL)
        await self.report(8)
        await self.report(7, is_draining=True)
        self.assertNotIn("v1", self.state.vms)


class FalseReportCase(LifecycleCase):
    """A history with reports of VMs under a number that is far too high.

    Parameters
    ----------
    drains : bool
        Whether these reports also say that the VMs drain.
    """

    def __init__(self, seed, *, drains, **options):
        super().__init__(seed, **options)
        self.drains = drains

    async def fail_vms(self):
        """Fail VMs, and report some of them falsely meanwhile."""
        reports = asyncio.create_task(self.report_falsely())
        try:
            await super().fail_vms()
        finally:
            reports.cancel()

    async def report_falsely(self):
        """Send reports of VMs as they are, but for the number and the drain."""
        while not self.drains or self.world.now() < FALSE_DRAINS_S:
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            endpoint = self.rng.choice(list(self.world.endpoints.values()))
            if self.world.is_serving() and not endpoint.is_draining:
                vm = endpoint.record()
                vm = msgspec.structs.replace(vm, is_draining=self.drains)
                self.world.spawn(self.send(vm))

    async def send(self, vm):
        """Send a report once."""
        with contextlib.suppress(SchedulingError):
            await self.world.service.report_vm(vm, HUGE, 0)


class FalseDeregistrationCase(LifecycleCase):
    """A history in which VMs are falsely said to have left."""

    async def fail_vms(self):
        """Fail VMs, and deregister some of them meanwhile."""
        false_ends = asyncio.create_task(self.deregister_falsely())
        try:
            await super().fail_vms()
        finally:
            false_ends.cancel()

    async def deregister_falsely(self):
        """Deregister VMs that go on."""
        while self.world.now() < FALSE_DRAINS_S:
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            endpoint = self.rng.choice(list(self.world.endpoints.values()))
            if self.world.is_serving() and not endpoint.is_draining:
                self.world.spawn(self.send(endpoint.record()))

    async def send(self, vm):
        """Send a deregistration once."""
        with contextlib.suppress(SchedulingError):
            await self.world.service.remove_vm(vm.vm_id, vm.born_ms)


class TestFalseReports(unittest.TestCase):
    """No false report breaks a guarantee."""

    def check(self, seed, **options):
        world = run_virtually(FalseReportCase(seed, **options).run)
        self.assertEqual(world.problems, [])
        self.assertEqual(world.unfinished(), [])

    def test_numbers(self):
        """Guards against starts on VMs that drain, after a false report of them."""
        for seed in range(1, N_HISTORIES + 1):
            with self.subTest(seed=seed):
                self.check(seed, faults=("leave", "crash"), drains=False)

    def test_drains(self):
        """Guards against tasks that wait for good for VMs that never drained."""
        for seed in range(1, N_HISTORIES // 2 + 1):
            with self.subTest(seed=seed):
                self.check(seed, faults=("partition",), drains=True)

    def test_deregistrations(self):
        """Guards against tasks that wait for good for VMs that never left."""
        for seed in range(1, N_HISTORIES // 2 + 1):
            with self.subTest(seed=seed):
                case = FalseDeregistrationCase(seed, faults=("partition",))
                world = run_virtually(case.run)
                self.assertEqual(world.problems, [])
                self.assertEqual(world.unfinished(), [])

    def test_drains_of_vms_that_leave(self):
        """Guards against starts on VMs that drain, as their drain is taken back."""
        for seed in range(1, N_HISTORIES // 2 + 1):
            with self.subTest(seed=seed):
                self.check(seed, faults=("leave",), drains=True, late_report_rate=0.3)


if __name__ == "__main__":
    unittest.main()
