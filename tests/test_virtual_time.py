"""Tests of the test cases on virtual time."""

import asyncio
import time
import unittest

from tests.support_virtual_time import VirtualLoop, VirtualTimeTestCase


class TestVirtualTimeTestCase(unittest.TestCase):
    """The coroutines of a test run on virtual time, those of others do not."""

    def run_case(self, test):
        """Run a coroutine function as a test; return the result."""

        class Case(VirtualTimeTestCase):
            async def test(self):
                await test()

        result = unittest.TestResult()
        Case("test").run(result)
        return result

    def test_a_busy_process_takes_no_time_of_a_timeout(self):
        """Guards against tests that fail on a busy machine."""

        async def test():
            async with asyncio.timeout(0.02):
                time.sleep(0.03)  # noqa: ASYNC251
                await asyncio.sleep(0.01)

        self.assertTrue(self.run_case(test).wasSuccessful())

    def test_the_policy_is_restored(self):
        """Guards against tests with sockets that run on virtual time."""

        async def test():
            self.assertIsInstance(asyncio.get_running_loop(), VirtualLoop)

        before = asyncio.get_event_loop_policy()
        self.assertTrue(self.run_case(test).wasSuccessful())
        self.assertIs(asyncio.get_event_loop_policy(), before)

    def test_a_deadlock_fails(self):
        """Guards against a test that hangs."""

        async def test():
            await asyncio.Event().wait()

        errors = self.run_case(test).errors
        self.assertIn("deadlock", errors[0][1])


if __name__ == "__main__":
    unittest.main()
