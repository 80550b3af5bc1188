"""Tests of the leader's interface: queues, keys, jobs and reports of endpoints."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace

import msgspec

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    Customer,
    JobSpec,
    JobsState,
    JobStatus,
    NoteVm,
    Plan,
    Pool,
    Queue,
    ReplacePlan,
    RunStart,
    StartRuns,
    StepSpec,
    TaskKey,
)
from redwingslip.scheduling import (
    FutureStartError,
    JobService,
    KeyRefusedError,
    NoPlanError,
    NoQueueError,
    UnknownPoolError,
)
from redwingslip.scheduling._service import MAX_CLOCK_LEAD
from tests.support_scheduling import (
    FakeEndpoint,
    FakeTerm,
    eventually,
    make_agent,
    make_vm,
)
from tests.support_virtual_time import VirtualTimeTestCase

MS = timedelta(milliseconds=1)
PLAN = Plan(
    version=3,
    queues=(
        Queue(name="a", host="h", path_prefix="/a/", pool="p"),
        Queue(name="deep", host="h", path_prefix="/a/b/", pool="p", is_public=True),
    ),
    pools=(Pool(name="p"), Pool(name="q")),
    customers=(Customer(name="forges", keys=("k1", "k2")),),
)


class TestJobService(VirtualTimeTestCase):
    """Repeated calls, and reports that are late or of earlier incarnations."""

    def setUp(self):
        self.state = JobsState()
        self.state.apply(ReplacePlan(plan=PLAN))
        self.clock = ManualClock()
        self.term = FakeTerm(self.state, self.clock)
        self.agents = {}
        scheduler = SimpleNamespace(agents=self.agents)
        self.service = JobService(term=self.term, scheduler=scheduler)

    def test_the_longest_prefix_wins(self):
        queue, rest = self.service.find_queue("h", "/a/b/id")
        self.assertEqual((queue.name, rest), ("deep", "id"))
        queue, rest = self.service.find_queue("h", "/a/id")
        self.assertEqual((queue.name, rest), ("a", "id"))

    def test_unknown_addresses_and_a_missing_plan_are_errors(self):
        for host, path in (("h", "/x/"), ("other", "/a/id")):
            with self.assertRaises(NoQueueError):
                self.service.find_queue(host, path)
        self.state.restore(JobsState().snapshot())
        with self.assertRaises(NoPlanError):
            self.service.find_queue("h", "/a/id")

    def test_keys_follow_the_plan(self):
        keyed, public = PLAN.queues
        self.assertEqual(self.service.find_customer(keyed, "k2"), "forges")
        self.assertEqual(self.service.find_customer(public, ""), "")
        newer = msgspec.structs.replace(
            PLAN, version=4, customers=(Customer(name="forges", keys=("k2",)),)
        )
        self.state.apply(ReplacePlan(plan=newer))
        with self.assertRaises(KeyRefusedError):
            self.service.find_customer(keyed, "k1")

    async def test_a_known_job_is_not_committed_twice(self):
        spec = JobSpec(job_id="j", queue="a", pool="p", steps=(StepSpec(n_tasks=1),))
        await self.service.submit(spec)
        await self.service.submit(spec)
        self.assertEqual(self.term.n_commands, 1)

    # UNASKED: a delayed submission ran after its cancellation had been acknowledged.
    async def test_a_job_that_arrives_after_its_cancellation_never_runs(self):
        spec = JobSpec(job_id="j", queue="a", pool="p", steps=(StepSpec(n_tasks=1),))
        self.assertIsNone(await self.service.cancel("j", customer=""))
        self.assertIsNone(await self.service.cancel("j", customer=""))
        self.assertEqual(self.term.n_commands, 1)
        job = await self.service.submit(spec)
        self.assertEqual(job.status, JobStatus.CANCELLED)
        self.assertIs(await self.service.cancel("j", customer=""), job)

    # UNASKED: the same, with the submission being committed during the cancellation.
    async def test_a_job_that_is_being_committed_can_be_cancelled(self):
        spec = JobSpec(job_id="j", queue="a", pool="p", steps=(StepSpec(n_tasks=1),))
        await asyncio.gather(
            self.service.submit(spec), self.service.cancel("j", customer="")
        )
        self.assertEqual(self.state.jobs["j"].status, JobStatus.CANCELLED)

    async def test_an_unchanged_report_is_not_committed(self):
        for sequence in (1, 2, 3):
            await self.service.report_vm(make_vm(), sequence, 0)
        self.assertEqual(self.term.n_commands, 1)

    async def test_an_outdated_report_does_not_end_a_drain(self):
        await self.service.report_vm(make_vm(is_draining=True), 5, 0)
        await self.service.report_vm(make_vm(), 4, 0)
        self.assertTrue(self.state.vms["v1"].is_draining)

    async def test_an_outdated_report_does_not_restore_an_address(self):
        await self.service.report_vm(make_vm(address="new:1"), 5, 0)
        await self.service.report_vm(make_vm(address="old:1"), 4, 0)
        self.assertEqual(self.state.vms["v1"].address, "new:1")

    async def test_a_drain_is_permanent_under_a_new_leader_too(self):
        await self.service.report_vm(make_vm(is_draining=True), 5, 0)
        service = JobService(term=self.term, scheduler=None)
        await service.report_vm(make_vm(), 4, 0)
        self.assertTrue(self.state.vms["v1"].is_draining)

    async def test_a_delayed_report_of_an_earlier_incarnation_is_ignored(self):
        await self.service.report_vm(make_vm(born_ms=9), 1, 0)
        await self.service.report_vm(make_vm(born_ms=2), 80, 0)
        self.assertEqual(self.state.vms["v1"].born_ms, 9)

    async def test_a_vm_that_reuses_an_address_replaces_the_earlier_one(self):
        """A late report of the earlier VM does not restore it."""
        old = make_vm("old", born_ms=1, address="x:1")
        new = make_vm("new", born_ms=7, address="x:1", pool="q")
        await self.service.report_vm(old, 1, 0)
        await self.service.report_vm(new, 1, 0)
        self.assertEqual(self.term.forgotten, ["old"])
        await self.service.report_vm(old, 2, 0)
        self.assertEqual(list(self.state.vms), ["new"])

    async def test_a_new_vm_on_a_machine_replaces_the_earlier_one(self):
        await self.service.report_vm(make_vm("old", machine="m", born_ms=1), 1, 0)
        await self.service.report_vm(make_vm("new", machine="m", born_ms=2), 1, 0)
        self.assertEqual(self.term.forgotten, ["old"])

    async def assert_refused(self, vm):
        """Report a VM, and expect that it is refused and the known one holds."""
        with self.assertRaises(FutureStartError):
            await self.service.report_vm(vm, 2, 0)
        self.assertEqual(list(self.state.vms.values()), [make_vm(machine="m")])
        self.assertEqual(self.term.forgotten, [])

    async def test_a_start_in_the_future_replaces_no_incarnation(self):
        """Guards against one report that makes all true ones of its VM outdated."""
        await self.service.report_vm(make_vm(machine="m"), 1, 0)
        for born_ms in (2**62, 2**53 - 1, MAX_CLOCK_LEAD // MS + 1):
            await self.assert_refused(make_vm(machine="m", born_ms=born_ms))
        await self.service.report_vm(make_vm(machine="m", is_draining=True), 2, 0)
        self.assertTrue(self.state.vms["v1"].is_draining)

    async def test_a_start_in_the_future_removes_no_vm_at_its_place(self):
        """Guards against one report that removes the VM at an address or machine."""
        await self.service.report_vm(make_vm(machine="m"), 1, 0)
        await self.assert_refused(make_vm("v2", machine="m", born_ms=2**53 - 1))
        await self.assert_refused(make_vm("v2", address="v1:1", born_ms=2**53 - 1))

    async def test_an_unknown_pool_is_refused(self):
        """Guards against a report of another writer in place of a true one."""
        await self.service.report_vm(make_vm(machine="m"), 1, 0)
        for vm in (
            make_vm(machine="m", pool="nowhere"),
            make_vm(machine="m", pool="nowhere", born_ms=2),
            make_vm("v2", machine="m", pool="nowhere", born_ms=2),
        ):
            with self.assertRaises(UnknownPoolError):
                await self.service.report_vm(vm, 99, 0)
        self.assertEqual(list(self.state.vms.values()), [make_vm(machine="m")])
        await self.service.report_vm(make_vm(machine="m", is_draining=True), 2, 0)
        self.assertTrue(self.state.vms["v1"].is_draining)

    async def test_any_pool_may_report_before_the_first_plan(self):
        self.state.restore(JobsState().snapshot())
        await self.service.report_vm(make_vm(pool="later"), 1, 0)
        self.assertIn("v1", self.state.vms)

    async def test_a_vm_of_a_pool_that_was_removed_may_report(self):
        """Guards against a drain that is missed for a new plan."""
        await self.service.report_vm(make_vm(), 1, 0)
        plan = msgspec.structs.replace(PLAN, version=4, pools=(Pool(name="other"),))
        self.state.apply(ReplacePlan(plan=plan))
        await self.service.report_vm(make_vm(is_draining=True), 2, 0)
        self.assertTrue(self.state.vms["v1"].is_draining)

    async def test_clocks_may_differ(self):
        """Guards against the refusal of true VMs with a clock that is fast."""
        self.term.clock.advance(timedelta(hours=1))
        born_ms = self.term.now_ms() + MAX_CLOCK_LEAD // MS
        await self.service.report_vm(make_vm(born_ms=born_ms), 1, 0)
        self.assertEqual(self.state.vms["v1"].born_ms, born_ms)

    async def test_a_known_incarnation_may_report_under_a_leader_with_a_slow_clock(
        self,
    ):
        """Guards against a drain that is missed for the clock of the leader."""
        self.term.clock.advance(timedelta(hours=1))
        born_ms = self.term.now_ms()
        await self.service.report_vm(make_vm(born_ms=born_ms), 1, 0)
        service = JobService(term=FakeTerm(self.state), scheduler=None)
        await service.report_vm(make_vm(born_ms=born_ms, is_draining=True), 2, 0)
        self.assertTrue(self.state.vms["v1"].is_draining)

    async def test_the_number_of_a_report_that_is_not_used_is_not_kept(self):
        """Guards against one report after which all true ones count as late."""
        await self.service.report_vm(make_vm("new", machine="m", born_ms=9), 1, 0)
        await self.service.report_vm(make_vm("old", machine="m", born_ms=5), 99, 0)
        await self.service.remove_vm("new", 9)
        await self.service.report_vm(make_vm("old", machine="m", born_ms=5), 2, 0)
        self.assertEqual(list(self.state.vms), ["old"])

    async def test_a_replaced_vm_has_crashed_under_its_runs(self):
        """Guards against tasks that crash VM after VM, each with a new name."""
        await self.service.report_vm(make_vm("old", machine="m", born_ms=1), 1, 0)
        spec = JobSpec(job_id="j", queue="a", pool="p", steps=(StepSpec(n_tasks=1),))
        await self.service.submit(spec)
        key = TaskKey("j", 0, 0, 0)
        starts = (RunStart(key, "old", 1),)
        await self.term.propose(StartRuns(starts=starts, now_ms=1))
        await self.service.report_vm(make_vm("new", machine="m", born_ms=2), 1, 0)
        self.assertEqual(self.state.task(key).n_crashes, 1)

    async def test_the_end_of_an_earlier_incarnation_removes_nothing(self):
        await self.service.report_vm(make_vm(born_ms=9), 1, 0)
        await self.service.remove_vm("v1", 2)
        self.assertIn("v1", self.state.vms)
        await self.service.remove_vm("v1", 9)
        self.assertNotIn("v1", self.state.vms)

    async def test_a_leaving_vm_keeps_its_runs_until_they_have_ended(self):
        """Guards against a task that starts elsewhere while a leaving VM runs it.

        The VM goes on until it receives the answer to its deregistration.
        """
        endpoint, key = await self.run_task_on_a_vm()
        leaving = asyncio.create_task(self.service.remove_vm("v1", 1))
        await eventually(lambda: leaving.done() or endpoint.stopped)
        self.assertTrue(endpoint.stopped, "the run was closed while it was alive")
        # Only a poll that is sent after the stop proves that the run has ended.
        self.clock.advance(timedelta(milliseconds=1))
        await leaving
        self.assertFalse(endpoint.runs)
        self.assertFalse(self.state.task(key).runs)
        self.assertNotIn("v1", self.state.vms)

    async def test_a_leaving_vm_that_does_not_answer_stays_known(self):
        """Guards against runs that are closed before the lease of their VM lapses."""
        endpoint, key = await self.run_task_on_a_vm()
        endpoint.is_unresponsive = True
        leaving = asyncio.create_task(self.service.remove_vm("v1", 1))
        await asyncio.sleep(0.02)
        self.clock.advance(timedelta(seconds=1))
        await leaving
        self.assertTrue(self.state.task(key).runs)
        self.assertTrue(self.state.vms["v1"].is_draining)

    async def test_a_late_report_does_not_make_a_vm_ready_that_has_left(self):
        """Guards against starts on a VM that has left, but waits for the answer."""
        await self.service.report_vm(make_vm(is_draining=True), 5, 0)
        await self.service.remove_vm("v1", 1)
        await self.service.report_vm(make_vm(), 4, 0)
        self.assertNotIn("v1", self.state.vms)

    async def test_a_new_leader_knows_which_vms_have_left(self):
        """Guards against starts on a VM that has left, after a change of leader.

        A report that was sent before the drain arrives after the deregistration.
        """
        await self.service.report_vm(make_vm(is_draining=True), 5, 0)
        await self.service.remove_vm("v1", 1)
        service = JobService(term=self.term, scheduler=None)
        await service.report_vm(make_vm(), 4, 0)
        vm = self.state.vms.get("v1")
        self.assertTrue(vm is None or vm.is_draining)

    async def report_to_a_new_leader(self, *vms):
        """Pass late reports to another leader, whose state is from a snapshot."""
        state = JobsState()
        state.restore(self.state.snapshot())
        service = JobService(term=FakeTerm(state, self.clock), scheduler=None)
        for vm in vms:
            await service.report_vm(vm, 4, 0)
        return state

    async def test_a_vm_that_left_without_a_drain_is_known_to_a_new_leader(self):
        """Guards against starts on a VM whose drain was never reported."""
        await self.service.report_vm(make_vm(), 3, 0)
        await self.service.remove_vm("v1", 1)
        state = await self.report_to_a_new_leader(make_vm(), make_vm(is_draining=True))
        self.assertEqual(state.vms, {})

    async def test_a_vm_that_left_may_come_back_as_another_incarnation(self):
        """Guards against a VM that is ignored since an earlier one has left."""
        await self.service.report_vm(make_vm(is_draining=True), 5, 0)
        await self.service.remove_vm("v1", 1)
        vm = make_vm(born_ms=2)
        state = await self.report_to_a_new_leader(vm, make_vm())
        self.assertEqual(state.vms, {"v1": vm})

    async def test_an_end_that_names_no_incarnation_excludes_none(self):
        """Guards against a VM that is ignored for the late end of an earlier one."""
        await self.service.report_vm(make_vm(), 3, 0)
        await self.service.remove_vm("v1", 0)
        self.assertEqual(self.state.vms, {})
        state = await self.report_to_a_new_leader(make_vm())
        self.assertEqual(state.vms, {"v1": make_vm()})

    async def test_a_vm_that_was_noted_after_its_end_is_draining(self):
        """Guards against a VM that an earlier version noted, and that stays ready."""
        await self.service.report_vm(make_vm(is_draining=True), 5, 0)
        await self.service.remove_vm("v1", 1)
        self.state.apply(NoteVm(vm=make_vm(), now_ms=1))
        state = await self.report_to_a_new_leader(make_vm())
        self.assertTrue(state.vms["v1"].is_draining)

    async def run_task_on_a_vm(self):
        """Run a task on a VM with an agent; return the endpoint and the task's key."""
        vm, endpoint, key = make_vm(), FakeEndpoint(), TaskKey("j", 0, 0, 0)
        await self.service.report_vm(vm, 1, 0)
        spec = JobSpec(job_id="j", queue="a", pool="p", steps=(StepSpec(n_tasks=1),))
        await self.service.submit(spec)
        await self.term.propose(StartRuns(starts=(RunStart(key, "v1", 1),), now_ms=1))
        endpoint.runs[(key, 1)] = 50
        agent = make_agent(vm, endpoint, self.term)
        self.agents["v1"] = agent
        agent.begin()
        self.addCleanup(agent.close)
        await eventually(lambda: agent.listed_runs)
        return endpoint, key

    async def test_a_wave_is_started_once(self):
        for _ in range(2):
            await self.service.start_wave(
                number=1, machines=("m",), duration_ms=1, max_at_once=1
            )
        self.assertEqual(self.term.n_commands, 1)
        self.assertIs(self.service.is_wave_complete(1), False)
        self.assertIsNone(self.service.is_wave_complete(2))
