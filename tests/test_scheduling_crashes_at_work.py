"""Tests of VMs that crash for their own reasons while a long-running task is at work.

The pattern is a job with a disruption budget, one of whose tasks happens to run on one
VM after the other that crashes seconds later. The histories run in virtual time.
"""

import asyncio
import random
import unittest
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    PROBATION_MS,
    Amounts,
    EndKind,
    JobSpec,
    JobsState,
    JobStatus,
    Plan,
    Pool,
    ReplacePlan,
    RunStart,
    StartRuns,
    StepSpec,
    TaskKey,
)
from tests.scheduling_world import World
from tests.support_scheduling import (
    PLAN,
    FakeEndpoint,
    FakeTerm,
    eventually,
    make_agent,
    make_job,
    make_state,
    make_vm,
)
from tests.support_virtual_time import LoopClock, VirtualTimeTestCase, run_virtually

N_VMS = 8
N_TASKS = 4
RESTART_S = 3.2
REPORT_S = 0.2
HISTORY_S = 60
KEY = TaskKey("j1", 0, 0, 0)
# Platform contract: the rule is broken by the third start after the third crash.
MAX_STARTS = 5


class CrashingVms:
    """A history in which each VM that starts the first task of a job crashes later.

    Parameters
    ----------
    seed : int
        Seed of the history.
    life_s : float
        Time from the start of the task until the VM crashes, in seconds.
    percent : int
        What the VMs list as the progress of the job's runs.
    leader_changes : bool
        Whether the leader is replaced every few seconds.
    """

    def __init__(self, seed, *, life_s=2.0, percent=100, leader_changes=False):
        self.rng = random.Random(seed)
        self.life_s = life_s
        self.percent = percent
        self.leader_changes = leader_changes
        self.n_crashes = 0

    async def run(self, loop):
        """Run the history and return the world."""
        state = JobsState()
        plan = Plan(version=1, queues=PLAN.queues, pools=(Pool(name="p"),))
        state.apply(ReplacePlan(plan=plan))
        world = self.world = World(loop, self.rng, LoopClock(loop), state, n_vms=N_VMS)
        world.percent = lambda run: self.percent
        world.on_start = self.handle_start
        world.start_leader()
        tasks = [asyncio.create_task(self.report())]
        if self.leader_changes:
            tasks.append(asyncio.create_task(self.change_leaders()))
        step = StepSpec(
            n_tasks=N_TASKS,
            need=Amounts(400, 10),
            max_per_vm=1,
            is_long_running=True,
            disruption_budget=1,
        )
        await world.submit(JobSpec(job_id="j1", queue="q", pool="p", steps=(step,)))
        await asyncio.sleep(HISTORY_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        world.stop_leader()
        return world

    def handle_start(self, endpoint, run):
        """Crash an endpoint some time after it has started the first task."""
        if run.key == KEY:
            asyncio.get_running_loop().call_later(self.life_s, self.crash, endpoint)

    def crash(self, endpoint):
        """Crash an endpoint; a new VM starts at its place later."""
        if endpoint.is_up:
            endpoint.is_up = False
            self.n_crashes += 1
            asyncio.get_running_loop().call_later(
                RESTART_S, self.world.start_endpoint, endpoint.vm_id
            )

    async def report(self):
        """Send the reports of the endpoints."""
        while True:
            for endpoint in tuple(self.world.endpoints.values()):
                if endpoint.is_up:
                    await self.world.report(endpoint)
            await asyncio.sleep(REPORT_S)

    async def change_leaders(self):
        """Replace the leader every few seconds."""
        while True:
            await asyncio.sleep(self.rng.uniform(3, 6))
            self.world.stop_leader()
            await asyncio.sleep(self.rng.uniform(0.3, 1.2))
            self.world.start_leader()

    def n_stopped(self):
        """Return the number of runs that were stopped on the last VMs."""
        ends = [end for e in self.world.endpoints.values() for end in e.ends]
        return sum(end.kind is EndKind.STOPPED for end in ends)


class TestCrashesAtWork(unittest.TestCase):
    """What crashes of VMs do to a job whose tasks were at work on them."""

    def play(self, *args, **options):
        """Play a history and return it with the status of the job."""
        history = CrashingVms(*args, **options)
        world = run_virtually(history.run)
        self.assertEqual(world.problems, [])
        return history, world.state.jobs["j1"].status

    def check_goes_on(self, history, status):
        """Check that the job is active, and that its other tasks were left alone."""
        self.assertEqual(status, JobStatus.RUNNING)
        self.assertEqual(history.n_stopped(), 0)
        starts = history.world.starts
        n_other_starts = [len(starts[key]) for key in starts if key != KEY]
        self.assertEqual(n_other_starts, [1] * (N_TASKS - 1))
        self.assertGreater(history.n_crashes, 4)

    def test_task_at_work_on_four_vms_that_crashed_is_not_given_up(self):
        """Guards against a sound lasting job that fails, so that its tasks stop."""
        for seed in range(4):
            with self.subTest(seed=seed):
                self.check_goes_on(*self.play(seed))

    def test_leaders_that_change_meanwhile(self):
        """Guards against a new leader that does not know which runs were at work."""
        for seed in range(4):
            with self.subTest(seed=seed):
                self.check_goes_on(*self.play(seed, life_s=7, leader_changes=True))

    def test_task_that_never_got_to_work_is_given_up(self):
        """Guards against a task that crashes VM after VM before it gets to work."""
        history, status = self.play(1, percent=99)
        self.assertEqual(status, JobStatus.FAILED)
        self.assertLessEqual(history.n_crashes, MAX_STARTS)


class TestAgent(VirtualTimeTestCase):
    """What the agent of one VM knows of the work on it when it crashes."""

    async def asyncSetUp(self):
        self.vm = make_vm()
        self.state = make_state(self.vm, jobs=[make_job(is_long_running=True)])
        self.endpoint = FakeEndpoint()
        self.clock = ManualClock()
        self.term = FakeTerm(self.state, self.clock)
        self.agent = make_agent(self.vm, self.endpoint, self.term)
        starts = (RunStart(KEY, "v1", 1),)
        self.state.apply(StartRuns(starts=starts, now_ms=2))
        self.endpoint.runs[(KEY, 1)] = 100

    async def asyncTearDown(self):
        self.agent.close()
        await asyncio.sleep(0)

    async def poll(self):
        """Wait until a poll that was sent from now on was answered."""
        n_polls = len(self.endpoint.cursors)
        await eventually(lambda: len(self.endpoint.cursors) > n_polls + 1)

    async def crash(self):
        """Let another incarnation answer the next poll."""
        self.endpoint.born_ms = 2
        await eventually(lambda: not self.state.runs_of("v1"))
        return self.state.task(KEY).n_crashes

    async def test_run_that_was_listed_at_work_is_not_suspected(self):
        """Guards against a task that is suspected although it has run well."""
        self.agent.begin()
        await self.poll()
        self.clock.advance(timedelta(seconds=1))
        await self.poll()
        self.assertEqual(await self.crash(), 0)

    async def test_run_that_was_at_work_for_a_moment_is_suspected(self):
        """Guards against a crashing task that a poll lists in its last moments."""
        self.agent.begin()
        await self.poll()
        self.clock.advance(timedelta(milliseconds=400))
        await self.poll()
        self.assertEqual(await self.crash(), 1)

    async def test_run_at_work_is_noted_once(self):
        """Guards against a command of the log for each poll of a VM."""
        self.agent.begin()
        await self.poll()
        self.clock.advance(timedelta(seconds=1))
        await self.poll()
        n_commands = self.term.n_commands
        await self.poll()
        self.assertEqual((n_commands, self.term.n_commands), (1, 1))

    async def test_new_leader_that_has_not_polled_suspects_the_run(self):
        """Guards against a crash that does not count as nothing is known of the run."""
        self.agent.begin()
        self.assertEqual(await self.crash(), 1)

    async def test_run_that_is_listed_for_long_is_noted_once(self):
        """Guards against a sound task that is suspected, and against many commands."""
        self.endpoint.runs[(KEY, 1)] = 30
        self.agent.begin()
        await self.poll()
        self.clock.advance(timedelta(milliseconds=PROBATION_MS))
        await self.poll()
        await self.poll()
        self.assertEqual(self.term.n_commands, 1)
        self.assertEqual(await self.crash(), 0)

    async def test_run_that_is_listed_for_a_shorter_time_is_suspected(self):
        """Guards against a crashing task that is taken for a sound one."""
        self.endpoint.runs[(KEY, 1)] = 30
        self.agent.begin()
        await self.poll()
        self.clock.advance(timedelta(milliseconds=PROBATION_MS - 100))
        await self.poll()
        self.assertEqual(await self.crash(), 1)

    async def test_run_of_another_task_is_suspected_whatever_it_lists(self):
        """Guards against a task with an end that is judged like a lasting one."""
        state = self.term.state = make_state(self.vm, jobs=[make_job()])
        self.state = state
        state.apply(StartRuns(starts=(RunStart(KEY, "v1", 1),), now_ms=2))
        self.agent.begin()
        await self.poll()
        self.clock.advance(timedelta(seconds=1))
        await self.poll()
        self.assertEqual(await self.crash(), 1)


if __name__ == "__main__":
    unittest.main()
