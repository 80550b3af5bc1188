"""Tests of the refusal of jobs that would end too late to be of use."""

import unittest

from redwingslip.placement import (
    CapacityPlan,
    JobOrder,
    PoolOutlook,
    order_jobs,
    spread_retry,
)
from tests.support_overload import arrivals, in_time_share, simulate
from tests.test_placement_overload import job

N_SLOTS = 40


def outlook(jobs, order, *, cores=10.0, later=(), limits=None):
    """Return the outlook of a pool."""
    return PoolOutlook(
        jobs,
        order,
        now_ms=0,
        capacity=CapacityPlan([(0.0, cores), *later]),
        limits=limits or {},
        large_share=0.1,
    )


def ordered(jobs, *, cores=10.0):
    """Return the outlook of a pool whose jobs are ordered."""
    capacity = CapacityPlan([(0.0, cores)])
    order = order_jobs(jobs, now_ms=0, capacity=capacity, held={"a": cores}, weights={})
    return outlook(jobs, order, cores=cores)


class Gate:
    """Decides on the arrivals of a simulation, as the leader does."""

    is_planning = False

    def __init__(self):
        self.outlook, self.order = None, JobOrder()
        self.refused = []

    def __call__(self, job, active, order, now_ms):
        """Return whether a job is accepted."""
        if order is not self.order:
            competing = [c for each in active if (c := each.competing(now_ms))]
            busy = [
                (end - now_ms, 1.0)
                for each in active
                for end in each.running_ends(now_ms)
            ]
            self.order, self.outlook = order, None
            if order.n_deferred or self.is_planning:
                capacity = CapacityPlan([(0.0, N_SLOTS)], busy)
                self.outlook = PoolOutlook(
                    competing,
                    order,
                    now_ms=now_ms,
                    capacity=capacity,
                    limits={},
                    large_share=0.1,
                    **self.options(now_ms),
                )
        if self.outlook is None:
            return True
        competing = job.competing(now_ms)
        if self.outlook.judge(competing, expiry_ms=job.expiry_ms, now_ms=now_ms):
            self.refused.append(job)
            return False
        self.outlook.note_accepted(competing)
        return True

    def options(self, now_ms):
        """Return what the outlook knows besides the jobs."""
        return {}


class TestOutlook(unittest.TestCase):
    """Single decisions about jobs that arrive."""

    def judge(self, pool, new, *, expiry_ms=6000.0, now_ms=0):
        """Return the refusal of a job, or None."""
        return pool.judge(new, expiry_ms=expiry_ms, now_ms=now_ms)

    def test_only_jobs_that_end_after_their_expiry_are_refused(self):
        """Guards against refusing late jobs, which still have some value."""
        pool = outlook([job(f"x{n}", 5000) for n in range(10)], None)
        new = job("new", 5000, due_ms=2100.0)
        self.assertIsNone(self.judge(pool, new))
        refusal = self.judge(pool, new, expiry_ms=5000.0)
        self.assertEqual((refusal.cause, refusal.ahead), ("capacity", 50_000))
        self.assertEqual(refusal.wait_ms, 5000)
        self.assertIsNone(self.judge(pool, new, expiry_ms=5500.0, now_ms=600))

    def test_machines_on_their_way_count(self):
        jobs = [job(f"x{n}", 5000) for n in range(10)]
        pool = outlook(jobs, None, later=[(2500.0, 20.0)])
        new = job("new", 5000, due_ms=2100.0)
        self.assertIsNone(self.judge(pool, new, expiry_ms=5000.0))

    def test_jobs_accepted_since_the_decision_count(self):
        """Guards against accepting any number of jobs between two decisions."""
        pool = outlook([], None)
        new = job("new", 20_000)
        for _ in range(2):
            self.assertIsNone(self.judge(pool, new, expiry_ms=5000.0))
            pool.note_accepted(new)
        late = job("new", 20_000, due_ms=2001.0)
        self.assertIsNotNone(self.judge(pool, late, expiry_ms=5000.0))

    def test_a_customer_within_its_share_is_not_refused(self):
        """Guards against refusing small customers for what others ask for."""
        pool = ordered([job(f"x{n}", 5000) for n in range(40)])
        self.assertIsNotNone(self.judge(pool, job("new", 9000)))
        self.assertIsNone(self.judge(pool, job("new", 9000, customer="b")))

    def test_a_nearly_done_job_gives_way_to_none(self):
        jobs = [job(f"x{n}", 5000, credit=0.1, is_kept=True) for n in range(40)]
        self.assertIsNotNone(self.judge(ordered(jobs), job("new", 100)))

    def test_a_job_that_others_give_way_to_is_accepted(self):
        """Guards against refusing quick jobs behind a burst of large ones."""
        pool = ordered([job(f"x{n}", 5000) for n in range(40)])
        self.assertIsNone(self.judge(pool, job("quick", 100)))

    def test_large_jobs_are_accepted_at_a_reduced_rate(self):
        """Guards against refusing all large jobs for as long as contention lasts."""
        pool = ordered([job(f"x{n}", 1000) for n in range(200)])
        large = job("large", 8000, credit=2.0, is_large=True)
        self.assertIsNone(self.judge(pool, large))
        pool.note_accepted(large)
        self.assertIsNotNone(self.judge(pool, large))

    def test_work_beyond_a_limit_takes_no_room_from_others(self):
        """Guards against refusals for jobs that their customer's limit holds back."""
        jobs = [job(f"x{n}", 5000, customer="limited") for n in range(40)]
        new = job("new", 5000, due_ms=2100.0)
        self.assertIsNotNone(self.judge(outlook(jobs, None), new))
        pool = outlook(jobs, None, limits={"limited": 2.0})
        self.assertIsNone(self.judge(pool, new))

    def test_callers_return_spread_over_some_time(self):
        """Guards against refused callers that all come back in the same second."""
        seconds = [spread_retry(f"{n}", 8000, max_ms=30_000) for n in range(300)]
        self.assertEqual((min(seconds), max(seconds)), (8, 12))
        self.assertEqual(spread_retry("x", 1e9, max_ms=30_000), 30)
        self.assertGreaterEqual(spread_retry("x", 0.0, max_ms=30_000), 1)


class TestLoads(unittest.TestCase):
    """Refusals under loads above the capacity."""

    def test_two_customers_at_eight_times_their_load(self):
        """Guards against refusals that cost callers in time, or small customers."""
        rates = {"a": 160, "b": 160, "c": 3, "d": 3}

        def run(gate):
            jobs = arrivals(rates, until_ms=8000, seed=1)
            return simulate(
                jobs, n_slots=lambda now: N_SLOTS, is_ordered=True, admit=gate
            )

        gate = Gate()
        jobs, all_accepted = run(gate), run(None)
        self.assertGreater(len(gate.refused), 0.05 * len(jobs))
        self.assertEqual({job.customer for job in gate.refused}, {"a", "b"})
        self.assertGreater(in_time_share(jobs), in_time_share(all_accepted) - 0.02)

    def test_a_rise_and_its_end(self):
        """Guards against refusals that go on when the load has gone."""
        rise = arrivals({"a": 200}, from_ms=1000, until_ms=6000, seed=1)
        steady = arrivals({"a": 20}, until_ms=14_000, seed=2)
        gate = Gate()
        simulate(
            rise + steady, n_slots=lambda now: N_SLOTS, is_ordered=True, admit=gate
        )
        self.assertTrue(gate.refused)
        self.assertLess(max(job.at_ms for job in gate.refused), 9000)


if __name__ == "__main__":
    unittest.main()
