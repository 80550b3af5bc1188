"""Tests of the leader's decisions under overload, from the jobs and VMs it knows."""

import unittest
from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

import msgspec

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    Amounts,
    Customer,
    JobSpec,
    JobsState,
    JobStatus,
    NoteVm,
    Plan,
    Pool,
    Queue,
    Repetition,
    ReplacePlan,
    StartRuns,
    StepSpec,
    SubmitJob,
)
from redwingslip.observe import EventName
from redwingslip.placement import AdmissionSettings, ArrivalTrend, PoolOutlook
from redwingslip.scheduling import (
    CommandOutcomeUnknownError,
    JobRefusedError,
    JobService,
    LeaderPolicy,
    MachineRegistry,
    MoveManager,
)
from redwingslip.scheduling import _admission as admission_module
from redwingslip.scheduling._admission import AdmissionControl
from redwingslip.scheduling._job_index import JobIndex
from redwingslip.scheduling._job_works import JobWorks
from redwingslip.scheduling._rounds import PlacementRounds
from redwingslip.workers import RunTimeModel
from tests.support_scheduling import (
    FakeEndpoint,
    FakePlatform,
    FakeTerm,
    make_agent,
    make_vm,
)
from tests.support_virtual_time import VirtualTimeTestCase

MS = timedelta(milliseconds=1)
QUEUE = Queue(
    name="q", host="h", path_prefix="/q/", pool="p", stretch=2.0, target_latency_ms=1000
)
PLAN = Plan(
    version=1,
    queues=(
        QUEUE,
        msgspec.structs.replace(QUEUE, name="q2", path_prefix="/2/", pool="other"),
    ),
    pools=(Pool(name="p"), Pool(name="other")),
    customers=(Customer(name="small"), Customer(name="flood")),
)


def make_spec(job_id, *, n_tasks=4, customer="flood", **options):
    """Return a job of tasks that take a core for 500 ms."""
    fields = {"need": Amounts(1000, 10), "estimate_ms": 500} | options
    step = StepSpec(n_tasks=n_tasks, **fields)
    return JobSpec(job_id=job_id, queue="q", pool="p", customer=customer, steps=(step,))


class AdmissionCase(VirtualTimeTestCase):
    """A pool of two VMs with four cores each, beside another one."""

    cfg = AdmissionSettings(enabled=True)

    def setUp(self):
        self.state = JobsState()
        self.state.apply(ReplacePlan(plan=PLAN))
        self.clock = ManualClock()
        self.clock.advance(timedelta(seconds=100))
        self.term = FakeTerm(self.state, self.clock)
        self.term.emit = mock.Mock()
        self.agents = {}
        self.add_vm("v1")
        self.add_vm("v2")
        machines = MachineRegistry(self.term, self.agents, takeover_delay=timedelta(0))
        self.job_index = JobIndex(self.state)
        self.rounds = PlacementRounds(
            term=self.term,
            machines=machines,
            job_index=self.job_index,
            advice=SimpleNamespace(tickets=lambda key: {}),
        )
        self.moves = MoveManager(
            term=self.term,
            machines=machines,
            operations=FakePlatform(),
            backlog=self.rounds.backlog,
            cfg=LeaderPolicy(),
            trend=ArrivalTrend(LeaderPolicy().arrivals),
        )
        self.admission = AdmissionControl(
            term=self.term,
            machines=machines,
            moves=self.moves,
            job_index=self.job_index,
            backlog=self.rounds.backlog,
            run_times=RunTimeModel(LeaderPolicy().vms.run_times),
            cfg=self.cfg,
        )

    def add_vm(self, vm_id, pool="p"):
        """Add a VM that answers its polls."""
        vm = make_vm(vm_id, pool=pool, capacity=Amounts(4000, 9000))
        self.state.apply(NoteVm(vm=vm, now_ms=1))
        self.agents[vm_id] = make_agent(vm, FakeEndpoint(), self.term)
        self.agents[vm_id]._has_renewed_lease = True
        self.advance(0)

    def advance(self, milliseconds):
        """Let time pass, in which all VMs answer."""
        self.clock.advance(timedelta(milliseconds=milliseconds))
        for agent in self.agents.values():
            agent.lease.note_contact(self.clock.monotonic())

    def submit(self, spec):
        """Commit a job."""
        self.state.apply(SubmitJob(spec=spec, now_ms=self.term.now_ms()))
        self.job_index.refresh_job(spec.job_id)

    def run_round(self):
        """Run a decision and a round, and commit its starts; return their jobs."""
        self.admission.update()
        starts = self.rounds.decide()
        self.state.apply(StartRuns(starts=starts, now_ms=self.term.now_ms()))
        for start in starts:
            self.job_index.refresh_job(start.key.job_id)
        return [start.key.job_id for start in starts]

    def order(self):
        """Return the waiting jobs in their order."""
        waiting = self.job_index.waiting(self.term.now_ms(), lambda run: False)
        return list(dict.fromkeys(tasks[0].key.job_id for _, tasks in waiting))

    def events(self, name):
        """Return the details of the events with a name."""
        calls = self.term.emit.call_args_list
        return [call.kwargs["detail"] for call in calls if call.args[0] is name]

    def flood(self, n_jobs=40):
        """Let a customer ask for several times the capacity until the jobs are due."""
        for number in range(n_jobs):
            self.submit(make_spec(f"f{number:02}"))
        self.run_round()
        self.advance(200)


class TestOrder(AdmissionCase):
    """The order of waiting jobs."""

    def test_a_small_customer_goes_before_a_flood(self):
        """Guards against a customer that waits for jobs beyond the share of another."""
        self.flood()
        self.assertEqual(self.order()[0], "f02")
        self.submit(make_spec("s", customer="small"))
        self.run_round()
        self.assertEqual(self.order()[0], "s")
        (begun,) = self.events(EventName.CONTENTION_BEGUN)
        self.assertIn("over their share: flood", begun)

    def test_jobs_between_two_decisions_do_not_pass_small_customers(self):
        """Guards against new jobs of a flood going first until the next decision."""
        self.flood()
        self.submit(make_spec("s", customer="small"))
        self.run_round()
        self.submit(make_spec("new", estimate_ms=100))
        self.assertEqual(self.order()[0], "s")

    def test_the_order_without_contention_is_the_earlier_one(self):
        """Guards against a changed order in a pool that runs all that it has."""
        self.submit(make_spec("a"))
        self.submit(make_spec("b", customer="small"))
        self.run_round()
        self.advance(200)
        self.submit(make_spec("c", n_tasks=2))
        self.run_round()
        self.assertEqual(self.job_index.turns, {})
        self.assertEqual(self.events(EventName.CONTENTION_BEGUN), [])

    def test_long_running_tasks_leave_less_capacity(self):
        """Guards against work planned on cores that never become free."""
        self.submit(make_spec("forever", n_tasks=6, is_long_running=True))
        self.run_round()
        self.flood()
        self.run_round()
        (outlook,) = self.admission.gate._outlooks.values()
        self.assertEqual(outlook.capacity.cores, 2.0)

    def test_a_new_plan_changes_the_deadlines_of_known_jobs(self):
        self.flood()
        self.run_round()
        self.assertGreater(self.admission._orders["p"].n_deferred, 0)
        queue = msgspec.structs.replace(QUEUE, target_latency_ms=60_000)
        plan = msgspec.structs.replace(PLAN, version=2, queues=(queue,))
        self.state.apply(ReplacePlan(plan=plan))
        self.job_index.update_plan()
        self.advance(200)
        self.run_round()
        self.assertEqual(self.admission._orders["p"].n_deferred, 0)

    def test_a_new_leader_measures_what_it_finds_part_by_part(self):
        """Guards against a new leader that stands still to measure many jobs."""
        for number in range(700):
            self.submit(make_spec(f"f{number}"))
        works = JobWorks(
            state=self.state,
            job_index=JobIndex(self.state),
            run_times=RunTimeModel(LeaderPolicy().vms.run_times),
            cfg=self.cfg,
        )
        n_measured = []
        for _ in range(2):
            works.refresh()
            pools = works.by_pool(self.term.now_ms(), lambda pool: set())
            n_measured.append(len(pools["p"].jobs))
        self.assertEqual(n_measured, [500, 700])

    def test_running_tasks_count_with_what_remains_of_them(self):
        """Guards against deferring a nearly done job, or cores planned twice."""
        self.submit(make_spec("a", n_tasks=9))
        self.run_round()
        repetition = Repetition(first_at_ms=0, interval_ms=1000, count=2)
        spec = msgspec.structs.replace(make_spec("often"), repetition=repetition)
        self.submit(spec)
        for passed_ms, is_kept in ((0, False), (500, True)):
            self.advance(passed_ms)
            self.admission._works.refresh()
            pools = self.admission._works.by_pool(
                self.term.now_ms(), lambda pool: {"v1", "v2"}
            )
            self.assertEqual([job.is_kept for job in pools["p"].jobs], [is_kept])
            self.assertEqual(pools["p"].held, {"flood": 8.0})
            self.assertEqual(len(pools["p"].busy), 8)

    def test_slow_decisions_are_taken_less_often(self):
        """Guards against a leader that does little else than decide."""
        self.flood()
        with mock.patch.object(admission_module, "order_jobs") as decide:
            decide.side_effect = lambda *args, **options: self.advance(20)
            self.admission.update()
            self.advance(300)
            self.admission.update()
            self.assertEqual(decide.call_count, 1)
            self.advance(100)
            self.admission.update()
        self.assertEqual(decide.call_count, 2)

    def test_a_leader_that_does_not_know_its_vms_changes_no_order(self):
        with mock.patch.object(self.moves, "has_surveyed", return_value=False):
            self.flood()
            self.run_round()
        self.assertEqual(self.job_index.turns, {})

    def test_the_end_of_contention_is_logged_once(self):
        self.flood()
        self.run_round()
        for _ in range(40):
            self.advance(250)
            self.run_round()
        self.assertEqual(len(self.events(EventName.CONTENTION_ENDED)), 1)
        self.assertEqual(self.job_index.turns, {})

    def test_contention_for_a_pool_changes_no_order_elsewhere(self):
        self.add_vm("o1", pool="other")
        for job_id in ("x1", "x2"):
            spec = make_spec(job_id)
            self.submit(msgspec.structs.replace(spec, queue="q2", pool="other"))
        self.flood()
        self.run_round()
        self.assertIn("x2", self.order())
        self.assertIn("f02", self.job_index.turns)
        self.assertNotIn("x2", self.job_index.turns)

    def test_an_error_restores_the_earlier_order(self):
        """Guards against a fault of a decision that stops the placement."""
        self.flood()
        self.submit(make_spec("s", customer="small"))
        with mock.patch.object(admission_module, "order_jobs", side_effect=ValueError):
            self.run_round()
            self.advance(200)
            self.run_round()
        self.assertEqual(self.order()[0], "f02")
        self.assertEqual(len(self.events(EventName.WARNING)), 1)

    def test_decisions_are_not_taken_more_often_than_set(self):
        self.flood()
        with mock.patch.object(admission_module, "order_jobs") as decide:
            decide.return_value = SimpleNamespace(turns={}, new_turns={}, n_deferred=0)
            for _ in range(10):
                self.admission.update()
                self.advance(100)
        self.assertEqual(decide.call_count, 5)

    def test_idle_machines_elsewhere_count_as_capacity_that_comes_later(self):
        """Guards against jobs deferred although machines will come in time for them."""
        self.cfg = AdmissionSettings(
            enabled=True, arrival_delay=timedelta(milliseconds=200)
        )
        n_deferred = []
        for n_idle in (0, 6):
            self.setUp()
            for number in range(n_idle):
                self.add_vm(f"o{number}", pool="other")
            self.flood(n_jobs=10)
            self.run_round()
            n_deferred.append(self.admission._orders["p"].n_deferred)
        self.assertGreater(n_deferred[0], 0)
        self.assertLess(n_deferred[1], n_deferred[0] / 2)


class TestRefusals(AdmissionCase):
    """Refusals of jobs that arrive, through the service."""

    def setUp(self):
        super().setUp()
        self.term.on_command = lambda command: None
        self.service = JobService(
            term=self.term, scheduler=None, gate=self.admission.gate
        )

    def overload(self):
        """Let a customer ask for more than can be done before any use is gone."""
        self.advance(self.cfg.grace / MS)
        self.flood(n_jobs=120)
        self.run_round()

    async def test_a_refusal_leaves_no_trace_in_the_log(self):
        """Guards against refused jobs that are stored, or run later."""
        self.overload()
        with self.assertRaises(JobRefusedError) as caught:
            await self.service.submit(make_spec("new", n_tasks=8))
        self.assertGreater(caught.exception.retry_after, timedelta(seconds=3))
        self.assertNotIn("new", self.state.jobs)
        self.assertEqual(self.term.n_commands, 0)
        (detail,) = self.events(EventName.JOB_REFUSED)
        self.assertRegex(detail, "p, customer flood, capacity: .* 8.0 cores; retry in")

    async def test_a_job_for_which_others_would_be_late_is_refused(self):
        """Guards against accepted jobs that end too late for those after them."""
        for protect in (True, False):
            self.cfg = AdmissionSettings(enabled=True, protect=protect)
            self.setUp()
            self.advance(self.cfg.grace / MS)
            await self.service.submit(make_spec("first"))
            self.flood(n_jobs=20)
            self.run_round()
            spec = make_spec("new", n_tasks=8)
            with self.subTest(protect=protect):
                if not protect:
                    await self.service.submit(spec)
                    continue
                with self.assertRaises(JobRefusedError):
                    await self.service.submit(spec)
                (detail,) = self.events(EventName.JOB_REFUSED)
                self.assertRegex(detail, "p, customer flood, (price|deadline): ")
                # The capacity is its own, whatever others ask for.
                await self.service.submit(make_spec("s", customer="small"))

    async def test_a_repeat_of_a_known_job_is_answered_as_before(self):
        self.overload()
        job = await self.service.submit(make_spec("f77"))
        self.assertIs(job, self.state.jobs["f77"])

    async def test_a_job_that_may_be_committed_is_never_refused(self):
        """Guards against "not run" for a job whose first submission is not decided."""
        spec = make_spec("new", n_tasks=8)
        with (
            mock.patch.object(
                self.term, "propose", side_effect=CommandOutcomeUnknownError
            ),
            self.assertRaises(CommandOutcomeUnknownError),
        ):
            await self.service.submit(spec)
        self.overload()
        self.assertEqual((await self.service.submit(spec)).spec, spec)

    async def test_other_jobs_are_not_refused(self):
        """Guards against refusing what may run at once, or has no deadline."""
        self.overload()
        forever = make_spec("forever", n_tasks=8, is_long_running=True)
        within_share = make_spec("s", n_tasks=8, customer="small")
        for spec in (forever, within_share):
            await self.service.submit(spec)
        await self.service.cancel("gone", customer="flood")
        job = await self.service.submit(make_spec("gone", n_tasks=8))
        self.assertEqual(job.status, JobStatus.CANCELLED)
        self.add_vm("v3")
        self.rounds.backlog["p"].needs.clear()
        await self.service.submit(make_spec("free", n_tasks=8))

    async def test_tasks_that_exclude_vms_do_not_make_a_pool_full(self):
        """Guards against refusals while VMs are free that a label excludes."""
        self.submit(make_spec("labelled", label="absent"))
        self.run_round()
        self.assertEqual(self.rounds.backlog["p"].needs, set())
        self.flood()
        self.run_round()
        self.assertEqual(self.rounds.backlog["p"].needs, {Amounts(1000, 10)})

    async def test_nothing_is_refused_by_a_new_or_a_deposed_leader(self):
        """Guards against refusals before VMs have answered, and by two leaders."""
        self.flood(n_jobs=120)
        self.run_round()
        await self.service.submit(make_spec("early", n_tasks=8))
        self.setUp()
        self.overload()
        self.term.is_leader = False
        await self.service.submit(make_spec("deposed", n_tasks=8))

    async def test_an_error_accepts_the_job(self):
        self.overload()
        with mock.patch.object(PoolOutlook, "judge", side_effect=ValueError):
            await self.service.submit(make_spec("new", n_tasks=8))
        self.assertEqual(len(self.events(EventName.WARNING)), 1)

    async def test_each_part_has_its_own_switch(self):
        """Guards against a part that can't be switched off, or measured alone."""
        self.cfg = AdmissionSettings(enabled=True, order=False)
        self.setUp()
        self.overload()
        self.assertEqual(self.job_index.turns, {})
        with self.assertRaises(JobRefusedError):
            await self.service.submit(make_spec("new", n_tasks=8))
        self.cfg = AdmissionSettings(enabled=True, refuse=False)
        self.setUp()
        self.overload()
        self.assertNotEqual(self.job_index.turns, {})
        await self.service.submit(make_spec("new", n_tasks=8))


if __name__ == "__main__":
    unittest.main()
