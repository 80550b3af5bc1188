"""Tests of an entry's connection to the leader of the replicated log."""

import asyncio
from datetime import timedelta

from redwingslip.daemons._leader import LeaderClient
from redwingslip.peers import ReplicasReply
from tests.support_virtual_time import LoopClock, VirtualTimeTestCase

MS = timedelta(milliseconds=1)


def make_reply(number):
    """Return the leader's answer to a request."""
    return ReplicasReply(number=number, leader_id="a", term=1, replicas=())


class TestLeaderClient(VirtualTimeTestCase):
    """Requests of a process that has replaced an earlier one at its address."""

    async def asyncSetUp(self):
        self.sent = []

    def new_client(self):
        """Return the client of a process that has just started."""
        return LeaderClient(
            replicas=("a", "b"),
            send=lambda _, msg: self.sent.append(msg),
            reset=lambda _: None,
            clock=LoopClock(asyncio.get_running_loop()),
        )

    # Guards against a reply to a killed entry that its successor takes for its own.
    async def test_a_reply_to_an_earlier_process_is_ignored(self):
        earlier = asyncio.create_task(self.new_client().request_replicas(30 * MS))
        await asyncio.sleep(0.001)
        number = self.sent[-1].number
        earlier.cancel()
        client = self.new_client()
        request = asyncio.create_task(client.request_replicas(300 * MS))
        await asyncio.sleep(0.001)
        client.handle_replicas_reply(make_reply(number))
        await asyncio.sleep(0.001)
        self.assertFalse(request.done())
        number = self.sent[-1].number
        client.handle_replicas_reply(make_reply(number))
        self.assertEqual((await request).number, number)
