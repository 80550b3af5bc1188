"""Tests of the runner of the test suite."""

import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
HUNG_RUN = """
import asyncio, unittest
from datetime import timedelta
from scripts import run_tests

class TestHung(unittest.IsolatedAsyncioTestCase):
    async def test_never_ends(self):
        await asyncio.Event().wait()

guard = run_tests.HangGuard(timedelta(seconds=0.2))
guard.start()
unittest.TextTestRunner(resultclass=run_tests.new_result_class(guard)).run(
    unittest.TestLoader().loadTestsFromTestCase(TestHung)
)
"""


class TestHangGuard(unittest.TestCase):
    """A test that never ends."""

    def test_hung_run_ends_and_names_the_test_and_its_line(self):
        """The run fails, and its output shows which test waits, and where."""
        done = subprocess.run(
            [sys.executable, "-c", HUNG_RUN],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        self.assertEqual(done.returncode, 3)
        self.assertIn("TestHung.test_never_ends", done.stderr)
        self.assertIn("in test_never_ends", done.stderr)


if __name__ == "__main__":
    unittest.main()
