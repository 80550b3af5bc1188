"""Tests of which jobs go first when a pool can't run all of them in time."""

import cProfile
import random
import unittest

from redwingslip.placement import (
    CapacityPlan,
    CompetingJob,
    LargeJobBudget,
    QueueWork,
    divide_by_weight,
    order_jobs,
)
from tests.support_overload import arrivals, credit_share, in_time_share, simulate

SEEDS = (1, 2, 3)


def job(job_id, waiting, *, due_ms=2000.0, customer="a", credit=1.0, **options):
    """Return a job that competes for a pool."""
    fields = {"priority": 0, "path_ms": 100.0} | options
    return CompetingJob(
        job_id=job_id,
        customer=customer,
        due_ms=due_ms,
        waiting=waiting,
        credit=credit,
        **fields,
    )


def order(*jobs, cores=10, busy=(), held=(), weights=(), **options):
    """Return the order of jobs in a pool."""
    return order_jobs(
        jobs,
        now_ms=0,
        capacity=CapacityPlan([(0.0, cores)], busy),
        held=dict(held),
        weights=dict(weights),
        **options,
    )


class TestCapacity(unittest.TestCase):
    """What is counted as capacity, and how customers divide it."""

    def test_runs_and_later_machines_count_from_their_times(self):
        """Guards against work planned on cores that runs still use."""
        plan = CapacityPlan([(0.0, 4.0), (1000.0, 6.0)], busy=[(500.0, 3.0)])
        for time_ms, work in ((0, 0), (500, 500), (1000, 2500), (2000, 12_500)):
            self.assertAlmostEqual(plan.work_by(time_ms), work)
            self.assertAlmostEqual(plan.time_for(work), time_ms)

    def test_a_pool_without_capacity_never_finishes(self):
        self.assertEqual(CapacityPlan([]).time_for(1.0), float("inf"))
        self.assertEqual(CapacityPlan([(0, 1)], [(100, 3)]).work_by(200), 100)

    def test_what_a_customer_leaves_goes_to_the_others_by_weight(self):
        parts = divide_by_weight(12, {"a": 9, "b": 9, "c": 1}, {"a": 2, "b": 1})
        for name, part in {"a": 22 / 3, "b": 11 / 3, "c": 1}.items():
            self.assertAlmostEqual(parts[name], part)


class TestOrder(unittest.TestCase):
    """Single decisions."""

    def test_without_contention_nothing_changes(self):
        """Guards against a new order of jobs that all finish in time."""
        result = order(job("x", 9000), job("y", 9000, customer="b"))
        self.assertEqual((result.turns, result.new_turns), ({}, {}))

    def test_the_job_with_the_least_credit_for_its_work_is_deferred(self):
        """Guards against many small jobs being late for a large one."""
        small = [job(f"s{n}", 1000, credit=0.4) for n in range(10)]
        result = order(job("large", 15_000, due_ms=1900.0, credit=2.0), *small)
        self.assertEqual(result.n_deferred, 1)
        self.assertGreater(result.turns["large"], 0)

    def test_a_job_that_can_not_finish_alone_defers_no_other(self):
        """Guards against jobs that make room for one that is late in any case."""
        small = [job(f"s{n}", 1000, credit=0.1, due_ms=1400.0) for n in range(5)]
        result = order(job("huge", 50_000, credit=100.0, due_ms=1500.0), *small)
        self.assertEqual(result.n_deferred, 1)
        self.assertGreater(result.turns["huge"], 0)

    def test_remaining_work_alone_counts_against_a_job(self):
        """Guards against a begun job losing its place to a new one of equal credit."""
        result = order(job("begun", 5000, credit=2.0), job("new", 16_000, credit=2.0))
        self.assertEqual(result.turns["begun"], 0)
        self.assertGreater(result.turns["new"], 0)
        nearly_done = job("begun", 5000, credit=0.1, is_kept=True)
        result = order(nearly_done, job("new", 16_000, credit=2.0))
        self.assertEqual(result.turns["begun"], 0)

    def test_a_customer_below_its_share_never_waits_for_one_above(self):
        """Guards against small customers getting as little as those that flood."""
        flood = [job(f"f{n}", 2000, credit=5.0) for n in range(50)]
        small = job("small", 4000, customer="b", credit=0.1, due_ms=2100.0)
        result = order(*flood, small, held={"a": 10})
        self.assertEqual(result.over, {"a"})
        self.assertEqual(result.turns["small"], 0)
        self.assertTrue(all(result.turns[each.job_id] > 1 for each in flood))
        self.assertGreater(result.new_turns["a"], 1)

    def test_deferred_jobs_go_by_share_and_then_by_worth(self):
        """Guards against jobs deferred by their due time, which are just too late."""
        flood = [job(f"f{n}", 2000, credit=1.0 + n) for n in range(30)]
        too_late = job("b", 100, customer="b", due_ms=300.0)
        result = order(*flood, too_late, held={"a": 10}, busy=[(400.0, 10.0)])
        self.assertEqual(result.turns["b"], 1)
        deferred = [result.turns[f"f{n}"] for n in range(result.n_deferred - 1)]
        self.assertEqual(deferred, sorted(deferred, reverse=True))

    def test_weights_divide_the_capacity(self):
        jobs = [job(f"{c}{n}", 1000, customer=c) for c in "ab" for n in range(40)]
        result = order(*jobs, weights={"a": 3.0})
        chosen = [j.customer for j in jobs if result.turns[j.job_id] < 3]
        self.assertAlmostEqual(chosen.count("a") / chosen.count("b"), 3, delta=0.5)

    def test_a_lower_priority_never_defers_a_higher_one(self):
        high = job("high", 15_000, credit=0.1)
        result = order(high, job("low", 15_000, priority=1, credit=9.0))
        self.assertEqual(result.turns["high"], 0)

    def test_large_jobs_are_paid_for_by_time(self):
        """Guards against large jobs that wait for as long as the contention lasts."""
        jobs = [job(f"l{n}", 8000, due_ms=1e6, is_large=True) for n in range(50)]
        budget, plan = LargeJobBudget(0.1), CapacityPlan([(0.0, 10.0)])
        seen = set()
        for now_ms in range(0, 40_000, 200):
            budget.update([j for j in jobs if j.job_id not in seen], plan, now_ms)
            seen |= budget.protected
        self.assertAlmostEqual(len(seen) * 8000 / (10 * 40_000), 0.1, delta=0.03)

    def test_the_largest_tenth_of_a_queue(self):
        queue = QueueWork()
        for work in [100.0] * 500 + [*range(1, 201)]:
            queue.record(work)
        self.assertEqual([queue.is_large(w) for w in (180, 181)], [False, True])
        self.assertAlmostEqual(queue.credit(100.5), 1.0)
        equal = QueueWork()
        equal.record(5.0)
        self.assertFalse(equal.is_large(5.0))

    def test_the_cost_of_a_decision_grows_with_the_jobs_only(self):
        """Guards against late rounds: about 10 ms for 3,000 jobs of any customers."""
        for n_customers in (3, 300):
            rng = random.Random(1)
            jobs = [
                job(
                    str(number),
                    rng.uniform(100, 9000),
                    due_ms=rng.uniform(500, 5000),
                    customer=f"c{rng.randrange(n_customers)}",
                    credit=rng.uniform(0.3, 3),
                )
                for number in range(3000)
            ]
            profile = cProfile.Profile()
            profile.runcall(order, *jobs, cores=100)
            n_calls = sum(entry.callcount for entry in profile.getstats())
            self.assertLess(n_calls / len(jobs), 30)


class TestLoads(unittest.TestCase):
    """Loads above the capacity, each with and without the order, with three seeds."""

    def compare(self, make_jobs, measure, n_slots=lambda now: 40):
        """Return the mean of a measure without and with the order."""
        sums = [0.0, 0.0]
        for seed in SEEDS:
            for is_ordered in (False, True):
                jobs = simulate(make_jobs(seed), n_slots=n_slots, is_ordered=is_ordered)
                sums[is_ordered] += measure(jobs) / len(SEEDS)
        return sums

    def test_two_customers_at_eight_times_their_load(self):
        """Guards against small customers losing their jobs to a flood of others."""
        rates = {"a": 160, "b": 160, "c": 3, "d": 3}

        def small(jobs):
            return in_time_share(job for job in jobs if job.customer in "cd")

        before, after = self.compare(
            lambda seed: arrivals(rates, until_ms=8000, seed=seed), small
        )
        self.assertLess(before, 0.25)
        self.assertGreater(after, 0.8)

    def test_five_times_the_capacity_for_five_seconds(self):
        """Guards against running jobs that are just too late, and a slow recovery."""

        def make_jobs(seed):
            rise = arrivals({"a": 200}, from_ms=2000, until_ms=7000, seed=seed)
            steady = arrivals({"a": 20}, until_ms=14_000, seed=seed + 10)
            return rise + steady

        before, after = self.compare(make_jobs, credit_share)
        self.assertGreater(after, 1.3 * before)
        _, recovered = self.compare(
            make_jobs, lambda jobs: in_time_share(j for j in jobs if j.at_ms >= 10_000)
        )
        self.assertGreater(recovered, 0.9)

    def test_a_burst_of_large_jobs_before_quick_ones(self):
        """Guards against quick jobs that are late behind a burst of large ones."""

        def make_jobs(seed):
            quick = arrivals({"a": 25}, until_ms=6000, seed=seed)
            large = arrivals({"b": 600}, from_ms=1000, until_ms=1300, seed=seed)
            return quick + large

        def quick_share(jobs):
            return in_time_share(job for job in jobs if job.customer == "a")

        before, after = self.compare(make_jobs, quick_share)
        self.assertGreater(after, before + 0.1)

    def test_capacity_that_comes_back(self):
        """Guards against jobs that stay deferred when there is room for them again."""

        def make_jobs(seed):
            return arrivals({"a": 15, "b": 15}, until_ms=10_000, seed=seed)

        before, after = self.compare(
            make_jobs,
            lambda jobs: in_time_share(j for j in jobs if j.at_ms > 5000),
            n_slots=lambda now: 10 if 1000 <= now < 4000 else 40,
        )
        self.assertGreater(after, 0.9)
        self.assertGreaterEqual(after, before)

    def test_a_load_below_the_capacity(self):
        """Guards against a worse result where all jobs can finish in time."""
        before, after = self.compare(
            lambda seed: arrivals({"a": 10, "b": 10}, until_ms=8000, seed=seed),
            credit_share,
        )
        self.assertGreaterEqual(after, before - 0.005)


if __name__ == "__main__":
    unittest.main()
