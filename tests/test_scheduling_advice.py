"""Tests of tickets: asked for once, kept while they last, renewed in time."""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.scheduling import (
    Advice,
    AdviceCache,
    AdviceSettings,
    OrderOutcomeUnknownError,
)
from tests.support_scheduling import EVENTS, eventually

STEP = ("j1", 0, 0)
CFG = AdviceSettings(max_vms=2, retry_delay=timedelta(milliseconds=5))


class FakeAdviser:
    """Finds every VM good but those with an odd number."""

    def __init__(self):
        self.calls = []
        self.n_lost = 0

    async def request_advice(self, step, vm_ids):
        """Answer a question."""
        self.calls.append(vm_ids)
        await asyncio.sleep(0)
        if self.n_lost:
            self.n_lost -= 1
            raise OrderOutcomeUnknownError("no answer")
        tickets = {vm_id: f"t-{vm_id}" for vm_id in vm_ids if int(vm_id[1:]) % 2 == 0}
        return Advice(tickets=tickets, validity=timedelta(seconds=3))


class TestAdviceBook(unittest.IsolatedAsyncioTestCase):
    """One call at a time, of the VMs with most room."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.adviser = FakeAdviser()
        self.cache = AdviceCache(
            adviser=self.adviser,
            candidates=lambda pool: ("v0", "v1", "v2", "v3"),
            clock=self.clock,
            events=EVENTS,
            on_advice=lambda: None,
            cfg=CFG,
        )
        self.task = asyncio.create_task(self.cache.run())
        self.addCleanup(self.task.cancel)

    async def test_the_first_candidates_are_asked_about(self):
        self.cache.request(STEP, "p")
        await eventually(lambda: self.cache.tickets(STEP))
        self.assertEqual(self.cache.tickets(STEP), {"v0": "t-v0"})
        self.assertEqual(self.adviser.calls, [("v0", "v1")])

    async def test_the_next_call_asks_about_others(self):
        for n_good in (1, 2):
            self.cache.request(STEP, "p")
            await eventually(lambda n=n_good: len(self.cache.tickets(STEP)) == n)
        self.assertEqual(self.adviser.calls[1], ("v0", "v2"))

    async def test_a_ticket_is_not_used_when_it_expires_soon(self):
        self.cache.request(STEP, "p")
        await eventually(lambda: self.cache.tickets(STEP))
        self.clock.advance(timedelta(seconds=2.7))
        self.assertEqual(self.cache.tickets(STEP), {})

    async def test_a_lost_call_is_no_advice(self):
        self.adviser.n_lost = 1
        self.cache.request(STEP, "p")
        await eventually(lambda: self.adviser.calls)
        self.assertEqual(self.cache.tickets(STEP), {})
        self.cache.request(STEP, "p")
        await eventually(lambda: self.cache.tickets(STEP))

    async def test_an_ended_job_is_forgotten(self):
        self.cache.request(STEP, "p")
        await eventually(lambda: self.cache.tickets(STEP))
        self.cache.forget_job("j1")
        self.assertEqual(self.cache.tickets(STEP), {})
