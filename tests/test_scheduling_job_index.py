"""Tests of the order in which waiting jobs are placed."""

import unittest

import msgspec

from redwingslip.jobs import (
    Amounts,
    EndKind,
    JobSpec,
    JobsState,
    NoteVm,
    Plan,
    Pool,
    Queue,
    RecordEnds,
    Repetition,
    ReplacePlan,
    RunEnd,
    RunStart,
    StartRuns,
    StepSpec,
    SubmitJob,
    TaskKey,
    VmRecord,
)
from redwingslip.jobs._crashes import MAX_CRASHES
from redwingslip.scheduling._job_index import JobIndex

QUEUES = (
    Queue(
        name="checks",
        host="h",
        path_prefix="/c/",
        pool="p",
        priority=0,
        stretch=2.0,
        target_latency_ms=500,
    ),
    Queue(
        name="bulk",
        host="h",
        path_prefix="/b/",
        pool="p",
        priority=1,
        stretch=2.0,
        target_latency_ms=500,
    ),
)
STEP = StepSpec(n_tasks=1, need=Amounts(500, 10), estimate_ms=1000)


def never_silent(run):
    """Return that the VM of a run answers."""
    return False


class TestJobIndex(unittest.TestCase):
    """Order under overload: more jobs are submitted than the pool completes in time."""

    def setUp(self):
        self.state = JobsState()
        plan = Plan(version=1, queues=QUEUES, pools=(Pool(name="p"),))
        self.state.apply(ReplacePlan(plan=plan))
        vm = VmRecord(vm_id="v1", born_ms=1, capacity=Amounts(9000, 9000))
        self.state.apply(NoteVm(vm=vm, now_ms=1))

    def submit(self, job_id, *steps, at_ms=0, queue="checks", **options):
        spec = JobSpec(
            job_id=job_id, queue=queue, pool="p", steps=steps or (STEP,), **options
        )
        self.state.apply(SubmitJob(spec=spec, now_ms=at_ms))

    def order(self, now_ms):
        job_index = JobIndex(self.state)
        waiting = job_index.waiting(now_ms, never_silent)
        return [tasks[0].key.job_id for _, tasks in waiting]

    def start(self, key):
        command = StartRuns(starts=(RunStart(key, "v1", 1),), now_ms=1)
        (run,) = self.state.apply(command)
        return run

    def test_the_job_that_is_due_first_goes_first(self):
        self.submit("later", at_ms=900)
        self.submit("sooner", at_ms=100)
        self.assertEqual(self.order(1000), ["sooner", "later"])

    def test_urgent_queues_go_first(self):
        self.submit("bulk", at_ms=0, queue="bulk")
        self.submit("check", at_ms=900)
        self.assertEqual(self.order(1000), ["check", "bulk"])

    def test_a_removed_queue_keeps_its_place_in_the_order(self):
        self.submit("late", at_ms=0)
        self.submit("bulk", at_ms=9000, queue="bulk")
        self.submit("check", at_ms=9050)
        before = self.order(9100)
        self.state.apply(ReplacePlan(plan=Plan(version=2, pools=(Pool(name="p"),))))
        self.assertEqual(self.order(9100), before)
        self.assertEqual(before, ["check", "bulk", "late"])

    def test_a_removed_queue_still_needs_advice(self):
        advised = msgspec.structs.replace(QUEUES[0], needs_advice=True)
        plan = Plan(version=2, queues=(advised,), pools=(Pool(name="p"),))
        self.state.apply(ReplacePlan(plan=plan))
        self.submit("check")
        self.state.apply(ReplacePlan(plan=Plan(version=3, pools=(Pool(name="p"),))))
        self.assertTrue(JobIndex(self.state).needs_advice("check"))

    def test_a_backlog_of_late_jobs_does_not_make_the_next_ones_late(self):
        """At five times the mean load, the oldest jobs can no longer be on time."""
        for number in range(5):
            self.submit(f"late{number}", at_ms=0)
        self.submit("fresh", at_ms=3000)
        self.assertEqual(self.order(3100)[0], "fresh")

    def test_jobs_that_are_too_late_to_be_useful_go_last(self):
        self.submit("useless", at_ms=0)
        self.submit("late", at_ms=6000)
        self.submit("fresh", at_ms=9000)
        self.assertEqual(self.order(9100), ["fresh", "late", "useless"])

    def test_long_running_tasks_go_before_everything(self):
        self.submit("check", at_ms=0)
        step = StepSpec(n_tasks=1, is_long_running=True)
        self.submit("long", step, at_ms=900, queue="bulk")
        self.assertEqual(self.order(1000), ["long", "check"])

    def test_a_step_waits_for_its_preceding_steps(self):
        second = StepSpec(n_tasks=2, after=(0,))
        self.submit("j", STEP, second)
        job_index = JobIndex(self.state)
        ((_, tasks),) = job_index.waiting(0, never_silent)
        self.assertEqual([task.key.step for task in tasks], [0])
        key = TaskKey("j", 0, 0, 0)
        self.start(key)
        end = RunEnd(key, 1, EndKind.DONE)
        self.state.apply(RecordEnds(vm_id="v1", born_ms=1, ends=(end,), now_ms=2))
        job_index.refresh_job("j")
        ((_, tasks),) = job_index.waiting(0, never_silent)
        self.assertEqual([task.key.step for task in tasks], [1, 1])

    def test_an_occurrence_waits_for_its_due_time(self):
        times = Repetition(first_at_ms=5000, interval_ms=2000, count=2)
        self.submit("timed", repetition=times)
        job_index = JobIndex(self.state)
        self.assertEqual(job_index.waiting(4999, never_silent), [])
        ((_, tasks),) = job_index.waiting(5000, never_silent)
        self.assertEqual([task.key.occurrence for task in tasks], [0])
        ((_, tasks),) = job_index.waiting(7000, never_silent)
        self.assertEqual([task.key.occurrence for task in tasks], [0, 1])

    def test_a_speculative_task_waits_again_when_its_run_is_suspect(self):
        step = StepSpec(n_tasks=1, is_speculative=True)
        self.submit("twice", step)
        self.submit("once")
        self.start(TaskKey("twice", 0, 0, 0))
        self.start(TaskKey("once", 0, 0, 0))
        job_index = JobIndex(self.state)
        self.assertEqual(job_index.waiting(1, never_silent), [])
        ((_, tasks),) = job_index.waiting(1, lambda run: True)
        self.assertEqual(tasks[0].key.job_id, "twice")

    def fall_silent(self, key, vm_id):
        """Let a VM that has just started a task fall silent."""
        vm = VmRecord(vm_id=vm_id, born_ms=1, machine=vm_id, address=vm_id)
        self.state.apply(NoteVm(vm=vm, now_ms=1))
        starts = (RunStart(key, vm_id, 1),)
        (run,) = self.state.apply(StartRuns(starts=starts, now_ms=1))
        end = RunEnd(key, run.number, EndKind.LOST)
        command = RecordEnds(
            vm_id=vm_id, born_ms=1, ends=(end,), now_ms=1, is_silent=True
        )
        self.state.apply(command)

    def answer(self, vm_id):
        """Let a silent VM answer again."""
        command = RecordEnds(vm_id=vm_id, born_ms=1, ends=(), now_ms=1, is_alive=True)
        self.state.apply(command)

    def test_a_quarantined_task_waits_until_a_silent_vm_answers(self):
        """Guards against one more VM that a crashing task takes down unnoticed."""
        self.submit("suspect", msgspec.structs.replace(STEP, n_tasks=2))
        key = TaskKey("suspect", 0, 0, 0)
        for number in range(MAX_CRASHES):
            self.fall_silent(key, f"silent{number}")
        ((_, tasks),) = JobIndex(self.state).waiting(1000, never_silent)
        self.assertEqual([task.key.index for task in tasks], [1])
        self.answer("silent0")
        waiting = JobIndex(self.state).waiting(1000, never_silent)
        keys = [task.key.index for _, tasks in waiting for task in tasks]
        self.assertEqual(sorted(keys), [0, 1])

    def test_members_of_a_gang_start_with_one_checkpoint(self):
        """Guards against gangs that never work; snapshots may hold two checkpoints."""
        step = msgspec.structs.replace(STEP, n_tasks=3, is_gang=True)
        self.submit("gang", step)
        for index, checkpoint in enumerate(("", "early", "late")):
            task = self.state.task(TaskKey("gang", 0, 0, index))
            task.checkpoint = checkpoint
        ((_, tasks),) = JobIndex(self.state).waiting(1000, never_silent)
        checkpoints = {task.checkpoint for task in tasks}
        self.assertEqual(len(tasks), 3)
        self.assertIn(checkpoints, ({"early"}, {"late"}))

    def test_a_gang_with_a_quarantined_task_waits_as_a_whole(self):
        """Guards against a gang that starts without one of its members."""
        self.submit("gang", msgspec.structs.replace(STEP, n_tasks=2, is_gang=True))
        key = TaskKey("gang", 0, 0, 0)
        for number in range(MAX_CRASHES):
            self.fall_silent(key, f"silent{number}")
        self.assertEqual(JobIndex(self.state).waiting(1000, never_silent), [])
        self.answer("silent0")
        ((_, tasks),) = JobIndex(self.state).waiting(1000, never_silent)
        self.assertEqual(len(tasks), 2)

    def test_jobs_with_a_started_task_do_not_count_as_not_begun(self):
        self.submit("a")
        self.submit("b")
        self.start(TaskKey("a", 0, 0, 0))
        self.assertEqual(JobIndex(self.state).n_not_begun("checks"), 1)

    def test_usage_sums_the_runs_of_a_customer(self):
        self.submit("j", customer="forges")
        self.start(TaskKey("j", 0, 0, 0))
        usage = self.state.usage.of_customers()
        self.assertEqual(usage, {"forges": Amounts(500, 10)})
        used, steps = self.state.usage.of_vm("v1")
        self.assertEqual(used, Amounts(500, 10))
        self.assertEqual(steps, {("j", 0, 0): 1})
