"""Tests of the replicated state of jobs, with a stateful fuzzer and its oracle."""

import os
import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from redwingslip.jobs import (
    ACTIVE_STATUSES,
    Amounts,
    CancelJob,
    EndKind,
    ForgetJobs,
    ForgetVm,
    JobsMachine,
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
    encode_command,
    iter_tasks,
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


def make_job(job_id="j1", **step):
    """Return the command that hands in a job of one step."""
    spec = JobSpec(
        job_id=job_id,
        queue="q",
        pool="p",
        steps=(StepSpec(**{"n_tasks": 1, "need": Amounts(100, 10), **step}),),
    )
    return SubmitJob(spec=spec, now_ms=1)


def make_state(*jobs):
    """Return a state with a plan, a VM and jobs."""
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
    """Return the command that records an end."""
    return RecordEnds(
        vm_id=vm_id,
        born_ms=born_ms,
        ends=(RunEnd(key, number, kind),),
        now_ms=3,
        cursor=cursor,
    )


class TestJobsState(unittest.TestCase):
    """Single rules of the state."""

    def test_a_second_submission_is_the_same_job(self):
        state = make_state(make_job())
        state.apply(start())
        again = state.apply(make_job(n_tasks=5))
        self.assertEqual(len(again.spec.steps), 1)
        self.assertEqual(again.spec.steps[0].n_tasks, 1)
        self.assertEqual(again.status, JobStatus.RUNNING)

    def test_run_numbers_rise_over_every_end(self):
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

    def test_a_job_fails_after_its_attempts(self):
        state = make_state(make_job())
        for number in (1, 2):
            state.apply(start())
            state.apply(end(EndKind.FAILED, number=number))
        self.assertEqual(state.jobs["j1"].status, JobStatus.FAILED)

    def test_lost_runs_are_no_attempts(self):
        state = make_state(make_job())
        for number in range(1, 6):
            state.apply(start())
            state.apply(end(EndKind.LOST, number=number))
        self.assertEqual(state.jobs["j1"].status, JobStatus.RUNNING)

    def test_long_running_tasks_start_again_however_they_end(self):
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

    def test_a_new_life_loses_the_runs_of_the_old_one(self):
        state = make_state(make_job())
        state.apply(start())
        state.apply(NoteVm(vm=VmRecord(vm_id="v1", born_ms=2), now_ms=4))
        self.assertEqual(state.runs_of("v1"), ())
        self.assertEqual(state.apply(start()), (), "the old life gets no run")
        (run,) = state.apply(start(born_ms=2))
        self.assertEqual(run.number, 2)

    def test_a_report_of_an_earlier_life_changes_nothing(self):
        state = make_state()
        state.apply(NoteVm(vm=VmRecord(vm_id="v1", born_ms=5), now_ms=4))
        change = state.apply(NoteVm(vm=VmRecord(vm_id="v1", born_ms=2), now_ms=4))
        self.assertEqual(change.vm.born_ms, 5)
        self.assertEqual(change.lost, ())

    def test_a_life_that_is_over_tells_the_runs_that_it_loses(self):
        lost = (RunEnd(KEY, 1, EndKind.LOST),)
        for command in (
            NoteVm(vm=VmRecord(vm_id="v1", born_ms=2), now_ms=4),
            ForgetVm(vm_id="v1", born_ms=1, now_ms=4),
        ):
            state = make_state(make_job())
            state.apply(start())
            with self.subTest(command=command):
                self.assertEqual(state.apply(command).lost, lost)

    def test_an_end_of_another_life_closes_no_run(self):
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

    def test_one_done_end_stands_for_the_gang(self):
        state = make_state(make_job(n_tasks=2, is_gang=True))
        keys = [TaskKey("j1", 0, 0, index) for index in (0, 1)]
        state.apply(
            StartRuns(starts=tuple(RunStart(key, "v1", 1) for key in keys), now_ms=2)
        )
        state.apply(end(EndKind.DONE, keys[0]))
        self.assertEqual(state.jobs["j1"].status, JobStatus.COMPLETED)

    def test_the_cursor_of_ends_only_rises(self):
        state = make_state(make_job())
        state.apply(end(EndKind.DONE, cursor=7))
        state.apply(end(EndKind.DONE, cursor=3))
        self.assertEqual(state.vms["v1"].end_cursor, 7)

    def test_a_lower_plan_changes_nothing(self):
        state = make_state()
        state.apply(ReplacePlan(plan=Plan(version=3)))
        self.assertEqual(state.apply(ReplacePlan(plan=PLAN)), 3)
        self.assertEqual(state.plan.queues, ())

    def test_a_wave_is_complete_when_all_that_stay_have_begun(self):
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
        """A snapshot keeps them, since the next leader asks for them."""
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


class JobsMachineFuzz(RuleBasedStateMachine):
    """Random commands on two copies, one of which is restored from snapshots."""

    def __init__(self):
        super().__init__()
        self.machine = JobsMachine()
        self.copy = JobsMachine()
        self.done = set()
        self.failures = {}
        self.last_number = {}
        self.lives = {}
        self.apply(ReplacePlan(plan=PLAN))
        for job in range(3):
            self.submit_job(job, 2, is_long_running=job == 2)
        for vm in range(3):
            self.lives[vm] = 1
            self.apply(NoteVm(vm=VmRecord(vm_id=f"v{vm}", born_ms=1), now_ms=1))

    def submit_job(self, job, n_tasks, *, is_long_running):
        """Hand a job in."""
        self.apply(
            make_job(f"j{job}", n_tasks=n_tasks, is_long_running=is_long_running)
        )

    def apply(self, command):
        """Apply a command to both copies, which must agree."""
        data = encode_command(command)
        outcome = self.machine.apply(1, data)
        self.copy.apply(1, data)
        return outcome

    @property
    def state(self):
        """Return the state under test."""
        return self.machine.state

    @rule(
        job=st.integers(0, 4),
        n_tasks=st.integers(1, 3),
        is_long_running=st.booleans(),
    )
    def submit(self, job, n_tasks, is_long_running):
        self.submit_job(job, n_tasks, is_long_running=is_long_running)

    @rule(vm=st.integers(0, 2), is_new=st.booleans())
    def note_vm(self, vm, is_new):
        self.lives[vm] += is_new
        record = VmRecord(vm_id=f"v{vm}", born_ms=self.lives[vm])
        self.apply(NoteVm(vm=record, now_ms=1))

    @rule(vm=st.integers(0, 2), age=st.integers(0, 2))
    def forget_vm(self, vm, age):
        life = self.lives[vm] - age
        self.apply(ForgetVm(vm_id=f"v{vm}", born_ms=life, now_ms=1))

    @rule(
        picks=st.lists(
            st.tuples(st.integers(0, 99), st.integers(0, 2), st.integers(0, 1)),
            min_size=1,
            max_size=6,
        )
    )
    def start_some(self, picks):
        keys = [key for job in self.state.jobs.values() for key, _ in iter_tasks(job)]
        starts = tuple(
            RunStart(keys[pick % len(keys)], f"v{vm}", self.lives[vm] - age)
            for pick, vm, age in picks
        )
        self.check_runs(self.apply(StartRuns(starts=starts, now_ms=2)))

    def check_runs(self, runs):
        """Check what the oracle knows of each task."""
        for run in runs:
            assert run.key not in self.done, "started after its end"
            assert self.failures.get(run.key, 0) < MAX_ATTEMPTS or (
                self.state.step(run.key).is_long_running
            ), "started beyond its attempts"
            assert run.number > self.last_number.get(run.key, 0), "number fell"
            self.last_number[run.key] = run.number
            life = self.lives[int(run.vm_id[1:])]
            assert run.born_ms == life, "started on a life that is over"

    @precondition(lambda self: any(self.state.runs.values()))
    @rule(
        ends=st.lists(
            st.tuples(st.integers(0, 99), st.sampled_from(EndKind)),
            min_size=1,
            max_size=4,
        ),
        age=st.integers(0, 1),
    )
    def end_some(self, ends, age):
        for pick, kind in ends:
            runs = [r for runs in self.state.runs.values() for r in runs.values()]
            if runs:
                self.end_run(runs[pick % len(runs)], kind, age)

    def end_run(self, run, kind, age):
        """Record an end twice: of this life, or late of one before."""
        is_long_running = self.state.step(run.key).is_long_running
        command = end(
            kind, run.key, run.number, vm_id=run.vm_id, born_ms=run.born_ms - age
        )
        for _ in range(2):
            self.apply(command)
        if age:
            runs = self.state.runs[run.vm_id]
            assert (run.key, run.number) in runs, "ended by another life"
        elif kind is EndKind.DONE and not is_long_running:
            self.done.add(run.key)
        elif kind is EndKind.FAILED:
            self.failures[run.key] = self.failures.get(run.key, 0) + 1

    @rule(job=st.integers(0, 4))
    def cancel(self, job):
        self.apply(CancelJob(job_id=f"j{job}", now_ms=9))

    @rule(machine=st.integers(0, 2), now_ms=st.integers(0, 200_000))
    def record_move(self, machine, now_ms):
        """Clocks of leaders jump; the age of an order must hardly follow."""
        before_ms = self.state.machine_orders.steady_ms
        self.apply(RecordMove(machine=f"m{machine}", now_ms=now_ms))
        passed_ms = self.state.machine_orders.steady_ms - before_ms
        assert 0 <= passed_ms <= 500, "an order aged by a jump"
        assert dict(self.state.machine_orders.ages_ms())[f"m{machine}"] == 0

    @rule()
    def restore(self):
        self.copy = JobsMachine()
        self.copy.restore(1, self.machine.snapshot())

    @invariant()
    def copies_agree(self):
        assert self.machine.snapshot() == self.copy.snapshot()
        assert _runs(self.machine) == _runs(self.copy)

    @invariant()
    def one_run_a_task(self):
        seen = [run.key for runs in self.state.runs.values() for run in runs.values()]
        assert len(seen) == len(set(seen)), "two runs of one task"

    @invariant()
    def completed_jobs_are_done(self):
        for job in self.state.jobs.values():
            if job.status is JobStatus.COMPLETED:
                assert all(key in self.done for key, _ in iter_tasks(job))


def _runs(machine):
    runs = machine.state.runs.values()
    return {run for vm_runs in runs for run in vm_runs.values()}


N_CASES = 2000 if "REDWINGSLIP_FUZZ_SEED" in os.environ else 150
JobsMachineFuzz.TestCase.settings = settings(
    max_examples=N_CASES,
    stateful_step_count=40,
    deadline=None,
    derandomize="REDWINGSLIP_FUZZ_SEED" not in os.environ,
    suppress_health_check=list(HealthCheck),
)
TestJobsFuzz = JobsMachineFuzz.TestCase
