"""Tests of which jobs a full pool can plan, and of what they must be worth."""

import unittest

from redwingslip.placement import (
    BidPrice,
    CapacityPlan,
    DemandProfile,
    JobOrder,
    PoolOutlook,
)
from tests.support_overload import arrivals, credit_share, in_time_share, simulate
from tests.test_placement_admission import N_SLOTS, Gate
from tests.test_placement_overload import job

SEEDS = (1, 2, 3)


class PriceGate(Gate):
    """A gate that also refuses what accepted jobs would miss their deadlines for."""

    is_planning = True

    def __init__(self):
        super().__init__()
        self.price = BidPrice(1500.0, 0)

    def __call__(self, job, active, order, now_ms):
        """Return whether a job is accepted."""
        competing = job.competing(now_ms)
        self.price.record(competing, now_ms)
        return super().__call__(job, active, order, now_ms)

    def options(self, now_ms):
        """Return what the outlook knows besides the jobs."""
        return {"price": self.price.price(N_SLOTS, now_ms)}


class TestDemandProfile(unittest.TestCase):
    """Work that is due against capacity."""

    def test_a_job_must_leave_time_for_those_due_later(self):
        """Guards against urgent jobs that make accepted ones late."""
        jobs = [job("late", 18_000, due_ms=2000.0)]
        profile = DemandProfile(jobs, CapacityPlan([(0.0, 10.0)]), 0)
        self.assertTrue(profile.fits(job("new", 2000, due_ms=500.0)))
        self.assertFalse(profile.fits(job("new", 2001, due_ms=500.0)))
        self.assertTrue(profile.fits(job("new", 4000, due_ms=2500.0)))
        profile.add(job("new", 2000, due_ms=500.0))
        self.assertFalse(profile.fits(job("next", 1, due_ms=1000.0)))

    def test_jobs_due_in_the_past_and_in_the_far_future_count(self):
        """Guards against due times beyond the plan that end the decision."""
        jobs = [job("a", 1000, due_ms=-5.0), job("b", 1000, due_ms=1e9)]
        profile = DemandProfile(jobs, CapacityPlan([(0.0, 1.0)]), 0)
        self.assertFalse(profile.fits(job("new", 1, due_ms=-5.0)))
        self.assertTrue(profile.fits(job("new", 17_000, due_ms=1e9)))


class TestBidPrice(unittest.TestCase):
    """What a job must be worth for its work."""

    def test_the_price_is_that_of_the_last_job_that_fits(self):
        price = BidPrice(1000.0, 0)
        for number, credit in enumerate((4.0, 1.0, 3.0, 2.0)):
            price.record(job(f"{number}", 1000, credit=credit), 1000)
        self.assertEqual(price.price(2.5, 1000), 2 / 1000)
        self.assertEqual(price.price(4.0, 1000), 0.0)

    def test_old_arrivals_and_repeats_do_not_count(self):
        """Guards against callers that raise the price by asking again."""
        price = BidPrice(1000.0, 0)
        for _ in range(9):
            price.record(job("again", 1000), 1000)
        self.assertEqual(price.price(1.5, 1000), 0.0)
        price.record(job("other", 1000), 1500)
        self.assertGreater(price.price(1.5, 1500), 0.0)
        self.assertEqual(price.price(1.5, 2001), 0.0)


class TestOutlook(unittest.TestCase):
    """Single decisions."""

    def outlook(self, jobs, price, shares=None):
        """Return the outlook of a pool with ten cores."""
        order = JobOrder(
            n_deferred=1,
            over=frozenset({"a"}),
            entitlements=shares or {"a": 10.0},
            demands={"a": 20.0},
        )
        return PoolOutlook(
            jobs,
            order,
            now_ms=0,
            capacity=CapacityPlan([(0.0, 10.0)]),
            limits={},
            large_share=0.1,
            price=price,
        )

    def test_refusals_name_their_cause(self):
        pool = self.outlook([job("x", 15_000)], 2e-4)
        for new, cause in (
            (job("dear", 6000, credit=6.0), "deadline"),
            (job("cheap", 6000), "price"),
            (job("fits", 4000), None),
            (job("other", 6000, customer="b"), None),
        ):
            with self.subTest(new=new.job_id):
                refusal = pool.judge(new, expiry_ms=9000.0, now_ms=0)
                self.assertEqual(refusal and refusal.cause, cause)

    def test_a_customer_is_over_its_share_before_the_next_decision(self):
        """Guards against a customer that sends many jobs between two decisions."""
        pool = self.outlook([job("x", 15_000)], 0.0, {"a": 8.0, "b": 2.0})
        pool._demands["b"] = 0.0
        accepted = 0
        for number in range(9):
            new = job(f"n{number}", 3000, customer="b")
            if pool.judge(new, expiry_ms=9000.0, now_ms=0) is None:
                pool.note_accepted(new)
                accepted += 1
        self.assertEqual(accepted, 2)


class TestLoads(unittest.TestCase):
    """Loads of several times the capacity."""

    def run_load(self, cores, gate, seed):
        """Run two customers with a load beside small ones; return the jobs."""
        rates = {"a": cores, "b": cores, "c": 3, "d": 3}
        jobs = arrivals(rates, until_ms=8000, seed=seed)
        return simulate(jobs, n_slots=lambda now: N_SLOTS, is_ordered=True, admit=gate)

    def test_what_cannot_be_in_time_is_refused_at_once(self):
        """Guards against accepted jobs that end too late under contention.

        The goal is that four fifths of what is accepted ends in time.
        """
        for cores in (40, 80, 160):
            accepted, small, gain = [], [], 0.0
            for seed in SEEDS:
                gate = PriceGate()
                jobs = self.run_load(cores, gate, seed)
                refused = {job.job_id for job in gate.refused}
                accepted += [job for job in jobs if job.job_id not in refused]
                small += [job for job in jobs if job.customer in "cd"]
                gain += credit_share(jobs)
                gain -= credit_share(self.run_load(cores, None, seed))
            with self.subTest(cores=cores):
                self.assertGreater(in_time_share(accepted), 0.8)
                self.assertGreater(in_time_share(small), 0.9)
                self.assertGreater(gain / len(SEEDS), -0.02)

    def test_the_pool_serves_in_time_what_it_can_hold(self):
        """Guards against refusals that leave capacity unused.

        The goal is four fifths of the work that the slots can do.
        """
        for cores in (80, 160):
            shares = []
            for seed in SEEDS:
                jobs = self.run_load(cores, PriceGate(), seed)
                done = sum(job.work for job in jobs if job.is_in_time)
                shares.append(done / (N_SLOTS * 8000))
            with self.subTest(cores=cores):
                self.assertGreater(sum(shares) / len(SEEDS), 0.8)

    def test_the_load_ends(self):
        """Guards against refusals, and late jobs, after the load has gone."""
        rise = arrivals({"a": 200}, from_ms=1000, until_ms=6000, seed=1)
        steady = arrivals({"a": 20}, until_ms=14_000, seed=2)
        gate = PriceGate()
        jobs = simulate(
            rise + steady, n_slots=lambda now: N_SLOTS, is_ordered=True, admit=gate
        )
        later = [job for job in jobs if job.at_ms >= 9000]
        self.assertGreater(in_time_share(later), 0.9)


if __name__ == "__main__":
    unittest.main()
