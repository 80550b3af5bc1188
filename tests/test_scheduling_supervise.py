"""Tests of the restart of background work that fails."""

import asyncio

from redwingslip.scheduling._supervise import run_forever
from tests.support_scheduling import eventually
from tests.support_virtual_time import VirtualTimeTestCase


class TestRunForever(VirtualTimeTestCase):
    """Each failure is logged, and the work is restarted."""

    async def asyncSetUp(self):
        self.events = []
        self.n_begun = 0

    def emit(self, event):
        self.events.append(event.detail)

    async def work(self):
        self.n_begun += 1
        if self.n_begun < 3:
            raise KeyError("gone")
        await asyncio.Event().wait()

    async def test_failed_work_is_logged_and_restarted(self):
        task = asyncio.create_task(run_forever("placement", self.work, self))
        await eventually(lambda: self.n_begun == 3)
        self.assertEqual(len(self.events), 2)
        self.assertIn("placement failed", self.events[0])
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
