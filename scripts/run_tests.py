"""Run the test suite, then each known failure separately.

``KNOWN-RED.txt`` lists tests that fail because of a real fault which is not fixed yet.
These tests are left out of the suite, run one by one, and printed with their result, so
that no other test may fail. A listed test that passes is an error, since its entry has
to be removed.
"""

import argparse
import asyncio
import faulthandler
import gc
import os
import pathlib
import sys
import threading
import unittest
from datetime import timedelta

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
SUITE_TIMEOUT = timedelta(minutes=30)
FUZZ_TIMEOUT = timedelta(hours=12)
TIMED_OUT_STATUS = 3


class HangGuard:
    """Ends a run of tests that takes too long, and prints where it waits.

    Parameters
    ----------
    timeout : timedelta
        Longest time that the run may take.
    """

    def __init__(self, timeout: timedelta) -> None:
        self._timeout = timeout
        self._timer = threading.Timer(timeout.total_seconds(), self._end_run)
        self._timer.daemon = True
        self._test: unittest.TestCase | None = None

    def start(self) -> None:
        """Start to measure the time."""
        self._timer.start()

    def stop(self) -> None:
        """Let the run take any further time."""
        self._timer.cancel()

    def note_test(self, test: unittest.TestCase) -> None:
        """Record the test that runs now."""
        self._test = test

    def _end_run(self) -> None:
        """Print the stacks of all threads and tasks, and exit."""
        test_id = self._test.id() if self._test is not None else "no test"
        print(f"\nno end after {self._timeout}; now in {test_id}", file=sys.stderr)
        faulthandler.dump_traceback()
        for task in [obj for obj in gc.get_objects() if isinstance(obj, asyncio.Task)]:
            if not task.done():
                task.print_stack(file=sys.stderr)
        sys.stderr.flush()
        os._exit(TIMED_OUT_STATUS)


def read_known_red() -> dict[str, str]:
    """Return the entries of the known failures by test id."""
    entries = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            test_id = line.split("|")[0].strip()
            entries[test_id] = line
    return entries


def iter_tests(suite: unittest.TestSuite):
    """Yield each test case of a suite and its nested suites."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iter_tests(item)
        else:
            yield item


def run_known_red(tests: list[unittest.TestCase], entries: dict[str, str]) -> bool:
    """Run the listed tests and print each result; return False when one passes."""
    ok = True
    for test in tests:
        result = unittest.TestResult()
        test.run(result)
        if result.wasSuccessful():
            print(f"KNOWN RED now passes, remove its entry: {entries[test.id()]}")
            ok = False
        else:
            print(f"KNOWN RED still fails: {entries[test.id()]}")
    return ok


def new_result_class(guard: HangGuard) -> type[unittest.TextTestResult]:
    """Return a class of results that tells the guard which test runs."""

    class GuardedResult(unittest.TextTestResult):
        def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
            guard.note_test(test)
            super().startTest(test)

    return GuardedResult


def main() -> int:
    """Run the tests and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fuzz", action="store_true", help="run the long fuzzing")
    parser.add_argument("--seed", default="1", help="seed of the long fuzzing")
    parser.add_argument("pattern", nargs="?", default="test_*.py")
    args = parser.parse_args()
    if args.fuzz:
        os.environ["REDWINGSLIP_FUZZ_SEED"] = args.seed
        print(f"reproduce with: make fuzz SEED={args.seed}")
    entries = read_known_red()
    suite = unittest.TestLoader().discover(
        str(ROOT / "tests"), pattern=args.pattern, top_level_dir=str(ROOT)
    )
    tests = list(iter_tests(suite))
    known_red = [test for test in tests if test.id() in entries]
    missing = set(entries) - {test.id() for test in tests}
    others = unittest.TestSuite(test for test in tests if test.id() not in entries)
    guard = HangGuard(FUZZ_TIMEOUT if args.fuzz else SUITE_TIMEOUT)
    guard.start()
    runner = unittest.TextTestRunner(verbosity=1, resultclass=new_result_class(guard))
    result = runner.run(others)
    n_failed = len(result.failures) + len(result.errors)
    n_failed += len(result.unexpectedSuccesses)
    n_skipped = len(result.skipped)
    n_passed = result.testsRun - n_failed - n_skipped
    ok = result.wasSuccessful() and run_known_red(known_red, entries)
    guard.stop()
    if missing and args.pattern == "test_*.py":
        print(f"KNOWN-RED.txt names tests that do not exist: {sorted(missing)}")
        ok = False
    print(f"{n_passed} passed, {n_failed} failed, {n_skipped} skipped")
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
