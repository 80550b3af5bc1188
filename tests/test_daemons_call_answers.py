"""Tests of the leader's answers to calls that arrive in several attempts."""

import asyncio
from types import SimpleNamespace

import msgspec

from redwingslip.daemons._call_answers import CallAnswers
from redwingslip.jobs import (
    Customer,
    JobsState,
    JobStatus,
    Plan,
    Pool,
    Queue,
    ReplacePlan,
)
from redwingslip.peers import CallSource, RelayedCall
from redwingslip.scheduling import (
    EvacuationCalls,
    EvacuationSettings,
    JobService,
    NotLeadingError,
)
from tests.support_scheduling import FakeTerm
from tests.support_virtual_time import VirtualTimeTestCase

JOB_ID = "5c0e7a21d94b36f8"
KEY = "key-1"
QUEUE = Queue(name="q", host="h", path_prefix="/q/", pool="p")
PLAN = Plan(
    version=1,
    queues=(QUEUE,),
    pools=(Pool(name="p"),),
    customers=(Customer(name="c1", keys=(KEY,)),),
)
WITHOUT_QUEUE = msgspec.structs.replace(PLAN, version=2, queues=())
WITHOUT_KEY = msgspec.structs.replace(PLAN, version=2, customers=())
STEP = {"count": 1, "cpu": 500, "memMb": 64}
OWN_STEP = {"n_tasks": 1, "need": {"cpu": 500}}
VM_REPORT = {
    "sequence": 1,
    "born": 1_000,
    "machine": "m-1",
    "service": "p",
    "address": "10.0.0.9:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 1000, "memMb": 1000, "gpu": 0},
    "labels": [],
    "clockMs": 2_000,
}


class TestCallAnswers(VirtualTimeTestCase):
    """Attempts of one call, with plans that change between them."""

    async def asyncSetUp(self):
        self.state = JobsState()
        self.state.apply(ReplacePlan(plan=PLAN))
        self.faults = []
        self.answers = CallAnswers(
            own_address="10.0.0.1:80", on_fault=lambda *fault: self.faults.append(fault)
        )
        self.service = self.new_service()
        self.number = 100

    def new_service(self):
        """Return the service of a leader with this state."""
        self.term = FakeTerm(self.state)
        evacuations = EvacuationCalls(term=self.term, cfg=EvacuationSettings())
        scheduler = SimpleNamespace(agents={}, evacuations=evacuations)
        return JobService(term=self.term, scheduler=scheduler)

    def call(self, method, *, call_id=100, source=CallSource.CALLERS, **fields):
        """Return the next attempt of a call; the first one has its id as number."""
        options = {"host": "h", "path": f"/q/{JOB_ID}", "token": KEY}
        body = {"spec": "work", "steps": [STEP]}
        if source is CallSource.SUBMITTERS:
            options["path"] = f"/v1/queues/q/jobs/{JOB_ID}"
            body = {"steps": [OWN_STEP]}
        options["body"] = msgspec.json.encode(body)
        number, self.number = self.number, self.number + 1
        return RelayedCall(
            number=number,
            call_id=call_id,
            source=source,
            method=method,
            **{**options, **fields},
        )

    async def answer(self, method, **options):
        """Return the answer to the next attempt of a call."""
        call = self.call(method, **options)
        answer = await self.answers.answer(self.service, call)
        self.assertEqual(answer.number, call.number)
        self.assertEqual(self.faults, [])
        return answer

    # REFUSED: a submission that a killed leader had stored was answered 404 or 401 by
    # the next one, since its route or key had been withdrawn meanwhile; it ran.
    async def test_a_stored_submission_is_accepted_after_the_plan_has_changed(self):
        for source, status in ((CallSource.CALLERS, 200), (CallSource.SUBMITTERS, 201)):
            for plan in (WITHOUT_QUEUE, WITHOUT_KEY):
                with self.subTest(source, plan=plan):
                    await self.asyncSetUp()
                    await self.answer("POST", source=source)
                    self.state.apply(ReplacePlan(plan=plan))
                    self.service = self.new_service()
                    answer = await self.answer("POST", source=source)
                    self.assertEqual(answer.status, status)
                    self.assertTrue(answer.is_final)
                    self.assertEqual(self.term.n_commands, 0)

    async def test_a_submission_that_was_not_stored_is_refused_for_good(self):
        for source in (CallSource.CALLERS, CallSource.SUBMITTERS):
            for plan, status in ((WITHOUT_QUEUE, 404), (WITHOUT_KEY, 401)):
                with self.subTest(source, plan=plan):
                    await self.asyncSetUp()
                    self.state.apply(ReplacePlan(plan=plan))
                    self.number += 1
                    answer = await self.answer("POST", source=source)
                    self.assertEqual((answer.status, answer.is_final), (status, True))

    # Guards against a withdrawn key that is accepted, since a job has the id.
    async def test_a_job_of_another_call_lets_no_repeated_call_in(self):
        await self.answer("POST", call_id=self.number)
        self.state.apply(ReplacePlan(plan=WITHOUT_KEY))
        answer = await self.answer("POST", call_id=7)
        self.assertEqual((answer.status, answer.is_final), (401, True))

    async def test_it_is_not_known_who_submitted_a_job_of_an_earlier_version(self):
        await self.answer("POST", call_id=0)
        self.state.apply(ReplacePlan(plan=WITHOUT_QUEUE))
        answer = await self.answer("POST", call_id=7)
        self.assertEqual((answer.status, answer.is_final), (404, False))

    # Guards against "no such queue" for a cancellation that was carried out.
    async def test_a_cancellation_that_was_carried_out_is_acknowledged(self):
        for source in (CallSource.CALLERS, CallSource.SUBMITTERS):
            for plan in (WITHOUT_QUEUE, WITHOUT_KEY):
                with self.subTest(source, plan=plan):
                    await self.asyncSetUp()
                    await self.answer("POST", call_id=0, source=source)
                    await self.answer("DELETE", call_id=101, source=source)
                    self.state.apply(ReplacePlan(plan=plan))
                    answer = await self.answer("DELETE", call_id=101, source=source)
                    self.assertEqual((answer.status, answer.is_final), (200, True))
                    self.assertIn(b"cancelled", answer.body)

    async def test_a_cancellation_that_was_not_carried_out_is_refused_for_good(self):
        await self.answer("POST", call_id=0)
        self.state.apply(ReplacePlan(plan=WITHOUT_QUEUE))
        answer = await self.answer("DELETE", call_id=7)
        self.assertEqual((answer.status, answer.is_final), (404, True))
        self.assertEqual(self.state.jobs[JOB_ID].status, JobStatus.QUEUED)

    # Guards against "had no effect" for a cancellation that a later job meets.
    async def test_an_early_cancellation_that_is_repeated(self):
        for source, status in ((CallSource.CALLERS, 410), (CallSource.SUBMITTERS, 404)):
            with self.subTest(source):
                await self.asyncSetUp()
                for _ in range(2):
                    answer = await self.answer("DELETE", source=source)
                    self.assertEqual((answer.status, answer.is_final), (status, True))
                self.state.apply(ReplacePlan(plan=WITHOUT_QUEUE))
                answer = await self.answer("DELETE", source=source)
                self.assertEqual((answer.status, answer.is_final), (404, False))

    # REFUSED: the plan may change while the first attempt is being committed.
    async def test_an_attempt_joins_an_earlier_one_that_is_in_progress(self):
        first = asyncio.create_task(self.answer("POST"))
        commit = asyncio.Event()
        propose = self.term.propose

        async def propose_later(command):
            await commit.wait()
            return await propose(command)

        self.term.propose = propose_later
        await asyncio.sleep(0.01)
        self.state.apply(ReplacePlan(plan=WITHOUT_QUEUE))
        second = asyncio.create_task(self.answer("POST"))
        await asyncio.sleep(0.01)
        self.assertFalse(second.done())
        commit.set()
        statuses = [(await attempt).status for attempt in (first, second)]
        self.assertEqual(statuses, [200, 200])
        self.assertEqual(self.term.n_commands, 1)

    # Guards against "not run" for a call that the next leader would carry out.
    async def test_a_call_refused_since_the_term_has_ended_is_not_taken(self):
        async def lose_leadership(command):
            self.term.is_leader = False
            raise NotLeadingError("a later term has begun")

        self.term.propose = lose_leadership
        self.assertFalse((await self.answer("POST")).is_taken)

    async def test_an_attempt_of_an_earlier_term_is_awaited_but_not_joined(self):
        commit = asyncio.Event()

        async def lose_leadership(command):
            await commit.wait()
            raise RuntimeError("lost")

        self.term.propose = lose_leadership
        first = asyncio.create_task(
            self.answers.answer(self.service, self.call("POST"))
        )
        await asyncio.sleep(0.01)
        self.service = self.new_service()
        second = asyncio.create_task(
            self.answers.answer(self.service, self.call("POST"))
        )
        await asyncio.sleep(0.01)
        self.assertFalse(second.done())
        commit.set()
        self.assertEqual((await first).status, 500)
        self.assertEqual((await second).status, 200)

    async def test_an_attempt_that_is_cancelled_lets_the_next_one_in(self):
        commit = asyncio.Event()
        propose, self.term.propose = self.term.propose, lambda command: commit.wait()
        first = asyncio.create_task(
            self.answers.answer(self.service, self.call("POST"))
        )
        await asyncio.sleep(0.01)
        second = asyncio.create_task(
            self.answers.answer(self.service, self.call("POST"))
        )
        await asyncio.sleep(0.01)
        self.term.propose = propose
        first.cancel()
        self.assertEqual((await second).status, 200)

    async def report(self, call_id):
        """Return the answer to the report of an endpoint."""
        path = "/instances/i-1/heartbeat"
        body = msgspec.json.encode({**VM_REPORT, "service": self.pool})
        return await self.answer(
            "POST", call_id=call_id, source=CallSource.CONTROL, path=path, body=body
        )

    async def test_a_report_that_was_stored_is_not_refused_for_good(self):
        self.pool = "p"
        self.assertEqual((await self.report(100)).status, 200)
        self.pool = "unknown"
        answer = await self.report(100)
        self.assertEqual((answer.status, answer.is_final), (400, False))

    async def test_a_report_that_was_not_stored_is_refused_for_good(self):
        self.pool = "unknown"
        answer = await self.report(7)
        self.assertEqual((answer.status, answer.is_final), (400, True))

    async def test_evacuations_of_a_data_centre_whose_last_vm_has_left(self):
        self.service._scheduler.evacuations._cfg = EvacuationSettings(
            data_centres=("other",)
        )
        control, operators = CallSource.CONTROL, CallSource.OPERATORS
        for source, method, path, is_final in (
            (control, "POST", "/evacuations/east/start", True),
            (control, "POST", "/evacuations/east/finish", False),
            (operators, "PUT", "/v1/evacuations/east", True),
            (operators, "DELETE", "/v1/evacuations/east", False),
        ):
            with self.subTest(path, source=source):
                answer = await self.answer(method, call_id=7, source=source, path=path)
                self.assertEqual((answer.status, answer.is_final), (404, is_final))

    async def test_a_repeated_plan_is_acknowledged(self):
        body = msgspec.json.encode({"version": 1, "routes": [], "services": []})
        options = {"source": CallSource.CONTROL, "path": "/config/replace"}
        answer = await self.answer("POST", call_id=7, body=body, **options)
        self.assertEqual((answer.status, answer.is_final), (200, True))
        answer = await self.answer("POST", call_id=7, body=b"{", **options)
        self.assertEqual((answer.status, answer.is_final), (400, True))
