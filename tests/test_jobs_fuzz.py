"""Stateful fuzzing of the replicated state of jobs against an oracle."""

import os
from collections import Counter

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from redwingslip.jobs import (
    CancelJob,
    EndKind,
    ForgetVm,
    JobsMachine,
    JobStatus,
    NoteVm,
    Plan,
    RecordEnds,
    RecordMove,
    ReplacePlan,
    RunStart,
    StartRuns,
    VmRecord,
    encode_command,
    iter_tasks,
)
from redwingslip.jobs._crashes import MAX_CRASHES
from tests.test_jobs_state import MAX_ATTEMPTS, PLAN, end, make_job


class JobsMachineFuzz(RuleBasedStateMachine):
    """Applies random commands to two copies of the state, which must stay equal.

    One of the copies is repeatedly replaced by one restored from a snapshot.
    """

    def __init__(self):
        super().__init__()
        self.machine = JobsMachine()
        self.copy = JobsMachine()
        self.done = set()
        self.cancelled = set()
        self.failures = {}
        self.last_number = {}
        self.incarnations = {}
        self.apply(ReplacePlan(plan=PLAN))
        for job in range(3):
            self.submit_job(job, 2, is_long_running=job == 2)
        for vm in range(3):
            self.incarnations[vm] = 1
            self.apply(NoteVm(vm=VmRecord(vm_id=f"v{vm}", born_ms=1), now_ms=1))

    def submit_job(self, job, n_tasks, *, is_long_running):
        """Submit a job."""
        self.apply(
            make_job(f"j{job}", n_tasks=n_tasks, is_long_running=is_long_running)
        )

    def apply(self, command):
        """Apply a command to both copies."""
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

    @rule(has_queue=st.booleans())
    def replace_plan(self, has_queue):
        """Remove the queue of all jobs, or put it back."""
        version = self.state.plan.version + 1
        queues = PLAN.queues if has_queue else ()
        self.apply(
            ReplacePlan(plan=Plan(version=version, queues=queues, pools=PLAN.pools))
        )

    @rule(vm=st.integers(0, 2), is_new=st.booleans())
    def note_vm(self, vm, is_new):
        self.incarnations[vm] += is_new
        record = VmRecord(vm_id=f"v{vm}", born_ms=self.incarnations[vm])
        self.apply(NoteVm(vm=record, now_ms=1))

    @rule(vm=st.integers(0, 2), age=st.integers(0, 2), has_left=st.booleans())
    def forget_vm(self, vm, age, has_left):
        incarnation = self.incarnations[vm] - age
        name = f"v{vm}"
        self.apply(
            ForgetVm(vm_id=name, born_ms=incarnation, now_ms=1, has_left=has_left)
        )
        if has_left and incarnation > 0:
            assert self.state.has_left(name, incarnation), "a VM that left is unknown"
        assert not self.state.has_left(name, self.incarnations[vm] + 1)

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
            RunStart(keys[pick % len(keys)], f"v{vm}", self.incarnations[vm] - age)
            for pick, vm, age in picks
        )
        self.check_runs(self.apply(StartRuns(starts=starts, now_ms=2)))

    def check_runs(self, runs):
        """Check started runs against what the oracle knows about their tasks."""
        for run in runs:
            assert run.key.job_id not in self.cancelled, "started a cancelled job"
            assert run.key not in self.done, "started a task that is done"
            assert self.failures.get(run.key, 0) < MAX_ATTEMPTS or (
                self.state.step(run.key).is_long_running
            ), "started a task that has no attempts left"
            assert run.number > self.last_number.get(run.key, 0), (
                "run number did not increase"
            )
            self.last_number[run.key] = run.number
            incarnation = self.incarnations[int(run.vm_id[1:])]
            assert run.born_ms == incarnation, "started on an earlier incarnation"

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
        """Record an end twice, for the run's incarnation or for an earlier one.

        An end for an earlier incarnation stands for a report that arrives late.
        """
        is_long_running = self.state.step(run.key).is_long_running
        command = end(
            kind, run.key, run.number, vm_id=run.vm_id, born_ms=run.born_ms - age
        )
        for _ in range(2):
            self.apply(command)
        if age:
            runs = self.state.runs[run.vm_id]
            assert (run.key, run.number) in runs, "ended by another incarnation"
        elif kind is EndKind.DONE and not is_long_running:
            self.done.add(run.key)
        elif kind is EndKind.FAILED:
            self.failures[run.key] = self.failures.get(run.key, 0) + 1

    @precondition(lambda self: any(self.state.runs.values()))
    @rule(picks=st.lists(st.integers(0, 99), max_size=3), age=st.integers(0, 1))
    def note_at_work(self, picks, age):
        """Record runs at work, for the runs' incarnation or for an earlier one."""
        runs = [r for runs in self.state.runs.values() for r in runs.values()]
        for run in (runs[pick % len(runs)] for pick in picks):
            command = RecordEnds(
                vm_id=run.vm_id,
                born_ms=run.born_ms - age,
                ends=(),
                now_ms=9,
                at_work=((run.key, run.number),),
            )
            self.apply(command)

    @rule(job=st.integers(0, 4))
    def cancel(self, job):
        """Cancel a job, which may be submitted only later."""
        self.apply(CancelJob(job_id=f"j{job}", now_ms=9))
        self.cancelled.add(f"j{job}")

    @rule(machine=st.integers(0, 2), now_ms=st.integers(0, 200_000))
    def record_move(self, machine, now_ms):
        """A jump of the leader's clock changes the age of an order only slightly."""
        before_ms = self.state.machine_orders.steady_ms
        self.apply(RecordMove(machine=f"m{machine}", now_ms=now_ms))
        passed_ms = self.state.machine_orders.steady_ms - before_ms
        assert 0 <= passed_ms <= 500, "a clock jump aged an order"
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
    def at_most_one_run_per_task(self):
        seen = [run.key for runs in self.state.runs.values() for run in runs.values()]
        assert len(seen) == len(set(seen)), "two runs of one task"

    @invariant()
    def usage_is_the_sum_of_the_runs(self):
        for copy in (self.machine.state, self.copy.state):
            for vm_id, runs in copy.runs.items():
                used, steps = copy.usage.of_vm(vm_id)
                assert steps == Counter(key[:3] for key, _ in runs)
                assert used.cpu == sum(copy.step(key).need.cpu for key, _ in runs)

    @invariant()
    def completed_jobs_are_done(self):
        for job in self.state.jobs.values():
            if job.status is JobStatus.COMPLETED:
                assert all(key in self.done for key, _ in iter_tasks(job))

    @invariant()
    def failed_jobs_have_no_attempts_left(self):
        for job in self.state.jobs.values():
            if job.status is JobStatus.FAILED:
                assert any(
                    self.failures.get(key, 0) >= MAX_ATTEMPTS
                    or task.n_crashes >= MAX_CRASHES
                    for key, task in iter_tasks(job)
                ), "failed with attempts left"


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
