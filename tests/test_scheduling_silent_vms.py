"""Tests of VMs that are silent for a while: cut off from the leader, crashed or both.

The pattern is a pool most of whose VMs are cut off again and again, longer than their
leases last, and come back as the same incarnations. Under a sound task, VM after VM is
silent as if the task had crashed it. Other tasks do crash their VMs, which stay dark
for long. The histories run in virtual time.
"""

import os
import random
import unittest

from redwingslip.jobs import JobStatus, TaskKey
from tests.scheduling_silent_pool import (
    DeadlyTasks,
    LongCuts,
    Reborn,
    RepeatedCuts,
)
from tests.support_virtual_time import run_virtually

# Platform contract: the rule is broken by the third start after the third crash.
MAX_STARTS = 5
# Times from a crash until the new VM reports: longer than a lease, and about as long
# as the leader keeps a VM that does not answer.
RESTARTS_S = (9, 15, 30)
# A task is not given up for this many crashes, but it would be for twice as many.
N_SOUND_CRASHES = 3


class SilentVmsCase(unittest.TestCase):
    """Base of the tests of histories with silent VMs."""

    def play(self, history):
        """Play a history, and check what holds in all of them."""
        world = run_virtually(history.run)
        jobs = world.state.jobs
        unexpected = {
            job_id: job.status.name
            for job_id, job in jobs.items()
            if job.status not in self.expected_statuses(job_id)
        }
        seen = (unexpected, history.away, world.problems)
        self.assertEqual(seen, ({}, [], []), f"of {len(jobs)} jobs")
        # The state has not forgotten jobs that have ended.
        self.assertEqual(set(history.submitted) - jobs.keys(), set())
        return world

    def expected_statuses(self, job_id):
        """Return the statuses that a job may have in the end."""
        is_long_running = job_id.startswith("long")
        return {JobStatus.RUNNING if is_long_running else JobStatus.COMPLETED}

    def seeds(self, n_seeds):
        """Return the seeds of the suite, or those chosen by the environment."""
        first = 1
        if "REDWINGSLIP_FUZZ_SEED" in os.environ:
            first, n_seeds = 1_000 * int(os.environ["REDWINGSLIP_FUZZ_SEED"]), 50
        return range(first, first + n_seeds)

    def options(self, seed):
        """Return the options of a history that its seed draws."""
        startup_s = round(random.Random(seed).uniform(0.5, 10), 1)
        return {"leader_changes": seed % 2 == 0, "startup_s": startup_s}


class TestCuts(SilentVmsCase):
    """What VMs that are cut off and come back do to the tasks that were there."""

    def test_vms_that_are_cut_off_again_and_again(self):
        """Guards against sound jobs that fail since their VMs were silent for 8 s."""
        for seed in self.seeds(4):
            with self.subTest(seed=seed, **self.options(seed)):
                history = RepeatedCuts(seed, **self.options(seed))
                self.play(history)
                self.assertGreater(history.n_cuts, 30)

    def test_vms_that_are_removed_and_come_back(self):
        """Guards against sound jobs that fail since their VMs were silent for 20 s."""
        for seed in self.seeds(4):
            with self.subTest(seed=seed, **self.options(seed)):
                history = LongCuts(seed, n_vms=8, **self.options(seed))
                self.play(history)
                self.assertGreater(history.n_removed, 2)


class TestDeadlyTasks(SilentVmsCase):
    """What becomes of tasks that crash their VMs, which are silent for long."""

    deadly_statuses = frozenset({JobStatus.FAILED})

    def expected_statuses(self, job_id):
        """Return the statuses that a job may have in the end."""
        if job_id.startswith("deadly"):
            return self.deadly_statuses
        return super().expected_statuses(job_id)

    def play(self, history):
        """Play a history of tasks that may be started a few times each."""
        world = super().play(history)
        for job_id in history.deadly:
            n_starts = len(world.starts[TaskKey(job_id, 0, 0, 0)])
            self.assertLessEqual(n_starts, MAX_STARTS, job_id)
            self.assertGreaterEqual(n_starts, 2, job_id)

    def test_vms_that_stay_dark_for_long(self):
        """Guards against crashes that do not count since their proof comes late."""
        for seed in self.seeds(2):
            for restart_s in RESTARTS_S:
                options = {"is_dark": seed % 2 == 0, "restart_s": restart_s}
                with self.subTest(seed=seed, **options):
                    self.play(DeadlyTasks(seed, **options))

    def test_other_vms_that_are_cut_off_meanwhile(self):
        """Guards against silences of other VMs that hide crashes, or add to them."""
        for seed in self.seeds(3):
            rng = random.Random(seed)
            options = {
                **self.options(seed),
                "n_deadly": rng.randint(1, 2),
                "restart_s": rng.choice(RESTARTS_S),
                "is_dark": rng.random() < 0.5,
            }
            with self.subTest(seed=seed, **options):
                history = DeadlyTasks(seed, has_cuts=True, **options)
                self.play(history)
                self.assertGreater(history.n_cuts, 5)

    def test_vms_that_are_gone_for_good(self):
        """Guards against a task that is started on and on since no crash is proven."""
        self.deadly_statuses = frozenset(JobStatus)
        for seed in self.seeds(2):
            options = {**self.options(seed), "is_dark": seed % 2 == 1}
            with self.subTest(seed=seed, **options):
                self.play(DeadlyTasks(seed, restart_s=None, **options))


class TestReborn(SilentVmsCase):
    """What VMs do that crash behind a cut and come back as new incarnations."""

    # A new VM reports before the lease of its predecessor has ended, after that, or
    # after the leader has removed the predecessor.
    restarts_s = (1, 8, 25)

    def play_all(self, step):
        """Play histories in which each new VM counts once under the task."""
        for seed in self.seeds(2):
            for restart_s in self.restarts_s:
                options = {**self.options(seed), "restart_s": restart_s}
                with self.subTest(seed=seed, **options):
                    history = Reborn(
                        seed, n_chosen=N_SOUND_CRASHES, step=step, **options
                    )
                    world = self.play(history)
                    self.assertEqual(history.n_crashes, N_SOUND_CRASHES)
                    task = world.state.task(history.key)
                    self.assertEqual(task.n_crashes, N_SOUND_CRASHES)
                    self.assertEqual(
                        len(world.starts[history.key]), N_SOUND_CRASHES + 1
                    )

    def test_finite_task(self):
        """Guards against a job that fails since a crash counts as a silence too."""
        self.play_all({"estimate_ms": 15_000})

    def test_long_running_task(self):
        """Guards against a lasting job that fails since crashes count twice."""
        self.play_all({"is_long_running": True, "disruption_budget": 1})


if __name__ == "__main__":
    unittest.main()
