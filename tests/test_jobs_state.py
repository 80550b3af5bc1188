"""Tests of the replicated state of jobs and VMs."""

import unittest

import msgspec

from redwingslip.jobs import (
    ACTIVE_STATUSES,
    Amounts,
    CancelJob,
    EndKind,
    ForgetJobs,
    ForgetVm,
    JobSpec,
    JobsState,
    JobStatus,
    NoteVm,
    Plan,
    Pool,
    Queue,
    RecordEnds,
    RecordMaintenance,
    RecordMove,
    ReplacePlan,
    RunEnd,
    RunStart,
    StartRuns,
    StartWave,
    StepSpec,
    SubmitJob,
    TaskKey,
    VmRecord,
)

MAX_ATTEMPTS = 2
PLAN = Plan(
    version=1,
    queues=(
        Queue(
            name="q", host="h", path_prefix="/q/", pool="p", max_attempts=MAX_ATTEMPTS
        ),
    ),
    pools=(Pool(name="p"),),
)
KEY = TaskKey("j1", 0, 0, 0)


def make_job(job_id="j1", *, customer="", **step):
    """Return the command that submits a job of one step."""
    spec = JobSpec(
        job_id=job_id,
        queue="q",
        pool="p",
        customer=customer,
        steps=(StepSpec(**{"n_tasks": 1, "need": Amounts(100, 10), **step}),),
    )
    return SubmitJob(spec=spec, now_ms=1)


def make_state(*jobs):
    """Return a state with a plan, a VM and the given jobs."""
    state = JobsState()
    state.apply(ReplacePlan(plan=PLAN))
    state.apply(NoteVm(vm=VmRecord(vm_id="v1", born_ms=1), now_ms=1))
    for job in jobs:
        state.apply(job)
    return state


def start(key=KEY, vm_id="v1", born_ms=1):
    """Return the command that starts a task."""
    return StartRuns(starts=(RunStart(key, vm_id, born_ms),), now_ms=2)


def end(kind, key=KEY, number=1, cursor=0, vm_id="v1", born_ms=1):
    """Return the command that records the end of a run."""
    return RecordEnds(
        vm_id=vm_id,
        born_ms=born_ms,
        ends=(RunEnd(key, number, kind),),
        now_ms=3,
        cursor=cursor,
    )


class TestJobsState(unittest.TestCase):
    """Single rules of the state."""

    def test_a_second_submission_returns_the_first_job(self):
        state = make_state(make_job())
        state.apply(start())
        second = state.apply(make_job(n_tasks=5))
        self.assertEqual(len(second.spec.steps), 1)
        self.assertEqual(second.spec.steps[0].n_tasks, 1)
        self.assertEqual(second.status, JobStatus.RUNNING)

    def test_run_numbers_increase_whatever_the_kind_of_end(self):
        state = make_state(make_job())
        numbers = []
        for kind in (EndKind.LOST, EndKind.REJECTED, EndKind.STOPPED):
            (run,) = state.apply(start())
            numbers.append(run.number)
            state.apply(end(kind, number=run.number))
        self.assertEqual(numbers, [1, 2, 3])

    def test_a_task_that_runs_is_not_started_again(self):
        state = make_state(make_job())
        state.apply(start())
        self.assertEqual(state.apply(start()), ())

    def test_a_done_task_is_not_started_again(self):
        state = make_state(make_job())
        state.apply(start())
        state.apply(end(EndKind.DONE))
        self.assertEqual(state.jobs["j1"].status, JobStatus.COMPLETED)
        self.assertEqual(state.apply(start()), ())

    def test_an_end_counts_after_its_run_was_closed(self):
        """Guards against a task that starts again although its VM reports it done.

        A leader may close a run that goes on, or has ended, on its VM.
        """
        for kind in (EndKind.LOST, EndKind.REJECTED, EndKind.STOPPED):
            with self.subTest(kind=kind):
                state = make_state(make_job())
                state.apply(start())
                state.apply(end(kind))
                state.apply(start())
                unmatched = state.apply(end(EndKind.DONE, cursor=5))
                self.assertEqual(len(unmatched), 1)
                self.assertEqual(state.vms["v1"].end_cursor, 5)
                self.assertEqual(state.jobs["j1"].status, JobStatus.COMPLETED)
                state.apply(end(EndKind.STOPPED, number=2, cursor=6))
                self.assertEqual(state.apply(start()), ())

    def test_a_failure_counts_once_after_its_run_was_closed(self):
        """Guards against attempts beyond the limit, and against too few of them."""
        state = make_state(make_job())
        state.apply(start())
        state.apply(end(EndKind.LOST))
        for cursor in (1, 2):
            state.apply(end(EndKind.FAILED, cursor=cursor))
            self.assertEqual(state.task(KEY).n_failures, 1)
        state.apply(start())
        state.apply(end(EndKind.FAILED, number=2, cursor=3))
        self.assertEqual(state.jobs["j1"].status, JobStatus.FAILED)

    def test_an_end_counts_after_its_run_was_closed_twice(self):
        """Guards against a leader's second record that takes the place of a report."""
        state = make_state(make_job())
        state.apply(start())
        for kind, cursor in ((EndKind.LOST, 0), (EndKind.LOST, 0), (EndKind.DONE, 1)):
            state.apply(end(kind, cursor=cursor))
        self.assertTrue(state.task(KEY).is_done)

    def test_the_numbers_of_closed_runs_take_little_space(self):
        """Guards against a state that grows with each run that a leader closes."""
        state = make_state(make_job(), make_job("j2", is_long_running=True))
        for key, n_kept in ((KEY, 32), (TaskKey("j2", 0, 0, 0), 0)):
            for number in range(1, 101):
                state.apply(start(key))
                state.apply(end(EndKind.REJECTED, key, number))
            self.assertEqual(len(state.task(key).unreported), n_kept)
        state.apply(end(EndKind.DONE, number=100, cursor=1))
        self.assertTrue(state.task(KEY).is_done)

    def test_an_end_of_a_run_that_was_never_placed_changes_nothing(self):
        state = make_state(make_job())
        state.apply(start())
        state.apply(end(EndKind.LOST))
        for number, key in ((2, KEY), (1, TaskKey("j2", 0, 0, 0))):
            state.apply(end(EndKind.DONE, key, number, cursor=1))
        self.assertFalse(state.task(KEY).is_done)

    def test_a_late_end_counts_after_a_snapshot(self):
        state = make_state(make_job())
        state.apply(start())
        state.apply(end(EndKind.LOST))
        restored = JobsState()
        restored.restore(state.snapshot())
        restored.apply(end(EndKind.DONE, cursor=1))
        self.assertTrue(restored.task(KEY).is_done)

    def test_a_job_fails_after_its_attempts(self):
        state = make_state(make_job())
        for number in (1, 2):
            state.apply(start())
            state.apply(end(EndKind.FAILED, number=number))
        self.assertEqual(state.jobs["j1"].status, JobStatus.FAILED)

    # LOST: a job was given up after one failed attempt while its queue was removed.
    def test_a_removed_queue_keeps_its_number_of_attempts(self):
        state = make_state(make_job())
        without_queue = Plan(version=2, pools=PLAN.pools)
        state.apply(ReplacePlan(plan=without_queue))
        restored = JobsState()
        restored.restore(state.snapshot())
        for each in (state, restored):
            each.apply(start())
            each.apply(end(EndKind.FAILED))
            self.assertIn(each.jobs["j1"].status, ACTIVE_STATUSES)
            each.apply(start())
            each.apply(end(EndKind.FAILED, number=MAX_ATTEMPTS))
            self.assertEqual(each.jobs["j1"].status, JobStatus.FAILED)

    def test_a_job_that_follows_the_removal_of_its_queue_keeps_its_attempts(self):
        """The leader accepts the job before it has applied the new plan."""
        state = make_state()
        state.apply(ReplacePlan(plan=Plan(version=2, pools=PLAN.pools)))
        state.apply(make_job())
        state.apply(ReplacePlan(plan=Plan(version=3, pools=PLAN.pools)))
        state.apply(start())
        state.apply(end(EndKind.FAILED))
        self.assertIn(state.jobs["j1"].status, ACTIVE_STATUSES)

    def test_removed_queues_are_kept_only_for_known_jobs(self):
        state = make_state()
        for version in range(2, 5):
            state.apply(ReplacePlan(plan=Plan(version=version, pools=PLAN.pools)))
        self.assertIsNone(state.queue("q"))

    def test_a_queue_that_comes_back_replaces_its_former_version(self):
        state = make_state(make_job())
        state.apply(ReplacePlan(plan=Plan(version=2, pools=PLAN.pools)))
        (queue,) = PLAN.queues
        queue = msgspec.structs.replace(queue, max_attempts=7)
        state.apply(
            ReplacePlan(plan=Plan(version=3, queues=(queue,), pools=PLAN.pools))
        )
        self.assertEqual(state.queue("q").max_attempts, 7)

    def test_lost_runs_do_not_count_as_attempts(self):
        state = make_state(make_job())
        for number in range(1, 6):
            state.apply(start())
            state.apply(end(EndKind.LOST, number=number))
        self.assertEqual(state.jobs["j1"].status, JobStatus.RUNNING)

    def test_long_running_tasks_restart_whatever_the_kind_of_end(self):
        state = make_state(make_job(is_long_running=True))
        for number, kind in enumerate([EndKind.DONE, EndKind.FAILED] * 3, 1):
            (run,) = state.apply(start())
            self.assertEqual(run.number, number)
            state.apply(end(kind, number=number))
        self.assertIn(state.jobs["j1"].status, ACTIVE_STATUSES)

    def test_a_cancelled_job_starts_nothing(self):
        state = make_state(make_job())
        state.apply(CancelJob(job_id="j1", now_ms=5))
        self.assertEqual(state.apply(start()), ())
        self.assertEqual(state.jobs["j1"].status, JobStatus.CANCELLED)

    # UNASKED: a job ran whose cancellation had been acknowledged before it arrived.
    def test_a_job_that_arrives_after_its_cancellation_is_cancelled(self):
        state = make_state(CancelJob(job_id="j1", customer="c", now_ms=1))
        restored = JobsState()
        restored.restore(state.snapshot())
        for each in (state, restored):
            job = each.apply(make_job(customer="c"))
            self.assertEqual((job.status, job.ended_ms), (JobStatus.CANCELLED, 1))
            self.assertEqual(each.apply(start()), ())
            self.assertIs(each.apply(make_job(customer="c")), job)

    def test_a_cancellation_by_another_customer_stops_no_later_job(self):
        state = make_state(CancelJob(job_id="j1", customer="other", now_ms=1))
        self.assertEqual(state.apply(make_job(customer="c")).status, JobStatus.QUEUED)

    def test_a_cancellation_of_an_unknown_job_is_forgotten(self):
        state = make_state(
            CancelJob(job_id="j1", customer="c", now_ms=1),
            CancelJob(job_id="j2", customer="c", now_ms=1),
        )
        state.apply(ForgetJobs(job_ids=(), early_cancels=(("j1", "c"),)))
        self.assertEqual(state.early_cancels, {("j2", "c"): 1})

    def test_a_new_incarnation_loses_the_runs_of_the_old_one(self):
        state = make_state(make_job())
        state.apply(start())
        state.apply(NoteVm(vm=VmRecord(vm_id="v1", born_ms=2), now_ms=4))
        self.assertEqual(state.runs_of("v1"), ())
        self.assertEqual(state.apply(start()), (), "the old incarnation gets no run")
        (run,) = state.apply(start(born_ms=2))
        self.assertEqual(run.number, 2)

    def test_a_report_of_an_earlier_incarnation_changes_nothing(self):
        state = make_state()
        state.apply(NoteVm(vm=VmRecord(vm_id="v1", born_ms=5), now_ms=4))
        change = state.apply(NoteVm(vm=VmRecord(vm_id="v1", born_ms=2), now_ms=4))
        self.assertEqual(change.vm.born_ms, 5)
        self.assertEqual(change.lost, ())

    def test_the_end_of_an_incarnation_returns_its_lost_runs(self):
        lost = (RunEnd(KEY, 1, EndKind.LOST),)
        for command in (
            NoteVm(vm=VmRecord(vm_id="v1", born_ms=2), now_ms=4),
            ForgetVm(vm_id="v1", born_ms=1, now_ms=4),
        ):
            state = make_state(make_job())
            state.apply(start())
            with self.subTest(command=command):
                self.assertEqual(state.apply(command).lost, lost)

    def test_an_end_from_another_incarnation_closes_no_run(self):
        state = make_state(make_job())
        state.apply(NoteVm(vm=VmRecord(vm_id="v1", born_ms=2), now_ms=4))
        state.apply(start(born_ms=2))
        state.apply(end(EndKind.DONE, born_ms=1))
        self.assertEqual(len(state.runs_of("v1")), 1)

    def test_the_members_of_a_gang_share_the_run_number(self):
        state = make_state(make_job(n_tasks=2, is_gang=True))
        keys = [TaskKey("j1", 0, 0, index) for index in (0, 1)]
        state.apply(start(keys[0]))
        state.apply(end(EndKind.ALONE, keys[0]))
        both = StartRuns(starts=tuple(RunStart(key, "v1", 1) for key in keys), now_ms=2)
        self.assertEqual([run.number for run in state.apply(both)], [2, 2])

    def test_the_members_of_a_gang_share_the_last_checkpoint(self):
        """Guards against a gang that never works again after the crash of one VM."""
        state = make_state(make_job(n_tasks=2, is_gang=True))
        keys = [TaskKey("j1", 0, 0, n) for n in range(2)]
        for number, saver in enumerate((0, 1), 1):
            starts = tuple(RunStart(key, "v1", 1) for key in keys)
            state.apply(StartRuns(starts=starts, now_ms=2))
            checkpoint = f"after run {number}"
            ends = [RunEnd(key, number, EndKind.BROKEN) for key in keys]
            ends[saver] = RunEnd(keys[saver], number, EndKind.BROKEN, checkpoint)
            state.apply(
                RecordEnds(
                    vm_id="v1", born_ms=1, ends=tuple(ends), now_ms=3, cursor=number
                )
            )
            checkpoints = [state.task(key).checkpoint for key in keys]
            self.assertEqual(checkpoints, [checkpoint] * 2)

    def test_one_completed_member_completes_the_gang(self):
        state = make_state(make_job(n_tasks=2, is_gang=True))
        keys = [TaskKey("j1", 0, 0, index) for index in (0, 1)]
        state.apply(
            StartRuns(starts=tuple(RunStart(key, "v1", 1) for key in keys), now_ms=2)
        )
        state.apply(end(EndKind.DONE, keys[0]))
        self.assertEqual(state.jobs["j1"].status, JobStatus.COMPLETED)

    def test_the_cursor_of_ends_never_decreases(self):
        state = make_state(make_job())
        state.apply(end(EndKind.DONE, cursor=7))
        state.apply(end(EndKind.DONE, cursor=3))
        self.assertEqual(state.vms["v1"].end_cursor, 7)

    def test_an_older_plan_changes_nothing(self):
        state = make_state()
        state.apply(ReplacePlan(plan=Plan(version=3)))
        self.assertEqual(state.apply(ReplacePlan(plan=PLAN)), 3)
        self.assertEqual(state.plan.queues, ())

    def test_a_wave_is_complete_when_all_remaining_machines_have_begun(self):
        state = make_state()
        state.apply(
            StartWave(
                number=4,
                machines=("a", "b"),
                duration_ms=1000,
                max_at_once=1,
                now_ms=1,
            )
        )
        wave = state.waves[4]
        state.apply(RecordMaintenance(number=4, now_ms=2, begun=("a",)))
        self.assertFalse(wave.is_complete)
        state.apply(RecordMaintenance(number=4, now_ms=2, gone=("b",)))
        self.assertTrue(wave.is_complete)

    def test_orders_for_machines_are_part_of_the_state(self):
        """A snapshot contains the orders, since the next leader needs their ages."""
        state = make_state()
        wave = StartWave(
            number=4, machines=("a",), duration_ms=1, max_at_once=1, now_ms=1
        )
        state.apply(wave)
        state.apply(RecordMaintenance(number=4, now_ms=300, ordered=("a",)))
        state.apply(RecordMaintenance(number=4, now_ms=300, given_up=("a",)))
        state.apply(RecordMove(machine="b", now_ms=700))
        restored = JobsState()
        restored.restore(state.snapshot())
        self.assertEqual(dict(restored.machine_orders.ages_ms()), {"a": 400, "b": 0})
        restored.apply(RecordMove(machine="c", now_ms=800))
        ages_ms = dict(restored.machine_orders.ages_ms())
        self.assertEqual(ages_ms, {"a": 500, "b": 100, "c": 0})

    def test_an_active_job_is_not_forgotten(self):
        state = make_state(make_job())
        state.apply(ForgetJobs(job_ids=("j1", "unknown")))
        self.assertIn("j1", state.jobs)
