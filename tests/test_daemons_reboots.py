"""Tests of the reboots that an entry requests from the platform."""

import asyncio
import unittest

from redwingslip.daemons._reboots import RebootRunner
from redwingslip.peers import RebootOrder
from redwingslip.reboots import PlatformClient, PlatformSettings
from redwingslip.standins import EndpointStandin, PlatformStandin, RelayMode, TcpRelay

N_ORDERS = 30


def order(number=1):
    """Return an order for a VM."""
    return RebootOrder(vm=f"vm-{number}", wave="w", operation_id=f"w/vm-{number}/1")


class TestRebootRunner(unittest.IsolatedAsyncioTestCase):
    """Orders, resends and stops."""

    def setUp(self):
        self.reports = asyncio.Queue()

    async def new_runner(self, address):
        """Return a runner whose client is closed after the test."""
        client = PlatformClient(PlatformSettings(address=address))
        self.addAsyncCleanup(client.close)
        return RebootRunner(client, self.reports.put_nowait)

    async def test_resent_order_reboots_once(self):
        """The platform reboots a VM once, and each order is answered."""
        no_endpoints: list[EndpointStandin] = []
        platform = PlatformStandin({"vm-1": no_endpoints})
        await platform.start()
        self.addAsyncCleanup(platform.stop)
        runner = await self.new_runner(platform.address)
        runner.handle_order(order())
        runner.handle_order(order())
        report = await self.reports.get()
        self.assertTrue(report.accepted)
        # A resend is answered again only after the first order's task has ended.
        await asyncio.sleep(0.05)
        runner.handle_order(order())
        await self.reports.get()
        self.assertEqual(platform.n_reboots, 1)

    async def test_stop_ends_while_the_platform_is_unresponsive(self):
        """A platform that never answers does not delay the stop of an entry."""
        platform = PlatformStandin({})
        await platform.start()
        self.addAsyncCleanup(platform.stop)
        relay = TcpRelay(platform.address)
        relay.set_mode_of_all(RelayMode.FREEZE)
        await relay.start()
        self.addAsyncCleanup(relay.stop)
        runner = await self.new_runner(relay.address)
        for number in range(N_ORDERS):
            runner.handle_order(order(number))
        await asyncio.sleep(0.1)
        await runner.stop()
        self.assertTrue(self.reports.empty())

    async def test_stop_ends_while_the_platform_is_unreachable(self):
        """A platform that refuses connections does not delay the stop of an entry."""
        runner = await self.new_runner("127.0.0.1:9")
        for number in range(N_ORDERS):
            runner.handle_order(order(number))
        await asyncio.sleep(0.1)
        await runner.stop()
        self.assertTrue(self.reports.empty())

    async def test_order_without_a_platform_stays_unanswered(self):
        """The order stays open, so that the leader resends it to another entry."""
        runner = RebootRunner(None, self.reports.put_nowait)
        runner.handle_order(order())
        await asyncio.sleep(0.05)
        await runner.stop()
        self.assertTrue(self.reports.empty())


if __name__ == "__main__":
    unittest.main()
