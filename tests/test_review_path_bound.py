"""Tests that one job which must start at once doesn't defer those due before it."""

import cProfile
import pstats
import unittest

import msgspec

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

    def test_jobs_chosen_again_do_not_make_a_decision_slow(self):
        """Guards against a cost that grows with the square of the jobs.

        Every other job starts too late, and is worth more than half of the others.
        """
        n_calls = []
        for n_jobs in (300, 1200):
            jobs = [
                job(f"a{i}", 100.0, due_ms=3000.0, credit=0.1 + i * 37 % 100 / 1000)
                for i in range(n_jobs)
            ]
            jobs += [
                job(f"b{i}", 100.0, due_ms=3000.0, path_ms=2900.0, credit=0.15)
                for i in range(n_jobs)
            ]
            jobs.sort(key=lambda each: each.job_id[1:])
            jobs = [
                msgspec.structs.replace(each, due_ms=3000.0 + place / 1000)
                for place, each in enumerate(jobs)
            ]
            profile = cProfile.Profile()
            profile.runcall(order, *jobs, cores=100)
            n_calls.append(pstats.Stats(profile).total_calls)
        self.assertLess(n_calls[1], 6 * n_calls[0])


if __name__ == "__main__":
    unittest.main()
