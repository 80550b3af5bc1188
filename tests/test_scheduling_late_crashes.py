"""Tests of crashes that are known only long after the start of the run.

The pattern is leaders that change faster than leases expire, or no leader for a while,
and VMs that stay dark or return as other incarnations. The histories run in virtual
time.
"""

import asyncio
import unittest
from unittest import mock

from redwingslip.jobs import PROBATION_MS, JobStatus
from redwingslip.jobs._crashes import MAX_CRASHES
from tests import test_scheduling_crashing_tasks as crashing_tasks
from tests.support_virtual_time import run_virtually
from tests.test_scheduling_crashing_tasks import MAX_STARTS, CrashingTasks


class FrequentChanges(CrashingTasks):
    """A history in which leaders change more often than leases expire."""

    async def change_leaders(self):
        """Replace the leader every few seconds."""
        while True:
            await asyncio.sleep(self.rng.uniform(4, 7))
            self.world.stop_leader()
            await asyncio.sleep(self.rng.uniform(0.3, 1.2))
            self.world.start_leader()


class Outages(CrashingTasks):
    """A history without any leader for 15 s after each of the first two crashes."""

    def crash(self, endpoint):
        """Crash an endpoint, and take the leader away."""
        was_up = endpoint.is_up
        super().crash(endpoint)
        if was_up and self.n_crashes <= 2:
            self.outage = asyncio.create_task(self.pause())

    async def pause(self):
        """Leave the fleet without a leader for a while."""
        await asyncio.sleep(0.5)
        self.world.stop_leader()
        await asyncio.sleep(15)
        self.world.start_leader()


class Reborn(CrashingTasks):
    """A history with a sound long-running task whose VMs are cut off.

    Each has listed its run for longer than `PROBATION_MS` then. It goes on behind the
    cut until the run has lapsed, and returns as a new incarnation.
    """

    CUT_AFTER_S = PROBATION_MS / 1000 + 1
    CUT_S = 8.2

    def __init__(self, seed):
        super().__init__(seed, deadly_step={"n_tasks": 1, "is_long_running": True})
        self.n_cuts = 0

    async def submit_deadly(self):
        """Submit the long-running task, which takes long to be at work."""
        percent = self.world.percent
        self.world.percent = lambda run: (
            10 + self.world.now() % 50
            if run.key.job_id in self.deadly
            else percent(run)
        )
        await super().submit_deadly()

    def handle_start(self, endpoint, run):
        """Cut an endpoint off once it has run the long-running task for long."""
        if run.key.job_id in self.deadly:
            loop = asyncio.get_running_loop()
            loop.call_later(self.CUT_AFTER_S, self.cut_off, endpoint)

    def cut_off(self, endpoint):
        """Cut an endpoint off, and let it return as another incarnation."""
        endpoint.is_partitioned = True
        self.n_cuts += 1

        def restart():
            endpoint.is_up = False
            self.world.start_endpoint(endpoint.vm_id)

        asyncio.get_running_loop().call_later(self.CUT_S, restart)

    async def report(self):
        """Send the reports of the endpoints that are not cut off."""
        while True:
            for endpoint in tuple(self.world.endpoints.values()):
                if endpoint.is_up and not endpoint.is_partitioned:
                    await self.world.report(endpoint)
            await asyncio.sleep(0.2)


class TestHistories(unittest.TestCase):
    """What becomes of tasks whose VMs are dark for long, or return as others."""

    def play(self, history):
        """Play a history that lasts longer than those of crashing tasks."""
        with mock.patch.multiple(crashing_tasks, HISTORY_S=170, SUBMIT_S=8):
            run_virtually(history.run)
        return history

    def test_crashes_count_that_are_known_only_after_the_window(self):
        """Guards against a task that crashes VM after VM while leaders change (BUDGET).

        The silence of a VM is recorded, or its successor reports, more than 20 s after
        the start of the run.
        """
        for seed in range(2):
            with self.subTest(seed=seed):
                history = FrequentChanges(seed, restart_s=25, leader_changes=True)
                self.play(history)
                self.assertLessEqual(history.n_starts("deadly0"), MAX_STARTS)

    def test_crashes_count_after_a_time_without_any_leader(self):
        """Guards against crashes that are seen late, without a leader (BUDGET)."""
        history = self.play(Outages(1, restart_s=25))
        self.assertLessEqual(history.n_starts("deadly0"), MAX_STARTS)

    def test_sound_task_is_not_given_up_for_vms_that_return_as_others(self):
        """Guards against a sound job that fails since its VMs were cut off and reborn.

        A run that was seen for longer than `PROBATION_MS` does not crash its VM.
        """
        history = self.play(Reborn(1))
        self.assertGreaterEqual(history.n_cuts, MAX_CRASHES)
        job = history.world.state.jobs["deadly0"]
        self.assertEqual(job.status, JobStatus.RUNNING)


if __name__ == "__main__":
    unittest.main()
