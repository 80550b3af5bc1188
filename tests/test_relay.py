"""Tests of the relay of calls to the leader."""

import asyncio
from datetime import timedelta

import msgspec

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
        self.is_final = False
        self.term = 0
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
                leader_id=self.leader,
                has_lease=is_leader,
                term=self.term if is_leader else 0,
                members=("a", "b"),
            )
            if self.leader:
                loop.call_soon(self.relay.receive_report, replica_id, report)
            return
        self.calls.append(msg)
        answer = RelayedAnswer(
            number=msg.number,
            is_taken=is_leader,
            is_final=self.is_final,
            status=self.status,
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

    # REFUSED: the next leader answered 404 to a submission that the killed one had
    # stored, since its route had been removed meanwhile; it ran.
    async def test_a_refusal_after_a_lost_answer_is_not_passed_on(self):
        loop = asyncio.get_running_loop()
        for status in (400, 401, 404, 409, 413, 422, 429):
            self.status = status
            self.n_answers_to_lose = 1
            began_at = loop.time()
            with self.subTest(status), self.assertRaises(CallOutcomeUnknownError):
                await self.relay.exchange(CALL, MAX_WAIT)
            has_waited = loop.time() - began_at >= MAX_WAIT.total_seconds()
            self.assertEqual(has_waited, status == 429)

    # Guards against callers that wait for their deadline after a certain refusal.
    async def test_a_refusal_that_holds_for_all_attempts_is_passed_on_at_once(self):
        self.is_final = True
        for status in (401, 404, 429, 503):
            self.status = status
            self.n_answers_to_lose = 1
            n_handled = self.n_handled
            answer = await self.relay.exchange(CALL, MAX_WAIT)
            self.assertEqual(answer.status, status)
            self.assertEqual(self.n_handled, n_handled + 2)

    # Guards against endpoints that report late after a change of leader, since the new
    # one refuses them until it has heard of their VMs.
    async def test_a_passing_refusal_of_a_report_is_tried_again(self):
        self.is_final = True
        report = msgspec.structs.replace(CALL, source=CallSource.CONTROL)
        for recovers, status in ((True, 200), (False, 503)):
            self.status = 503
            self.n_answers_to_lose = 1
            if recovers:
                loop = asyncio.get_running_loop()
                loop.call_later(0.1, setattr, self, "status", 200)
            answer = await self.relay.exchange(report, MAX_WAIT)
            self.assertEqual(answer.status, status)

    async def test_a_read_is_refused_after_a_lost_answer(self):
        self.status = 410
        self.n_answers_to_lose = 1
        read = msgspec.structs.replace(CALL, method="GET")
        self.assertEqual((await self.relay.exchange(read, MAX_WAIT)).status, 410)

    async def test_attempts_name_their_call_and_the_term_of_their_leader(self):
        self.term = 5
        self.restart()
        self.n_answers_to_lose = 2
        await self.relay.exchange(CALL, MAX_WAIT)
        await self.relay.exchange(CALL, MAX_WAIT)
        first, second, third, other = self.calls
        self.assertEqual({msg.term for msg in self.calls}, {5})
        self.assertEqual({msg.call_id for msg in self.calls[:3]}, {first.number})
        self.assertEqual(other.call_id, other.number)
        repeated = [msg.is_repeated for msg in (first, second, third, other)]
        self.assertEqual(repeated, [False, True, True, False])

    # Guards against calls that go to a leader that was frozen while it was replaced.
    async def test_an_earlier_leader_does_not_replace_the_known_one(self):
        self.term = 5
        self.restart()
        await self.relay.exchange(CALL, MAX_WAIT)
        late = LeaderReport(leader_id="b", has_lease=True, term=4, members=("a", "b"))
        self.relay.receive_report("b", late)
        self.n_handled = 0
        await self.relay.exchange(CALL, timedelta(milliseconds=5))
        self.assertEqual(self.n_handled, 1)

    # Guards against gateways that outlive a fleet that was founded again.
    async def test_a_leader_of_a_lower_term_is_found_when_none_is_known(self):
        self.term = 5
        self.restart()
        await self.relay.exchange(CALL, MAX_WAIT)
        self.leader = ""
        async with asyncio.timeout(2):
            while self.relay.has_leader:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        self.leader, self.term = "b", 1
        self.assertEqual((await self.relay.exchange(CALL, MAX_WAIT)).status, 200)

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
