"""Tests of the cache of tickets: requests, expiry and renewal."""

import asyncio
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.scheduling import (
    Advice,
    AdviceCache,
    AdviceSettings,
    OrderOutcomeUnknownError,
)
from tests.support_scheduling import EVENTS, eventually
from tests.support_virtual_time import VirtualTimeTestCase

STEP = ("j1", 0, 0)
CFG = AdviceSettings(max_vms=2, retry_delay=timedelta(milliseconds=5))


class FakeAdviser:
    """An adviser that grants tickets to VMs with an even number only."""

    def __init__(self):
        self.calls = []
        self.n_lost = 0

    async def request_advice(self, step, vm_ids):
        """Grant tickets, or raise while `n_lost` is above 0."""
        self.calls.append(vm_ids)
        await asyncio.sleep(0)
        if self.n_lost:
            self.n_lost -= 1
            raise OrderOutcomeUnknownError("no answer")
        tickets = {vm_id: f"t-{vm_id}" for vm_id in vm_ids if int(vm_id[1:]) % 2 == 0}
        return Advice(tickets=tickets, validity=timedelta(seconds=3))


class TestAdviceCache(VirtualTimeTestCase):
    """Four VMs as candidates, at most two of them in one call."""

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

    async def test_tickets_are_requested_for_the_first_candidates(self):
        self.cache.request(STEP, "p")
        await eventually(lambda: self.cache.tickets(STEP))
        self.assertEqual(self.cache.tickets(STEP), {"v0": "t-v0"})
        self.assertEqual(self.adviser.calls, [("v0", "v1")])

    async def test_the_next_call_includes_candidates_not_queried_before(self):
        for n_tickets in (1, 2):
            self.cache.request(STEP, "p")
            await eventually(lambda n=n_tickets: len(self.cache.tickets(STEP)) == n)
        self.assertEqual(self.adviser.calls[1], ("v0", "v2"))

    async def test_a_ticket_that_expires_soon_is_not_used(self):
        self.cache.request(STEP, "p")
        await eventually(lambda: self.cache.tickets(STEP))
        self.clock.advance(timedelta(seconds=2.7))
        self.assertEqual(self.cache.tickets(STEP), {})

    # LOST: a lasting task waited for its ticket behind the requests of short ones.
    async def test_urgent_requests_are_served_first(self):
        steps = []

        async def request_advice(step, vm_ids):
            steps.append(step[0])
            await asyncio.sleep(0)
            return Advice(tickets={}, validity=timedelta(seconds=3))

        self.adviser.request_advice = request_advice
        for job_id in ("j1", "j2"):
            self.cache.request((job_id, 0, 0), "p")
        self.cache.request(("long", 0, 0), "p", is_urgent=True)
        await eventually(lambda: len(steps) == 3)
        self.assertEqual(steps, ["long", "j1", "j2"])

    # LOST: short jobs got no ticket while a lasting task without room asked each round.
    async def test_urgent_requests_that_are_repeated_leave_time_for_others(self):
        steps = []
        long_step = ("long", 0, 0)

        async def request_advice(step, vm_ids):
            steps.append(step[0])
            self.cache.request(long_step, "p", is_urgent=True)
            await asyncio.sleep(0)
            return Advice(tickets={}, validity=timedelta(seconds=3))

        self.adviser.request_advice = request_advice
        self.cache.request(long_step, "p", is_urgent=True)
        for job_id in ("j1", "j2"):
            self.cache.request((job_id, 0, 0), "p")
        await eventually(lambda: len(steps) >= 4)
        self.assertEqual(steps[:4], ["long", "j1", "long", "j2"])

    # LOST: each request of a pool without VMs held up all others.
    async def test_a_request_without_candidates_holds_up_no_other(self):
        delay = timedelta(seconds=60)
        self.cache._cfg = AdviceSettings(max_vms=2, retry_delay=delay)
        self.cache._candidates = lambda pool: ("v0",) if pool == "p" else ()
        self.cache.request(("j0", 0, 0), "empty")
        self.cache.request(STEP, "p")
        await eventually(lambda: self.cache.tickets(STEP))

    # LOST: runs were ordered again and again with the ticket of an earlier incarnation.
    async def test_the_tickets_of_a_replaced_vm_are_dropped(self):
        self.cache.request(STEP, "p")
        await eventually(lambda: self.cache.tickets(STEP))
        self.cache.forget_vm("v0")
        self.assertEqual(self.cache.tickets(STEP), {})
        self.assertEqual(self.cache._choose_vms(STEP, "p"), ("v0", "v2"))

    async def test_a_ticket_for_a_vm_that_is_replaced_meanwhile_is_not_used(self):
        grant = self.adviser.request_advice

        async def request_advice(step, vm_ids):
            advice = await grant(step, vm_ids)
            self.cache.forget_vm("v0")
            return advice

        self.adviser.request_advice = request_advice
        self.cache.request(STEP, "p")
        await eventually(lambda: "v1" in self.cache._queried.get(STEP, ()))
        self.assertEqual(self.cache.tickets(STEP), {})
        self.assertNotIn("v0", self.cache._queried[STEP])

    async def test_a_call_without_an_answer_yields_no_tickets(self):
        self.adviser.n_lost = 1
        self.cache.request(STEP, "p")
        await eventually(lambda: self.adviser.calls)
        self.assertEqual(self.cache.tickets(STEP), {})
        self.cache.request(STEP, "p")
        await eventually(lambda: self.cache.tickets(STEP))

    async def test_tickets_of_an_ended_job_are_dropped(self):
        self.cache.request(STEP, "p")
        await eventually(lambda: self.cache.tickets(STEP))
        self.cache.forget_job("j1")
        self.assertEqual(self.cache.tickets(STEP), {})


class TestRefusals(VirtualTimeTestCase):
    """VMs without a ticket in an answer; the step asks again in each round."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.calls = []
        self.granted = {}
        self.candidates = ("v0", "v1")
        self.cache = AdviceCache(
            adviser=self,
            candidates=lambda pool: self.candidates,
            clock=self.clock,
            events=EVENTS,
            on_advice=lambda: None,
            cfg=AdviceSettings(max_vms=3),
        )
        self.task = asyncio.create_task(self.cache.run())
        self.addCleanup(self.task.cancel)

    async def request_advice(self, step, vm_ids):
        """Grant the tickets that the test has set for a step."""
        now = self.clock.monotonic()
        self.calls.append((now.total_seconds(), step, vm_ids))
        await asyncio.sleep(0)
        granted = self.granted.get(step, ())
        tickets = {vm_id: "t" for vm_id in vm_ids if vm_id in granted}
        return Advice(tickets=tickets, validity=timedelta(seconds=3))

    async def ask_for(self, seconds, *steps):
        """Request tickets of the steps each 0.5 s; return the calls meanwhile."""
        begin, n_before = self.clock.monotonic(), len(self.calls)
        while self.clock.monotonic() < begin + timedelta(seconds=seconds):
            for step in steps or (STEP,):
                self.cache.request(step, "p")
            async with asyncio.timeout(3):
                while self.cache._requests:  # noqa: ASYNC110
                    await asyncio.sleep(0)
            for _ in range(5):
                await asyncio.sleep(0)
            self.clock.advance(timedelta(seconds=0.5))
        return self.calls[n_before:]

    async def test_a_step_that_no_vm_may_run_asks_again(self):
        """Guards against a step that waits for good after one answer without VMs."""
        await self.ask_for(1)
        self.granted = {STEP: ("v1",)}
        await self.ask_for(6)
        self.assertEqual(self.calls[1][1:], (STEP, ("v0", "v1")))
        self.assertEqual(self.cache._tickets[STEP].keys(), {"v1"})

    async def test_a_step_that_no_vm_may_run_asks_rarely(self):
        """Guards against calls without end, which the platform charges."""
        begin = self.clock.monotonic().total_seconds()
        calls = await self.ask_for(600)
        times = [at - begin for at, _, _ in calls]
        self.assertEqual(times[:6], [0, 5, 15, 35, 75, 135])
        self.assertEqual(len(times), 13)

    async def test_many_steps_that_no_vm_may_run_ask_rarely(self):
        """Guards against repeated calls that hold up the first ones of other steps."""
        steps = [(f"j{number}", 0, 0) for number in range(50)]
        self.assertEqual(len(await self.ask_for(5, *steps)), 50)
        self.assertLessEqual(len(await self.ask_for(20, *steps)), 20)

    async def test_a_step_that_has_a_vm_does_not_ask_about_refused_ones(self):
        """Guards against calls that bring a step nothing."""
        self.granted = {STEP: ("v1",)}
        calls = await self.ask_for(200)
        self.assertEqual({vm_ids for _, _, vm_ids in calls[1:]}, {("v1",)})

    async def test_a_step_whose_vms_are_away_asks_about_refused_ones(self):
        """Guards against a step that waits for VMs that never come back."""
        self.granted = {STEP: ("v1",)}
        await self.ask_for(1)
        self.candidates = ("v0",)
        self.granted = {STEP: ("v0", "v1")}
        calls = await self.ask_for(6)
        self.assertIn(("v0",), {vm_ids for _, _, vm_ids in calls})
        self.candidates = ("v0", "v1")
        self.assertEqual(self.cache._choose_vms(STEP, "p"), ("v0", "v1"))

    async def test_a_pool_without_vms_needs_no_call(self):
        """Guards against calls about no VM."""
        await self.ask_for(1)
        self.candidates = ()
        self.assertEqual(await self.ask_for(60), [])
        self.candidates = ("v0", "v1")
        self.assertEqual(len(await self.ask_for(11)), 2)

    async def test_the_refusals_of_an_ended_job_are_dropped(self):
        """Guards against refusals that pile up as long as a leader leads."""
        await self.ask_for(6)
        self.cache.forget_job("j1")
        self.assertEqual(self.cache._refusals, {})
