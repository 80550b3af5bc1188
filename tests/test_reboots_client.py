"""Tests of the platform's client against a platform that fails."""

import asyncio
import unittest
from datetime import timedelta

from redwingslip.reboots import (
    PlatformClient,
    PlatformSettings,
    PlatformUnavailableError,
)
from tests.support_http import RawServer, http_answer
from tests.support_odd import DEEP_BODY

SHORT = timedelta(milliseconds=200)


class TestPlatformClient(unittest.IsolatedAsyncioTestCase):
    """PlatformClient against a platform that fails."""

    async def test_unusable_answer_means_unavailable(self):
        """No answer, a truncated one, an error, no JSON or too deep: unavailable."""

        def script(answer):
            async def run(server, reader, writer):
                await server.read_request(reader)
                writer.write(answer)
                if not answer:
                    await asyncio.Event().wait()

            return run

        complete = http_answer(b'{"state":"running"}')
        for answer in (
            b"",
            complete[:-2],
            http_answer(b"", status=503),
            http_answer(b"x"),
            http_answer(DEEP_BODY),
        ):
            async with RawServer(script(answer)) as server:
                cfg = PlatformSettings(address=server.address, timeout=SHORT)
                client = PlatformClient(cfg)
                with (
                    self.subTest(answer[:80]),
                    self.assertRaises(PlatformUnavailableError),
                ):
                    await client.reboot("v1", "o1")
                await client.close()
                self.assertEqual(len(server.requests), 1)


if __name__ == "__main__":
    unittest.main()
