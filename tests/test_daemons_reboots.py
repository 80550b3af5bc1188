"""Tests of the reboots that an entry asks the platform for."""

import asyncio
import unittest

from redwingslip.daemons._reboots import RebootDesk
from redwingslip.peers import RebootOrder
from redwingslip.reboots import PlatformClient, PlatformSettings
from redwingslip.standins import EndpointStandin, PlatformStandin, RelayMode, TcpRelay

N_ORDERS = 30


def order(number=1):
    """Return an order for a VM."""
    return RebootOrder(vm=f"vm-{number}", wave="w", operation_id=f"w/vm-{number}/1")


class TestRebootDesk(unittest.IsolatedAsyncioTestCase):
    """Orders, resends and stops."""

    def setUp(self):
        self.words = asyncio.Queue()

    async def desk(self, address):
        """Return a desk whose client the test closes."""
        client = PlatformClient(PlatformSettings(address=address))
        self.addAsyncCleanup(client.close)
        return RebootDesk(client, self.words.put_nowait)

    async def test_resent_order_reboots_once(self):
        """The platform reboots a VM once, and its end is told."""
        no_endpoints: list[EndpointStandin] = []
        platform = PlatformStandin({"vm-1": no_endpoints})
        await platform.start()
        self.addAsyncCleanup(platform.stop)
        desk = await self.desk(platform.address)
        desk.order(order())
        desk.order(order())
        word = await self.words.get()
        self.assertTrue(word.accepted)
        # The first order's task has to end before a resend is a new one.
        await asyncio.sleep(0.05)
        desk.order(order())
        await self.words.get()
        self.assertEqual(platform.n_reboots, 1)

    async def test_stop_ends_while_the_platform_is_silent(self):
        """A platform that answers nothing holds no entry's stop up."""
        platform = PlatformStandin({})
        await platform.start()
        self.addAsyncCleanup(platform.stop)
        relay = TcpRelay(platform.address)
        relay.set_mode_of_all(RelayMode.FREEZE)
        await relay.start()
        self.addAsyncCleanup(relay.stop)
        desk = await self.desk(relay.address)
        for number in range(N_ORDERS):
            desk.order(order(number))
        await asyncio.sleep(0.1)
        await desk.stop()
        self.assertTrue(self.words.empty())

    async def test_stop_ends_while_the_platform_is_unreachable(self):
        """A platform that nobody listens for holds no entry's stop up."""
        desk = await self.desk("127.0.0.1:9")
        for number in range(N_ORDERS):
            desk.order(order(number))
        await asyncio.sleep(0.1)
        await desk.stop()
        self.assertTrue(self.words.empty())

    async def test_order_without_a_platform_stays_unanswered(self):
        """The leader's resend goes to another entry then."""
        desk = RebootDesk(None, self.words.put_nowait)
        desk.order(order())
        await asyncio.sleep(0.05)
        await desk.stop()
        self.assertTrue(self.words.empty())


if __name__ == "__main__":
    unittest.main()
