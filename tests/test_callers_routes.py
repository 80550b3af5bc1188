"""Tests of the callers' interface, over real sockets."""

import asyncio
import itertools
import logging
import unittest
from datetime import timedelta

from redwingslip.callers import (
    Answer,
    BadRequestError,
    CallerInterface,
    ForbiddenError,
    NotRunError,
    OutcomeUnknownError,
    ResultLimits,
    ResultStore,
    UnauthorizedError,
    UnknownQueueError,
    make_secret,
)
from redwingslip.clock import ManualClock
from redwingslip.http import HttpLimits
from tests.support_http import LONG, HttpTestCase, json_of

PATH = "/v1/queues/listings/requests"
SECOND = timedelta(seconds=1)


class FakeRunner:
    """Answers with the body of the request; waits for `release` if it is "hold"."""

    def __init__(self):
        self.submissions = []
        self.cancelled = []
        self.error = None
        self.is_accepting = True
        self.release = asyncio.Event()
        self.started = asyncio.Event()
        self.stopped = asyncio.Event()

    def is_ready(self):
        """Return the value that the test has set."""
        return self.is_accepting

    async def run(self, submission):
        """Record a request, and answer with its body."""
        self.submissions.append(submission)
        self.started.set()
        if self.error is not None:
            raise self.error
        try:
            if submission.body == b"hold":
                await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled.append(submission.request_id)
            self.stopped.set()
            raise
        return Answer(status=200, content_type="text/x", body=submission.body)


class CallerTestCase(HttpTestCase):
    """A callers' interface in front of a fake runner."""

    limits = ResultLimits(max_count=3, max_bytes=1_000, max_age=10 * SECOND)

    async def asyncSetUp(self):
        """Serve the routes."""
        await super().asyncSetUp()
        self.runner = FakeRunner()
        self.clock = ManualClock()
        self.withdrawn = set()
        limits = HttpLimits(max_body_bytes=1_000, max_total_body_bytes=2_500)
        interface = CallerInterface(
            self.runner,
            limits,
            ResultStore(self.limits, self.clock),
            own_url="http://10.0.0.1:80",
            identify=self.identify,
        )
        self.addAsyncCleanup(interface.close)
        # The budget for all bodies is the server's.
        await self.serve(interface.routes(), limits)

    def identify(self, secret):
        """Return a key's team, unless it was withdrawn."""
        if secret in self.withdrawn:
            raise UnauthorizedError("withdrawn")
        return secret.partition("-")[0]

    async def request(self, body=b"x", method="POST", path=PATH, **headers):
        """Send a request; header names have '_' in place of '-'."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        named.setdefault("Authorization", "Bearer smiths-1")
        return await self.send(method, path, headers=named, body=body)

    async def send_raw(self, data):
        """Open a connection and send bytes."""
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(lambda: writer.transport.abort())
        writer.write(data)
        return reader, writer


class TestRequest(CallerTestCase):
    """Tests of POST with an answer while the caller waits."""

    async def test_each_caller_gets_its_own_complete_answer(self):
        """Each of many concurrent requests gets the answer to its own body."""
        bodies = [b"%d" % number * 20 for number in range(30)]
        answers = await asyncio.gather(*(self.request(body) for body in bodies))
        self.assertEqual([answer.body for answer in answers], bodies)
        lengths = [int(answer.headers["content-length"]) for answer in answers]
        self.assertEqual(lengths, [len(body) for body in bodies])
        self.assertEqual(answers[0].headers["content-type"], "text/x")

    async def test_headers_reach_the_runner(self):
        """All declarations in the headers are passed to the runner."""
        await self.request(
            b"x",
            Content_Type="image/png",
            Idempotency_Key='"id-1"',
            Redwingslip_Idempotent="false",
            Redwingslip_Expected_Run="2.5",
            Redwingslip_Slots="2",
            Redwingslip_Accelerators="1",
            Redwingslip_Memory_MB="512",
            Prefer="foo, wait=4",
        )
        (got,) = self.runner.submissions
        self.assertEqual((got.queue, got.key), ("listings", "smiths-1"))
        self.assertEqual((got.content_type, got.body), ("image/png", b"x"))
        self.assertEqual((got.idempotency_key, got.idempotent), ("id-1", False))
        self.assertEqual(got.timeout, 4 * SECOND)
        self.assertEqual(got.expected_run, 2.5 * SECOND)
        self.assertEqual((got.slots, got.accelerators, got.memory_mb), (2, 1, 512))

    async def test_malformed_header_is_named(self):
        """The answer names a malformed header, and the work does not run."""
        cases = (
            ("Idempotency_Key", ""),
            ("Idempotency_Key", "a b"),
            ("Idempotency_Key", "x" * 256),
            ("Redwingslip_Idempotent", "maybe"),
            ("Redwingslip_Expected_Run", "-1"),
            ("Redwingslip_Expected_Run", "nan"),
            ("Redwingslip_Slots", "0"),
            ("Redwingslip_Slots", "1.5"),
            ("Redwingslip_Slots", "9" * 5000),
            ("Redwingslip_Accelerators", "-1"),
            ("Redwingslip_Memory_MB", "1e9"),
            ("Prefer", "wait=soon"),
            ("Prefer", "wait=0"),
        )
        for name, value in cases:
            with self.subTest(name=name, value=value):
                answer = await self.request(**{name: value})
                self.assertEqual(answer.status, 400)
                problem = json_of(answer)
                self.assertEqual(problem["field"], name.replace("_", "-"))
                self.assertEqual(problem["outcome"], "not-run")
        self.assertEqual(self.runner.submissions, [])

    async def test_errors_state_whether_the_work_ran(self):
        """Each error of the runner is answered with its status and outcome."""
        cases = (
            (BadRequestError("x"), 400, "not-run"),
            (UnauthorizedError("x"), 401, "not-run"),
            (ForbiddenError("x"), 403, "not-run"),
            (UnknownQueueError("x"), 404, "not-run"),
            (NotRunError("x", retry_after=1.2 * SECOND), 503, "not-run"),
            (OutcomeUnknownError("x"), 504, "unknown"),
        )
        for error, status, outcome in cases:
            with self.subTest(error=type(error).__name__):
                self.runner.error = error
                answer = await self.request()
                self.assertEqual(answer.status, status)
                media_type = answer.headers["content-type"]
                self.assertEqual(media_type, "application/problem+json")
                self.assertEqual(json_of(answer)["outcome"], outcome)
                retry_after = "2" if error.retry_after else None
                self.assertEqual(answer.headers.get("retry-after"), retry_after)

    async def test_unexpected_error_leaves_the_outcome_unknown(self):
        """An unexpected error is answered with 500 and outcome unknown."""
        self.runner.error = KeyError("boom")
        with self.assertLogs("uvicorn.error"):
            answer = await self.request()
        self.assertEqual(answer.status, 500)
        self.assertEqual(json_of(answer)["outcome"], "unknown")

    async def test_request_with_too_large_a_body_does_not_run(self):
        """A body above the limit gets 413, with and without a declared length."""
        answer = await self.request(b"x" * 1_001)
        self.assertEqual(answer.status, 413)
        self.assertEqual(json_of(answer)["outcome"], "not-run")
        chunk = b"1f4\r\n" + b"x" * 500 + b"\r\n"
        head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        reader, _ = await self.send_raw(head.encode() + chunk * 3 + b"0\r\n\r\n")
        self.assertIn(b" 413 ", await reader.readline())
        self.assertEqual(self.runner.submissions, [])

    async def test_total_size_of_bodies_is_limited(self):
        """A body above the total limit is refused; every end of a run frees memory."""
        await self.request(b"x" * 900)
        self.runner.error = KeyError("boom")
        with self.assertLogs("uvicorn.error"):
            await self.request(b"x" * 900)
        self.runner.error = None
        head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n"
        _, first = await self.send_raw(head.encode() + b"x" * 800)
        _, second = await self.send_raw(head.encode() + b"x" * 800)
        refused = await self.send_until(503, b"x" * 900)
        self.assertEqual(json_of(refused)["outcome"], "not-run")
        self.assertEqual((await self.request(b"x" * 600)).status, 200)
        first.transport.abort()
        second.transport.abort()
        await self.send_until(200, b"x" * 900)

    async def send_until(self, status, body):
        """Send a body repeatedly until the answer has `status`; return that answer."""
        async with asyncio.timeout(LONG.total_seconds()):
            for _ in itertools.count():
                answer = await self.request(body)
                if answer.status == status:
                    return answer

    async def test_unknown_path_and_method(self):
        """A request that has no route gets a problem document too."""
        missing = await self.request(path="/v1/nothing")
        method = await self.request(method="PUT")
        self.assertEqual((missing.status, method.status), (404, 405))
        self.assertEqual(json_of(missing)["outcome"], "not-run")
        self.assertEqual(method.headers["allow"], "POST")


class TestDisconnect(CallerTestCase):
    """Tests of callers that disconnect."""

    async def test_run_is_cancelled_when_its_caller_disconnects(self):
        """A disconnect cancels the run of that caller, and no other."""
        head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nhold"
        _, writer = await self.send_raw(head.encode())
        await self.runner.started.wait()
        self.runner.started.clear()
        other = asyncio.create_task(self.request(b"hold"))
        await self.runner.started.wait()
        writer.transport.abort()
        await self.runner.stopped.wait()
        cancelled_id = self.runner.submissions[0].request_id
        self.assertEqual(self.runner.cancelled, [cancelled_id])
        self.runner.release.set()
        self.assertEqual((await other).body, b"hold")

    async def test_request_with_an_incomplete_body_does_not_run(self):
        """A request whose caller disconnects within the body is not run."""
        head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf"
        _, writer = await self.send_raw(head.encode())
        await self.request()
        writer.transport.abort()
        await self.request()
        self.assertEqual(len(self.runner.submissions), 2)


class TestAsynchronous(CallerTestCase):
    """Tests of requests with Prefer: respond-async."""

    async def start_request(self, body=b"hold", **headers):
        """Start a request and return the path of its result."""
        answer = await self.request(body, Prefer="respond-async", **headers)
        self.assertEqual(answer.status, 202)
        location = answer.headers["location"]
        self.assertTrue(location.startswith("http://10.0.0.1:80/v1/requests/"))
        return location.removeprefix("http://10.0.0.1:80")

    async def get_result(self, path, **headers):
        """Request a result."""
        return await self.request(b"", "GET", path, **headers)

    async def test_answer_is_fetched_later(self):
        """A result is 202 until the request has finished; it can be read repeatedly."""
        path = await self.start_request()
        self.assertEqual((await self.get_result(path)).status, 202)
        self.runner.release.set()
        while (answer := await self.get_result(path)).status == 202:
            pass
        self.assertEqual((answer.status, answer.body), (200, b"hold"))
        self.assertEqual((await self.get_result(path)).body, b"hold")

    async def test_problem_is_fetched_later(self):
        """The result of a refused request is its problem, with the outcome."""
        self.runner.error = NotRunError("full")
        path = await self.start_request()
        while (answer := await self.get_result(path)).status == 202:
            pass
        self.assertEqual(answer.status, 503)
        self.assertEqual(json_of(answer)["outcome"], "not-run")

    async def test_result_is_only_for_its_own_team(self):
        """Another team, no key and a withdrawn key can't read the result."""
        path = await self.start_request(b"x")
        await self.request()
        same_team = await self.get_result(path, Authorization="Bearer smiths-2")
        other_team = await self.get_result(path, Authorization="Bearer tilers-1")
        no_key = await self.get_result(path, Authorization="")
        statuses = (same_team.status, other_team.status, no_key.status)
        self.assertEqual(statuses, (200, 404, 404))
        self.withdrawn.add("smiths-1")
        for method in ("GET", "DELETE"):
            withdrawn = await self.request(b"", method, path)
            self.assertEqual(withdrawn.status, 401)

    async def test_withdrawn_key_starts_nothing(self):
        """An asynchronous request with a withdrawn key is refused immediately."""
        self.withdrawn.add("smiths-1")
        answer = await self.request(Prefer="respond-async")
        self.assertEqual(answer.status, 401)
        self.assertEqual(self.runner.submissions, [])

    async def test_delete_cancels(self):
        """DELETE cancels the run, and its result is dropped."""
        path = await self.start_request()
        await self.runner.started.wait()
        deleted = await self.request(b"", "DELETE", path)
        self.assertEqual(deleted.status, 204)
        self.assertEqual(len(self.runner.cancelled), 1)
        self.assertEqual((await self.get_result(path)).status, 404)

    async def test_bodies_count_until_their_runs_end(self):
        """The body of an asynchronous request counts only while the request runs."""
        paths = [await self.start_request(b"x" * 900) for _ in range(3)]
        self.assertEqual(len(paths), 3)
        for _ in range(2):
            answer = await self.request(b"x" * 900)
            self.assertEqual(answer.status, 200)

    async def test_count_is_limited(self):
        """If all kept requests are still running, another is refused as not run."""
        for _ in range(3):
            await self.start_request()
        answer = await self.request(b"hold", Prefer="respond-async")
        self.assertEqual(answer.status, 503)
        self.assertEqual(json_of(answer)["outcome"], "not-run")
        self.assertEqual(len(self.runner.submissions), 3)

    async def test_age_and_bytes_are_limited(self):
        """Results are dropped by age, and the oldest ones if the bytes are exceeded."""
        first = await self.start_request(b"a" * 600)
        second = await self.start_request(b"b" * 600)
        await self.request()
        self.assertEqual((await self.get_result(first)).status, 404)
        self.assertEqual((await self.get_result(second)).status, 200)
        self.clock.advance(11 * SECOND)
        self.assertEqual((await self.get_result(second)).status, 404)

    async def test_running_requests_are_not_dropped(self):
        """A full store drops a finished result, also if a running one is older."""
        running = await self.start_request()
        for _ in range(3):
            await self.start_request(b"x")
            await self.request()
        self.assertEqual((await self.get_result(running)).status, 202)


class TestHealth(CallerTestCase):
    """Tests of the health checks of the load balancer."""

    async def test_ready_follows_the_runner(self):
        """An entry that accepts no requests is alive, but not ready."""
        ready = await self.request(b"", "GET", "/readyz")
        self.runner.is_accepting = False
        not_ready = await self.request(b"", "GET", "/readyz")
        alive = await self.request(b"", "GET", "/healthz")
        statuses = (ready.status, not_ready.status, alive.status)
        self.assertEqual(statuses, (200, 503, 200))


class TestSecrecy(CallerTestCase):
    """Tests that keys do not appear in logs or answers."""

    async def test_key_is_neither_logged_nor_echoed(self):
        """No log record and no answer contains the key, whichever error occurs."""
        key = make_secret("k")
        errors = (None, UnauthorizedError("no"), RuntimeError("boom"))
        with self.assertLogs(level=logging.DEBUG) as logs:
            logging.getLogger().debug("start")
            for error in errors:
                self.runner.error = error
                for headers in ({}, {"Prefer": "wait=x"}, {"Prefer": "respond-async"}):
                    answer = await self.request(
                        b"x", Authorization=f"Bearer {key}", **headers
                    )
                    self.assertNotIn(key.encode(), answer.body)
                    self.assertNotIn(key, str(answer.headers))
        self.assertNotIn(key, "\n".join(logs.output))


if __name__ == "__main__":
    unittest.main()
