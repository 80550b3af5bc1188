"""Tests that one job which must start at once doesn't defer those due before it."""

import unittest

from tests.test_placement_overload import job, order


class TestPathBound(unittest.TestCase):
    """A job past its planned start, due after others that fit easily."""

    def test_a_job_that_is_deferred_leaves_the_others_in_time(self):
        """Guards against most jobs of a pool being deferred for one that is late.

        The others need a tenth of the capacity until they are due.
        """
        others = [job(f"j{i}", 20.0, due_ms=1000.0 + i) for i in range(50)]
        last = job("last", 400.0, due_ms=1500.0, path_ms=1490.0, credit=0.3)
        decided = order(*others, last, cores=10)
        deferred = {name for name, turn in decided.turns.items() if turn}
        self.assertLessEqual(deferred, {"last"})

    def test_jobs_given_up_in_vain_are_kept(self):
        """Guards against deferring jobs for one that is deferred after them."""
        poor = [job(f"p{i}", 100.0, due_ms=1000.0, credit=0.1) for i in range(20)]
        rich = [job(f"r{i}", 100.0, due_ms=1000.0, credit=2.0) for i in range(20)]
        last = job("last", 100.0, due_ms=1500.0, path_ms=1490.0, credit=1.0)
        decided = order(*poor, *rich, last, cores=10)
        deferred = {name for name, turn in decided.turns.items() if turn}
        self.assertLessEqual(deferred, {"last"})


if __name__ == "__main__":
    unittest.main()
