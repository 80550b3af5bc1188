"""Tests of the errors of calls: whether the work may have run."""

import unittest

from redwingslip.endpoints import (
    EndpointClient,
    EndpointOutcomeUnknownError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from redwingslip.http import ClientLimits
from tests.support_endpoints import make_call
from tests.support_http import RawServer, http_answer
from tests.support_odd import with_deep_field

PROBLEM = "Content-Type: application/problem+json"
NOT_RUN = b'{"status":409,"title":"x","outcome":"not-run"}'
UNKNOWN = b'{"status":409,"title":"x","outcome":"unknown"}'


class TestCall(unittest.IsolatedAsyncioTestCase):
    """Tests of `EndpointClient.call`."""

    async def asyncSetUp(self):
        """Create a client."""
        self.client = EndpointClient(ClientLimits())
        self.addAsyncCleanup(self.client.close)

    async def answer_to(self, answer, **changes):
        """Call a server that sends `answer`; return the outcome and the server."""

        async def script(server, reader, writer):
            await server.read_request(reader)
            writer.write(answer)
            await writer.drain()

        async with RawServer(script) as server:
            try:
                outcome = await self.client.call(make_call(server.address, **changes))
            except Exception as exc:
                outcome = exc
        return outcome, server

    async def test_headers_describe_the_permit(self):
        """The headers hold the permit, team, fencing token, latest start and lease."""
        _, server = await self.answer_to(http_answer(b"ok"), incarnation="i9")
        ((head, body),) = server.requests
        self.assertEqual(body, b"x")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (
                line.partition(":") for line in head.decode().split("\r\n")
            )
        }
        self.assertEqual(headers["redwingslip-permit"], "p1")
        self.assertEqual(headers["redwingslip-request"], "r1")
        self.assertEqual(headers["redwingslip-team"], "smiths")
        self.assertEqual(headers["redwingslip-fencing-token"], "5")
        self.assertEqual(headers["redwingslip-incarnation"], "i9")
        self.assertEqual(headers["redwingslip-lease"], "30.000000")
        self.assertGreater(float(headers["redwingslip-start-by"]), 0)

    async def test_complete_answers_are_returned(self):
        """Any complete answer that is not a refusal is returned, also an error."""
        cases = (
            (http_answer(b"ok", headers=["Content-Type: a/b"]), 200, b"ok"),
            (http_answer(b"no", status=500), 500, b"no"),
            (http_answer(b"busy", status=503), 503, b"busy"),
            (http_answer(UNKNOWN, status=409, headers=[PROBLEM]), 409, UNKNOWN),
            (http_answer(NOT_RUN, status=400, headers=[PROBLEM]), 400, NOT_RUN),
            (http_answer(b"{", status=409, headers=[PROBLEM]), 409, b"{"),
        )
        for answer, status, body in cases:
            with self.subTest(answer=answer):
                got, _ = await self.answer_to(answer)
                self.assertEqual((got.status, got.body), (status, body))

    async def test_refusal_by_the_endpoint(self):
        """A problem document with outcome not-run raises `EndpointRefusedError`."""
        for status in (409, 412, 503):
            answer = http_answer(NOT_RUN, status=status, headers=[PROBLEM])
            got, _ = await self.answer_to(answer)
            self.assertIsInstance(got, EndpointRefusedError)

    async def test_refusal_nested_too_deeply_is_an_answer(self):
        """Guards against a call that ends by a body which can't be decoded."""
        body = with_deep_field(NOT_RUN)
        answer, _ = await self.answer_to(
            http_answer(body, status=409, headers=[PROBLEM])
        )
        self.assertEqual((answer.status, answer.body), (409, body))

    async def test_answer_under_another_permit(self):
        """An answer that names another permit is not returned."""
        answer = http_answer(b"ok", headers=["Redwingslip-Permit: p2"])
        got, _ = await self.answer_to(answer)
        self.assertIsInstance(got, EndpointOutcomeUnknownError)

    async def test_truncated_answer(self):
        """After a truncated answer the outcome is unknown, and no call is resent."""
        got, server = await self.answer_to(http_answer(b"answer")[:-1])
        self.assertIsInstance(got, EndpointOutcomeUnknownError)
        self.assertEqual(len(server.requests), 1)

    async def test_refused_connection(self):
        """If no connection can be made, nothing was sent."""
        _, server = await self.answer_to(http_answer(b"ok"))
        with self.assertRaises(EndpointUnreachableError):
            await self.client.call(make_call(server.address))


if __name__ == "__main__":
    unittest.main()
