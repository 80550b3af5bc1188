"""Tests of reports that would end a known incarnation of a VM."""

import asyncio
import unittest
from datetime import timedelta
from types import SimpleNamespace

import msgspec

from redwingslip.clock import ManualClock
from redwingslip.jobs import NoteVm, RunStart, StartRuns, TaskKey
from redwingslip.scheduling import (
    JobService,
    OrderNotSentError,
    SchedulingError,
    VmReplacedError,
)
from tests.support_scheduling import (
    FakeEndpoint,
    FakeTerm,
    make_agent,
    make_job,
    make_state,
    make_vm,
)
from tests.support_virtual_time import VirtualTimeTestCase, run_virtually
from tests.test_scheduling_lifecycle import LifecycleCase

KEY = TaskKey("j1", 0, 0, 0)
# A report must be answered within a second, of which commits need a part.
MAX_ANSWER_S = 0.8
LEASE_BOUND = timedelta(seconds=7)
N_HISTORIES = 8


class FakeNetwork:
    """A network of endpoints; a call reaches the process at an address.

    Attributes
    ----------
    endpoints : dict
        Name of a VM and its endpoint, by address.
    silent : set of str
        Addresses at which calls get no answer.
    delays_s : dict of str to float
        Seconds until an answer, by address.
    called : list of str
        Addresses that were polled.
    """

    def __init__(self):
        self.endpoints = {}
        self.silent = set()
        self.delays_s = {}
        self.called = []

    def place(self, vm):
        """Start an incarnation at its address; return its endpoint."""
        endpoint = FakeEndpoint()
        endpoint.born_ms = vm.born_ms
        self.endpoints[vm.address] = (vm.vm_id, endpoint)
        return endpoint

    async def hold(self, vm, **options):
        """Poll the process at the address of a VM."""
        self.called.append(vm.address)
        await asyncio.sleep(self.delays_s.get(vm.address, 0.002))
        if vm.address in self.silent:
            await asyncio.Event().wait()
        if vm.address not in self.endpoints:
            raise OrderNotSentError("refused")
        vm_id, endpoint = self.endpoints[vm.address]
        if vm_id != vm.vm_id or endpoint.born_ms not in (0, vm.born_ms):
            raise VmReplacedError("another incarnation answers")
        return await endpoint.hold(vm, **options)


class TestReplacedVms(VirtualTimeTestCase):
    """An incarnation ends by proof or by its lease, not by a report alone."""

    def setUp(self):
        self.vm = make_vm(machine="m")
        self.state = make_state(self.vm, jobs=(make_job(),))
        self.state.apply(StartRuns(starts=(RunStart(KEY, "v1", 1),), now_ms=1))
        self.clock = ManualClock()
        self.term = FakeTerm(self.state, self.clock)
        self.network = FakeNetwork()
        self.network.place(self.vm)
        self.agents = {}
        self.add_agent(self.vm)
        scheduler = SimpleNamespace(agents=self.agents)
        self.service = JobService(term=self.term, scheduler=scheduler)

    def add_agent(self, vm):
        """Add the agent of a VM; it does not poll by itself."""
        self.agents[vm.vm_id] = make_agent(vm, self.network, self.term)

    async def report(self, vm, sequence=1):
        """Report a VM; return the error, or None."""
        try:
            async with asyncio.timeout(MAX_ANSWER_S):
                await self.service.report_vm(vm, sequence, 0)
        except SchedulingError as exc:
            return exc
        return None

    def assert_at_work(self):
        """Check that the known incarnation and its run are as before."""
        self.assertEqual(self.state.vms["v1"], self.vm)
        self.assertEqual([run.number for run in self.state.task(KEY).runs], [1])
        self.assertEqual(self.state.task(KEY).n_crashes, 0)

    def assert_replaced(self, vm):
        """Check that a VM is known, and that the run of the earlier one is closed."""
        self.assertEqual(self.state.vms[vm.vm_id], vm)
        self.assertEqual(self.state.task(KEY).runs, [])

    # TWICE: the report of another writer ended the runs of a working VM.
    async def test_a_report_replaces_no_vm_that_answers(self):
        """Guards against a false report by which a task starts while it runs."""
        for claim in (
            make_vm(machine="m", born_ms=9),
            make_vm(machine="other", born_ms=9, address="elsewhere:1"),
            make_vm("v2", machine="m", born_ms=9),
            make_vm("v2", machine="other", born_ms=9, address="v1:1"),
        ):
            with self.subTest(claim=claim):
                self.assertIsNotNone(await self.report(claim))
                self.assert_at_work()
                self.assertEqual(list(self.state.vms), ["v1"])

    async def test_a_refuted_report_makes_no_later_one_outdated(self):
        """Guards against one false report after which true ones count as late."""
        self.assertIsNotNone(await self.report(make_vm(machine="m", born_ms=9), 99))
        await self.report(msgspec.structs.replace(self.vm, is_draining=True), 2)
        self.assertTrue(self.state.vms["v1"].is_draining)
        claim = make_vm(machine="m", born_ms=9)
        self.network.place(claim)
        self.assertIsNone(await self.report(claim, 1))
        self.assert_replaced(claim)

    async def test_a_later_vm_that_answers_elsewhere_replaces_none_that_answers(self):
        """Guards against a true VM with the machine of another in its report."""
        claim = make_vm("v2", machine="m", born_ms=9)
        self.network.place(claim)
        self.assertIsNotNone(await self.report(claim))
        self.assert_at_work()

    async def test_a_restarted_vm_is_known_at_once(self):
        """Guards against a VM that stays unknown after a restart."""
        for claim in (
            make_vm(machine="m", born_ms=9),
            make_vm(machine="m", born_ms=9, address="v1:2"),
            make_vm("v2", machine="m", born_ms=9),
            make_vm("v2", machine="m", born_ms=9, address="v1:1"),
        ):
            with self.subTest(claim=claim):
                self.setUp()
                self.network.endpoints.clear()
                self.network.place(claim)
                self.assertIsNone(await self.report(claim))
                self.assert_replaced(claim)
                self.assertEqual(self.state.task(KEY).n_crashes, 1)

    async def test_a_silent_vm_is_replaced_by_one_that_answers(self):
        """Guards against a VM that stays unknown while its old address is silent."""
        self.network.silent.add("v1:1")
        claim = make_vm(machine="m", born_ms=9, address="v1:2")
        self.network.place(claim)
        self.assertIsNone(await self.report(claim))
        self.assert_replaced(claim)

    async def test_a_restarted_vm_that_answers_slowly_becomes_known(self):
        """Guards against a VM that stays unknown while its links are slow."""
        self.network.endpoints.clear()
        claim = make_vm(machine="m", born_ms=9, address="v1:2")
        self.network.place(claim)
        self.network.delays_s["v1:2"] = 0.9
        self.assertIsNotNone(await self.report(claim, 1))
        self.assert_at_work()
        self.assertIsNone(await self.report(claim, 2))
        self.assert_replaced(claim)

    async def test_a_silent_vm_keeps_its_runs_while_its_lease_may_hold(self):
        """Guards against silence that is taken for the end of a VM."""
        self.network.silent.add("v1:1")
        claims = (
            make_vm(machine="m", born_ms=9),
            make_vm(machine="m", born_ms=9, address="v1:2"),
            make_vm("v2", machine="m", born_ms=9),
        )
        for claim in claims:
            self.assertIsNotNone(await self.report(claim))
            self.assert_at_work()
        self.clock.advance(LEASE_BOUND)
        self.assertIsNone(await self.report(claims[0]))
        self.assert_replaced(claims[0])

    async def test_a_vm_that_refuses_connections_keeps_its_runs(self):
        """Guards against a refused connection that is taken for the end of a VM."""
        del self.network.endpoints["v1:1"]
        claim = make_vm(machine="m", born_ms=9, address="v1:2")
        self.assertIsNotNone(await self.report(claim))
        self.assert_at_work()

    async def test_an_answer_without_a_start_proves_nothing(self):
        """Guards against an answer that is taken for one of the reported VM."""
        self.network.silent.add("v1:1")
        claim = make_vm(machine="m", born_ms=9, address="v1:2")
        self.network.place(claim).born_ms = 0
        self.assertIsNotNone(await self.report(claim))
        self.assert_at_work()

    async def test_the_address_of_another_vm_proves_nothing(self):
        """Guards against a false report with the address of another working VM."""
        other = make_vm("v2", born_ms=5)
        self.network.place(other)
        self.state.apply(NoteVm(vm=other, now_ms=1))
        self.add_agent(other)
        self.network.silent.add("v1:1")
        self.assertIsNotNone(
            await self.report(make_vm(machine="m", born_ms=9, address="v2:1"))
        )
        self.assert_at_work()
        self.assertEqual(self.state.vms["v2"], other)

    async def test_a_working_vm_is_not_sought_at_a_false_address(self):
        """Guards against a false address at which another VM answers."""
        self.network.place(make_vm("v2", address="v2:1"))
        claim = msgspec.structs.replace(self.vm, address="v2:1")
        self.assertIsNotNone(await self.report(claim))
        self.assert_at_work()
        self.network.silent.add("v1:1")
        self.assertIsNotNone(await self.report(claim))
        self.assert_at_work()

    async def test_a_working_vm_may_change_its_address(self):
        """Guards against a VM that is lost after a change of its address."""
        vm = msgspec.structs.replace(self.vm, address="v1:2")
        del self.network.endpoints["v1:1"]
        self.network.place(vm)
        self.assertIsNone(await self.report(vm))
        self.assertEqual(self.state.vms["v1"], vm)
        self.assertTrue(self.state.task(KEY).runs)

    async def test_a_false_machine_of_a_known_vm_ends_no_silent_one(self):
        """Guards against an answer that is taken to prove the machine of a VM."""
        other = make_vm("v2", born_ms=5)
        self.network.place(other)
        self.state.apply(NoteVm(vm=other, now_ms=1))
        self.add_agent(other)
        self.network.silent.add("v1:1")
        claim = msgspec.structs.replace(other, machine="m")
        self.assertIsNotNone(await self.report(claim))
        self.assert_at_work()

    async def test_repeated_reports_are_verified_once_at_a_time(self):
        """Guards against polls that pile up while a VM is silent."""
        self.network.silent.add("v1:1")
        claim = make_vm(machine="m", born_ms=9)
        errors = await asyncio.gather(*(self.report(claim, n) for n in range(5)))
        self.assertNotIn(None, errors)
        self.assertEqual(self.network.called, ["v1:1", "v1:1"])

    async def test_a_caller_that_gives_up_ends_no_check_of_another(self):
        """Guards against a check that is lost with the first of its reports."""
        claim = make_vm(machine="m", born_ms=9)
        self.network.place(claim)
        first = asyncio.create_task(self.report(claim, 1))
        second = asyncio.create_task(self.report(claim, 2))
        await asyncio.sleep(0)
        first.cancel()
        self.assertIsNone(await second)
        self.assert_replaced(claim)

    async def test_a_report_that_is_outdated_after_its_check_is_ignored(self):
        """Guards against a check whose result counts for a later incarnation."""
        self.network.place(make_vm(machine="m", born_ms=9))
        report = asyncio.create_task(self.report(make_vm(machine="m", born_ms=5)))
        await asyncio.sleep(0)
        latest = make_vm(machine="m", born_ms=9)
        self.state.apply(NoteVm(vm=latest, now_ms=1))
        self.assertIsNone(await report)
        self.assertEqual(self.state.vms["v1"], latest)

    async def test_each_incarnation_is_verified(self):
        """Guards against the end of an incarnation that came after the check began."""
        self.network.place(make_vm(machine="m", born_ms=5))
        report = asyncio.create_task(self.report(make_vm(machine="m", born_ms=9)))
        await asyncio.sleep(0)
        latest = make_vm(machine="m", born_ms=5)
        self.state.apply(NoteVm(vm=latest, now_ms=1))
        self.add_agent(latest)
        self.assertIsNotNone(await report)
        self.assertEqual(self.state.vms["v1"], latest)


class FalseReportCase(LifecycleCase):
    """A history with reports of another writer about VMs at work."""

    async def fail_vms(self):
        """Fail VMs, and report false incarnations of some meanwhile."""
        reports = asyncio.create_task(self.report_falsely())
        try:
            await super().fail_vms()
        finally:
            reports.cancel()

    async def report_falsely(self):
        """Send false reports that name a VM, or that have its address or machine."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            endpoint = self.rng.choice(list(self.world.endpoints.values()))
            vm = msgspec.structs.replace(
                endpoint.record(),
                born_ms=next(self.world.incarnations),
                is_draining=False,
            )
            other = self.rng.choice(list(self.world.endpoints.values()))
            kind = self.rng.choice(("name", "name elsewhere", "address", "machine"))
            if kind == "name elsewhere":
                vm = msgspec.structs.replace(vm, address=other.address)
            elif kind == "address":
                vm = msgspec.structs.replace(vm, vm_id="false", machine="m-false")
            elif kind == "machine":
                vm = msgspec.structs.replace(vm, vm_id="false", address="false:1")
            self.world.spawn(self.send(vm))

    async def send(self, vm):
        """Send a report once."""
        try:
            if self.world.is_serving():
                await self.world.service.report_vm(vm, 1, 0)
        except SchedulingError:
            pass


class TestFalseReports(unittest.TestCase):
    """No false report breaks a guarantee."""

    def check(self, seed, **options):
        world = run_virtually(FalseReportCase(seed, **options).run)
        self.assertEqual(world.problems, [])
        self.assertEqual(world.unfinished(), [])

    def test_working_vms(self):
        """Guards against tasks that run twice after false reports."""
        for seed in range(1, N_HISTORIES + 1):
            with self.subTest(seed=seed):
                self.check(seed, faults=("leave", "crash"))

    def test_silent_vms(self):
        """Guards against false reports about VMs that don't answer for a time."""
        for seed in range(1, N_HISTORIES + 1):
            with self.subTest(seed=seed):
                self.check(seed, faults=("partition", "crash", "replace", "pause"))


if __name__ == "__main__":
    unittest.main()
