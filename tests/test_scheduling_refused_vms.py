"""Tests of what is known of VMs that the adviser has refused to a step."""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.scheduling import AdviceCache, AdviceSettings
from tests.support_scheduling import EVENTS, eventually
from tests.test_scheduling_advice import STEP, FakeAdviser


class TestRefusedVms(unittest.IsolatedAsyncioTestCase):
    """Two VMs, of which v0 gets a ticket and v1 is refused."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.adviser = FakeAdviser()
        self.vms = ()
        self.cache = AdviceCache(
            adviser=self.adviser,
            candidates=lambda pool: self.vms,
            clock=self.clock,
            events=EVENTS,
            on_advice=lambda: None,
            cfg=AdviceSettings(),
        )
        task = asyncio.create_task(self.cache.run())
        self.addCleanup(task.cancel)

    async def ask(self, **options):
        """Request tickets, and return the VMs in the call."""
        n_calls = len(self.adviser.calls)
        self.cache.request(STEP, "p", **options)
        await eventually(lambda: len(self.adviser.calls) > n_calls)
        await asyncio.sleep(0.01)
        return self.adviser.calls[-1]

    async def test_answers_are_missing_without_vms_and_for_expired_tickets(self):
        """Guards against machines that are reported since nobody was asked."""
        self.assertFalse(self.cache.has_answers(STEP, "p"))
        self.vms = ("v0", "v1")
        self.assertFalse(self.cache.has_answers(STEP, "p"))
        await self.ask()
        self.assertTrue(self.cache.has_answers(STEP, "p"))
        self.clock.advance(timedelta(seconds=10))
        self.assertFalse(self.cache.has_answers(STEP, "p"))

    async def test_refused_vms_are_asked_about_again_if_others_are_of_no_use(self):
        """Guards against tasks that never leave, as their own VM keeps its ticket."""
        self.vms = ("v0", "v1")
        besides = frozenset({"v0"})
        await self.ask()
        self.assertEqual(await self.ask(besides=besides), ("v0",))
        self.clock.advance(timedelta(seconds=6))
        self.assertEqual(await self.ask(), ("v0",))
        self.assertEqual(await self.ask(besides=besides), ("v0", "v1"))


if __name__ == "__main__":
    unittest.main()
