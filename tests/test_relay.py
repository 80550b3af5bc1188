"""Tests of the relay of calls to the leader."""

import asyncio
from datetime import timedelta

from redwingslip.observe import NullSink
from redwingslip.peers import (
    CallSource,
    LeaderQuery,
    LeaderReport,
    RelayedAnswer,
    RelayedCall,
)
from redwingslip.platform import relay_error_answer
from redwingslip.relay import (
    CallOutcomeUnknownError,
    LeaderRelay,
    NoLeaderKnownError,
    RelaySettings,
)
from tests.support_virtual_time import LoopClock, VirtualTimeTestCase

CFG = RelaySettings(
    query_interval=timedelta(milliseconds=5),
    ping_interval=timedelta(milliseconds=10),
    silence=timedelta(milliseconds=60),
    attempt_timeout=timedelta(milliseconds=40),
)
CALL = RelayedCall(number=0, source=CallSource.CALLERS, method="POST", path="/q/1")
MAX_WAIT = timedelta(milliseconds=400)


class TestLeaderRelay(VirtualTimeTestCase):
    """The relay with a leader that changes, does not answer or loses answers."""

    async def asyncSetUp(self):
        self.leader = "a"
        self.n_handled = 0
        self.n_answers_to_lose = 0
        self.status = 200
        self.calls = []
        self.task = None
        self.restart()

    async def asyncTearDown(self):
        self.task.cancel()

    def restart(self):
        """Replace the relay, as when its process is killed and started again."""
        if self.task is not None:
            self.task.cancel()
        self.relay = LeaderRelay(
            cfg=CFG,
            seeds=("a", "b"),
            send=self.send,
            clock=LoopClock(asyncio.get_running_loop()),
            events=NullSink(),
        )
        self.task = asyncio.create_task(self.relay.run())

    def send(self, replica_id, msg):
        """Answer in place of the replica that the message is sent to."""
        loop = asyncio.get_running_loop()
        is_leader = replica_id == self.leader
        if isinstance(msg, LeaderQuery):
            report = LeaderReport(
                leader_id=self.leader, has_lease=is_leader, members=("a", "b")
            )
            if self.leader:
                loop.call_soon(self.relay.receive_report, replica_id, report)
            return
        self.calls.append(msg)
        answer = RelayedAnswer(
            number=msg.number, is_taken=is_leader, status=self.status
        )
        if is_leader:
            self.n_handled += 1
            if self.n_answers_to_lose:
                self.n_answers_to_lose -= 1
                return
        loop.call_soon(self.relay.receive_answer, replica_id, answer)

    async def test_a_call_is_answered_by_the_leader(self):
        answer = await self.relay.exchange(CALL, MAX_WAIT)
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.n_handled, 1)

    async def test_a_call_whose_answer_is_lost_is_sent_again(self):
        self.n_answers_to_lose = 2
        answer = await self.relay.exchange(CALL, MAX_WAIT)
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.n_handled, 3)

    async def test_a_new_leader_is_found(self):
        await self.relay.exchange(CALL, MAX_WAIT)
        self.leader = "b"
        answer = await self.relay.exchange(CALL, MAX_WAIT)
        self.assertEqual(answer.status, 200)

    async def test_without_a_leader_a_call_did_not_run(self):
        self.leader = ""
        with self.assertRaises(NoLeaderKnownError):
            await self.relay.exchange(CALL, timedelta(milliseconds=50))

    async def test_a_call_that_was_sent_may_have_run(self):
        self.n_answers_to_lose = 1_000
        with self.assertRaises(CallOutcomeUnknownError):
            await self.relay.exchange(CALL, timedelta(milliseconds=120))

    async def test_refusal_after_a_lost_answer_is_not_taken_for_not_run(self):
        """Guards against "not run" for a call whose earlier attempt may have run."""
        self.status = 503
        answer = await self.relay.exchange(CALL, MAX_WAIT)
        self.assertEqual(answer.status, 503)
        self.n_answers_to_lose = 1
        with self.assertRaises(CallOutcomeUnknownError):
            await self.relay.exchange(CALL, MAX_WAIT)

    async def test_an_unresponsive_leader_is_dropped(self):
        await self.relay.exchange(CALL, MAX_WAIT)
        self.leader = ""
        async with asyncio.timeout(2):
            while self.relay.has_leader:  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    # LOST: a restarted gateway took the answers to its predecessor's calls for its own.
    async def test_an_answer_to_a_call_of_an_earlier_process_is_ignored(self):
        self.n_answers_to_lose = 2
        with self.assertRaises(CallOutcomeUnknownError):
            await self.relay.exchange(CALL, timedelta(milliseconds=60))
        earlier = [RelayedAnswer(number=msg.number) for msg in self.calls]
        self.restart()
        self.n_answers_to_lose = 2
        exchange = asyncio.create_task(self.relay.exchange(CALL, MAX_WAIT))
        await asyncio.sleep(0.01)
        for answer in earlier:
            self.relay.receive_answer("a", answer)
        await asyncio.sleep(0.01)
        self.assertFalse(exchange.done())
        self.assertEqual((await exchange).status, 200)

    # LOST: the leader that a call was sent to was frozen while another one answered.
    async def test_only_the_replica_that_was_asked_may_answer(self):
        self.n_answers_to_lose = 1
        exchange = asyncio.create_task(self.relay.exchange(CALL, MAX_WAIT))
        await asyncio.sleep(0.01)
        foreign = RelayedAnswer(number=self.calls[-1].number, status=418)
        self.relay.receive_answer("b", foreign)
        self.assertEqual((await exchange).status, 200)

    def test_only_a_call_that_no_leader_accepted_gets_a_retry_time(self):
        refused = relay_error_answer(CALL, NoLeaderKnownError("none"))
        self.assertEqual((refused.status, refused.retry_after_s), (503, 1))
        unknown = relay_error_answer(CALL, CallOutcomeUnknownError("no answer"))
        self.assertEqual((unknown.status, unknown.retry_after_s), (504, 0))
