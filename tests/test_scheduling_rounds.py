"""Tests of rounds of placement: starts, backlog, preemption and advice."""

import unittest
from datetime import timedelta
from unittest import mock

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    Amounts,
    Customer,
    EndKind,
    JobSpec,
    JobsState,
    NoteVm,
    Plan,
    Pool,
    Queue,
    RecordEnds,
    ReplacePlan,
    RunEnd,
    RunStart,
    StartRuns,
    StepSpec,
    SubmitJob,
    TaskKey,
)
from redwingslip.placement import Placer
from redwingslip.scheduling import MachineRegistry
from redwingslip.scheduling._job_index import JobIndex
from redwingslip.scheduling._machines import RECALL_TIME
from redwingslip.scheduling._rounds import (
    MAX_FIRST_START_WAIT,
    MAX_ISOLATION_WAIT,
    MAX_RESTART_WAIT,
    PlacementRounds,
)
from tests.support_scheduling import FakeEndpoint, FakeTerm, make_agent, make_vm

PLAN = Plan(
    version=1,
    queues=(
        Queue(name="q", host="h", path_prefix="/q/", pool="p"),
        Queue(name="advised", host="h", path_prefix="/a/", pool="p", needs_advice=True),
    ),
    pools=(Pool(name="p"),),
    customers=(
        Customer(name="free", weight=1),
        Customer(name="small", weight=1, limit=Amounts(1000, 0, 0)),
    ),
)
NEED = Amounts(1000, 10)


class FakeAdvice:
    """A cache with fixed tickets that records requests."""

    def __init__(self):
        self.ticket_by_vm = {}
        self.requested = []
        self.urgent = []

    def tickets(self, step):
        """Return the tickets that the test has set."""
        return self.ticket_by_vm

    def request(self, step, pool, *, is_urgent=False):
        """Record a request."""
        self.requested.append(step)
        self.urgent += [step] * is_urgent


class TestPlacementRounds(unittest.TestCase):
    """One pool of one VM with four cores."""

    def setUp(self):
        self.state = JobsState()
        self.state.apply(ReplacePlan(plan=PLAN))
        vm = make_vm("v1", capacity=Amounts(4000, 4000))
        self.state.apply(NoteVm(vm=vm, now_ms=1))
        self.term = FakeTerm(self.state, ManualClock())
        self.agent = make_agent(vm, FakeEndpoint(), self.term)
        self.agent._has_renewed_lease = True
        agents = {"v1": self.agent}
        self.machines = MachineRegistry(self.term, agents, takeover_delay=timedelta(0))
        self.advice = FakeAdvice()

    def submit(self, job_id, *, customer="free", queue="q", **step):
        spec = StepSpec(**{"n_tasks": 4, "need": NEED, **step})
        job = JobSpec(
            job_id=job_id, queue=queue, pool="p", customer=customer, steps=(spec,)
        )
        self.state.apply(SubmitJob(spec=job, now_ms=0))

    def decide(self):
        self.rounds = PlacementRounds(
            term=self.term,
            machines=self.machines,
            job_index=JobIndex(self.state),
            advice=self.advice,
        )
        return self.rounds.decide()

    def fill(self):
        """Fill the VM with short runs."""
        self.submit("short")
        starts = tuple(
            RunStart(TaskKey("short", 0, 0, index), "v1", 1) for index in range(4)
        )
        self.state.apply(StartRuns(starts=starts, now_ms=1))

    def stopped(self):
        return [key for key, _ in self.agent._sender._pending]

    def test_unplaced_tasks_form_the_backlog_of_the_pool(self):
        self.submit("j", n_tasks=7)
        self.assertEqual(len(self.decide()), 4)
        self.assertEqual(self.rounds.backlog["p"].cpu, 3000)

    def test_a_vm_that_left_a_poll_unanswered_gets_no_runs(self):
        """Guards against runs that are lost with a VM that had crashed before."""
        self.agent._sender.is_unresponsive = True
        self.submit("j")
        self.assertEqual(self.decide(), ())

    def test_capacity_that_shrinks_and_grows_while_a_vm_runs(self):
        """Guards against a VM that gets more runs than it has room for by then."""
        self.fill()
        self.submit("j")
        for cpu, n_starts in ((2000, 0), (6000, 2)):
            vm = make_vm("v1", capacity=Amounts(cpu, 4000))
            self.state.apply(NoteVm(vm=vm, now_ms=2))
            self.agent.update(self.state.vms["v1"])
            self.assertEqual(len(self.decide()), n_starts)

    def test_no_vm_is_kept_free_for_a_customer_at_its_limit(self):
        """Guards against capacity that nobody uses, for a task that must wait."""
        self.submit("running", customer="small", n_tasks=1)
        starts = (RunStart(TaskKey("running", 0, 0, 0), "v1", 1),)
        self.state.apply(StartRuns(starts=starts, now_ms=1))
        self.submit("suspect", customer="small", n_tasks=1)
        task = self.state.task(TaskKey("suspect", 0, 0, 0))
        task.crashed_machines = ["m8", "m9"]
        self.submit("other", n_tasks=1)
        self.assertEqual([start.key.job_id for start in self.decide()], ["other"])

    def suspect_beside_long_running(self, **step):
        """Have a task that crashed two VMs wait beside a long-running one."""
        self.submit("long", n_tasks=1, is_long_running=True)
        starts = (RunStart(TaskKey("long", 0, 0, 0), "v1", 1),)
        self.state.apply(StartRuns(starts=starts, now_ms=1))
        self.submit("suspect", **{"n_tasks": 1, **step})
        task = self.state.task(TaskKey("suspect", 0, 0, 0))
        task.crashed_machines = ["m8", "m9"]
        self.assertEqual(self.decide(), ())
        self.assertEqual(self.rounds.backlog["p"].n_vms, 1)

    def wait(self, wait):
        """Let time pass in which the VM answers, and run one more round."""
        self.term.clock.advance(wait)
        self.agent.lease.note_contact(self.term.clock.monotonic())
        self.starts = self.rounds.decide()
        return [start.key.job_id for start in self.starts]

    def test_an_isolated_task_does_not_wait_for_a_vm_without_runs_for_good(self):
        """Guards against a task that never starts again after two of its VMs crashed.

        Each VM of the pool runs a long-running task, and no machine joins.
        """
        self.suspect_beside_long_running()
        self.assertEqual(self.wait(MAX_ISOLATION_WAIT - timedelta(seconds=1)), [])
        self.assertEqual(self.wait(timedelta(seconds=1)), ["suspect"])

    def test_an_isolated_task_waits_while_its_pool_is_in_use(self):
        """Guards against the loss of other callers' runs while there is no room."""
        self.submit("short", n_tasks=2)
        starts = tuple(
            RunStart(TaskKey("short", 0, 0, index), "v1", 1) for index in range(2)
        )
        self.state.apply(StartRuns(starts=starts, now_ms=1))
        self.suspect_beside_long_running()
        self.assertEqual(self.wait(2 * MAX_ISOLATION_WAIT), [])

    def test_a_long_running_task_is_isolated_for_a_bounded_time(self):
        """Guards against a service that stays away while its pool is in use."""
        self.submit("short", n_tasks=2)
        starts = tuple(
            RunStart(TaskKey("short", 0, 0, index), "v1", 1) for index in range(2)
        )
        self.state.apply(StartRuns(starts=starts, now_ms=1))
        self.suspect_beside_long_running(is_long_running=True)
        self.assertEqual(self.wait(MAX_ISOLATION_WAIT), ["suspect"])

    # LOST: a lasting task waited for good, with room for it beside others of its step.
    def test_a_long_running_task_waits_for_its_budget_for_a_bounded_time(self):
        self.submit("long", n_tasks=2, is_long_running=True, disruption_budget=1)
        (start,) = self.decide()
        self.state.apply(StartRuns(starts=(start,), now_ms=1))
        self.rounds._job_index.refresh_job("long")
        self.assertEqual(self.rounds.backlog["p"].n_vms, 1)
        self.assertEqual(self.wait(timedelta(0)), [])
        almost = MAX_FIRST_START_WAIT - timedelta(milliseconds=1)
        self.assertEqual(self.wait(almost), [])
        self.assertEqual(self.wait(timedelta(milliseconds=1)), ["long"])

    def test_a_task_that_began_to_wait_holds_up_none_that_has_waited(self):
        """Guards against a task that waits as long as others are lost before it."""
        self.submit("long", n_tasks=3, is_long_running=True, disruption_budget=1)
        first, last = (TaskKey("long", 0, 0, index) for index in (0, 2))
        for index in (0, 1):
            start = RunStart(TaskKey("long", 0, 0, index), "v1", 1)
            self.state.apply(StartRuns(starts=(start,), now_ms=1))
        self.assertEqual(self.decide(), ())
        self.term.clock.advance(MAX_FIRST_START_WAIT - MAX_RESTART_WAIT / 2)
        self.state.apply(
            RecordEnds(
                vm_id="v1",
                born_ms=1,
                ends=(RunEnd(first, 1, EndKind.LOST),),
                now_ms=2,
            )
        )
        self.rounds._job_index.refresh_job("long")
        self.assertEqual(self.wait(timedelta(0)), [])
        # The last task has waited for its first start, but not the first one.
        self.wait(MAX_RESTART_WAIT / 2)
        self.assertEqual([start.key for start in self.starts], [last])

    def test_a_task_that_was_lost_waits_for_less_time_than_a_new_one(self):
        """Guards against a lasting task that is away for long after its VM is lost."""
        self.submit("long", n_tasks=2, is_long_running=True, disruption_budget=1)
        for index in (0, 1):
            start = RunStart(TaskKey("long", 0, 0, index), "v1", 1)
            self.state.apply(StartRuns(starts=(start,), now_ms=1))
        end = RunEnd(TaskKey("long", 0, 0, 0), 1, EndKind.LOST)
        self.state.apply(RecordEnds(vm_id="v1", born_ms=1, ends=(end,), now_ms=2))
        self.assertEqual(self.decide(), ())
        self.assertEqual(self.wait(MAX_RESTART_WAIT), ["long"])

    # LOST: each start that came to nothing made a lasting task wait anew.
    def test_a_run_that_was_never_at_work_does_not_end_the_wait(self):
        self.submit("long", n_tasks=2, is_long_running=True, disruption_budget=1)
        start = RunStart(TaskKey("long", 0, 0, 1), "v1", 1)
        self.state.apply(StartRuns(starts=(start,), now_ms=1))
        self.decide()
        self.assertEqual(self.wait(MAX_FIRST_START_WAIT), ["long"])
        self.state.apply(StartRuns(starts=self.starts, now_ms=2))
        self.rounds._job_index.refresh_job("long")
        self.assertEqual(self.wait(timedelta(seconds=1)), [])
        end = RunEnd(TaskKey("long", 0, 0, 0), 1, EndKind.REJECTED)
        self.state.apply(RecordEnds(vm_id="v1", born_ms=1, ends=(end,), now_ms=3))
        self.rounds._job_index.refresh_job("long")
        self.assertEqual(self.wait(timedelta(0)), ["long"])

    # LOST: a lasting task under suspicion waited as long as its pool was full.
    def test_a_suspected_long_running_task_preempts_once_it_has_waited(self):
        self.fill()
        self.submit("long", n_tasks=1, is_long_running=True)
        task = self.state.task(TaskKey("long", 0, 0, 0))
        task.crashed_machines = ["m8", "m9"]
        self.assertEqual(self.decide(), ())
        self.assertEqual(self.stopped(), [])
        self.wait(MAX_FIRST_START_WAIT)
        self.assertEqual(len(self.stopped()), 1)

    def report_wait(self):
        """Return the details of the entries on a task that waits for 6 s."""
        reports = []
        self.term.emit = lambda name, **fields: reports.append(fields["detail"])
        self.decide()
        for _ in range(4):
            self.wait(timedelta(seconds=1.5))
        return reports

    def test_the_log_tells_why_a_long_running_task_waits(self):
        """Guards against lost tasks whose log does not tell what kept them waiting."""
        self.machines.claim("m-v1", "a wave")
        self.submit("long", n_tasks=1, is_long_running=True)
        reports = self.report_wait()
        self.assertEqual(
            reports,
            [
                f"0.0.0 run 0 has waited for {waited} s; VMs of p: 1 claimed"
                for waited in (3.0, 6.0)
            ],
        )

    def test_the_log_tells_that_a_customer_is_at_its_limit(self):
        need = Amounts(1001, 10)
        self.submit(
            "long", customer="small", n_tasks=1, is_long_running=True, need=need
        )
        self.assertIn("its customer is at its limit", self.report_wait()[0])

    def test_a_job_that_fails_a_round_does_not_keep_others_waiting(self):
        """Guards against one task for which the leader places nothing any more."""
        self.submit("bad", n_tasks=1)
        self.submit("good", n_tasks=1)
        warnings = []
        self.term.emit = lambda name, **fields: warnings.append(fields)
        place = Placer.place_step

        def fail(placer, tasks):
            if tasks[0].key.job_id == "bad":
                raise ValueError("bad task")
            return place(placer, tasks)

        with mock.patch.object(Placer, "place_step", fail):
            starts = self.decide()
            self.rounds.decide()
        self.assertEqual([start.key.job_id for start in starts], ["good"])
        detail = "the job can't be placed: ValueError('bad task')"
        self.assertEqual(warnings, [{"request_id": "bad", "detail": detail}])

    def test_a_claimed_machine_gets_no_runs(self):
        self.machines.claim("m-v1", "a wave")
        self.submit("j")
        self.assertEqual(self.decide(), ())

    def claim_with_recall(self, *, gives_way=True):
        """Claim the machine for a wave that gives way to a recall or does not."""
        recalled = []

        def on_recall(machine):
            recalled.append(machine)
            if gives_way:
                self.machines.release(machine, "a wave")
            return gives_way

        self.machines.claim("m-v1", "a wave", on_recall)
        return recalled

    # LOST: a lasting task waited for a machine of a wave, and the wave for the task.
    def test_a_long_running_task_that_has_waited_recalls_a_claimed_machine(self):
        recalled = self.claim_with_recall()
        self.submit("long", n_tasks=1, is_long_running=True)
        self.decide()
        self.assertEqual(recalled, [])
        self.assertEqual(self.wait(MAX_FIRST_START_WAIT), [])
        self.assertEqual(recalled, ["m-v1"])
        self.assertEqual(self.wait(timedelta(0)), ["long"])
        self.assertFalse(self.machines.claim("m-v1", "a wave"))
        self.term.clock.advance(RECALL_TIME)
        self.assertTrue(self.machines.claim("m-v1", "a wave"))

    def test_a_machine_full_of_a_gang_is_recalled(self):
        """The gang is stopped there in the next round."""
        recalled = self.claim_with_recall()
        self.submit("gang", n_tasks=4, is_gang=True)
        starts = tuple(
            RunStart(TaskKey("gang", 0, 0, index), "v1", 1) for index in range(4)
        )
        self.state.apply(StartRuns(starts=starts, now_ms=1))
        self.submit("long", n_tasks=1, is_long_running=True)
        self.decide()
        self.wait(MAX_FIRST_START_WAIT)
        self.assertEqual(recalled, ["m-v1"])
        self.wait(timedelta(0))
        self.assertEqual(len(self.stopped()), 4)

    def test_a_machine_whose_order_is_in_progress_is_not_recalled(self):
        self.claim_with_recall(gives_way=False)
        self.submit("long", n_tasks=1, is_long_running=True)
        self.decide()
        for _ in range(3):
            self.assertEqual(self.wait(MAX_FIRST_START_WAIT), [])

    def test_no_machine_is_recalled_for_a_task_that_its_vm_can_not_take(self):
        """Guards against moves and waves that are held up for nothing."""
        recalled = self.claim_with_recall()
        self.submit("wide", n_tasks=1, is_long_running=True, need=Amounts(4001, 10))
        self.submit("gpu", n_tasks=1, is_long_running=True, label="gpu")
        self.submit("ticket", queue="advised", n_tasks=1, is_long_running=True)
        self.submit("short", n_tasks=1)
        self.decide()
        self.wait(MAX_FIRST_START_WAIT)
        self.assertEqual(recalled, [])

    def test_a_long_running_task_preempts_short_runs(self):
        self.fill()
        self.submit("long", n_tasks=1, is_long_running=True)
        self.decide()
        self.assertEqual(len(self.stopped()), 1)

    # LOST: short tasks took the room that was being made for a lasting one.
    def test_room_that_becomes_free_in_parts_is_kept(self):
        self.fill()
        self.submit("long", n_tasks=1, is_long_running=True, need=Amounts(2000, 10))
        self.submit("other", n_tasks=1)
        self.assertEqual(self.decide(), ())
        (first, last) = (RunEnd(key, 1, EndKind.STOPPED) for key in self.stopped())
        for end, n_starts in ((first, 0), (last, 1)):
            self.state.apply(RecordEnds(vm_id="v1", born_ms=1, ends=(end,), now_ms=2))
            self.assertEqual(len(self.rounds.decide()), n_starts)

    def test_a_customer_at_its_limit_preempts_nothing_and_adds_no_backlog(self):
        """Its tasks wait for its own runs to end; more capacity would not help."""
        self.fill()
        step = {"n_tasks": 2, "is_long_running": True}
        self.submit("long", customer="small", **step)
        key = TaskKey("long", 0, 0, 0)
        self.state.apply(StartRuns(starts=(RunStart(key, "v1", 1),), now_ms=1))
        self.assertEqual(self.decide(), ())
        self.assertEqual(self.stopped(), [])
        self.assertEqual(self.rounds.backlog, {})

    # QUOTA: without its declaration, a customer's running work had no limit.
    def test_a_removed_customer_keeps_its_limit(self):
        self.submit("j", customer="small", n_tasks=3)
        plan = Plan(version=2, queues=PLAN.queues, pools=PLAN.pools)
        self.state.apply(ReplacePlan(plan=plan))
        self.assertEqual(len(self.decide()), 1)

    def test_a_queue_with_advice_requests_tickets_and_waits_for_them(self):
        self.submit("j", queue="advised", n_tasks=1)
        self.assertEqual(self.decide(), ())
        self.assertEqual(self.advice.requested, [("j", 0, 0)])
        self.advice.ticket_by_vm = {"v1": "ticket"}
        self.assertEqual(len(self.decide()), 1)

    # LOST: a lasting task waited for its ticket behind the requests of short ones.
    def test_the_requests_of_long_running_tasks_are_urgent(self):
        self.submit("short", queue="advised", n_tasks=1)
        self.submit("long", queue="advised", n_tasks=1, is_long_running=True)
        self.decide()
        self.assertEqual(len(self.advice.requested), 2)
        self.assertEqual(self.advice.urgent, [("long", 0, 0)])

    def test_a_task_with_advice_preempts_nothing_on_a_vm_without_a_ticket(self):
        self.fill()
        self.submit("long", queue="advised", n_tasks=1, is_long_running=True)
        self.decide()
        self.assertEqual(self.stopped(), [])
