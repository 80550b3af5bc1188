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
