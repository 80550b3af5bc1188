"""Tests of the room on the way to the leader if waiting calls are given up."""

import asyncio

from redwingslip.relay._in_flight import InFlight
from tests.support_virtual_time import VirtualTimeTestCase

LARGE = 100_000


class TestGivenUpWaits(VirtualTimeTestCase):
    """Room for one large body, and another one that waits for it."""

    async def asyncSetUp(self):
        self.in_flight = InFlight(LARGE)
        await self.in_flight.enter(LARGE, 1)

    async def test_room_is_freed_in_the_moment_in_which_a_wait_is_cancelled(self):
        """Guards against an answer that is lost, and room that is never freed.

        The future of a cancelled wait is done before the wait's task runs again.
        """
        waiting = asyncio.create_task(self.in_flight.enter(LARGE, 60))
        await asyncio.sleep(0)
        waiting.cancel()
        self.in_flight.leave(LARGE)
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.assertEqual(self.in_flight.n_bytes, 0)
        self.assertTrue(await self.in_flight.enter(LARGE, 0.01))

    async def test_the_next_wait_gets_the_room_of_a_cancelled_one(self):
        """Guards against a wait behind a given-up one that is never admitted."""
        given_up, next_wait = (
            asyncio.create_task(self.in_flight.enter(LARGE, 1)) for _ in "ab"
        )
        await asyncio.sleep(0)
        given_up.cancel()
        self.in_flight.leave(LARGE)
        self.assertTrue(await next_wait)
        self.assertEqual(self.in_flight.n_bytes, LARGE)
