"""Tests of the forecast of demand in turns; each test names the load that it covers."""

import random
import unittest

from msgspec.structs import replace

from redwingslip.jobs import Amounts, StepSpec
from redwingslip.placement import (
    ArrivalSettings,
    ArrivalTrend,
    DemandForecast,
    ForecastSettings,
    PoolLoad,
)
from redwingslip.placement import with_reserves as add_reserves

CFG = ForecastSettings(enabled=True)
# One such job per second keeps 4 cores busy.
STEPS = (StepSpec(n_tasks=4, need=Amounts(1000, 1), estimate_ms=1000),)
LEVEL = 40_000
TURN_MS = 4_500


def square_wave(pools, n_turns, *, rate=10, low_rate=0.5, begin_ms=10_000, seed=1):
    """Return the arrivals, as pairs of time and pool, of pools that rise in turn."""
    rng = random.Random(seed)
    arrivals = []
    for turn in range(n_turns):
        rising = pools[turn % len(pools)]
        for pool in pools:
            at_ms = begin_ms + turn * TURN_MS
            end_ms = at_ms + TURN_MS
            while at_ms < end_ms:
                arrivals.append((int(at_ms), pool))
                # Intervals vary by a half.
                at_ms += rng.uniform(500, 1500) / (rate if pool == rising else low_rate)
    return sorted(arrivals)


def make_forecast(arrivals, cfg=CFG, until_ms=None):
    """Return a forecast after the arrivals until a time."""
    forecast = DemandForecast(cfg)
    for at_ms, pool in arrivals:
        if until_ms is None or at_ms <= until_ms:
            forecast.record_job(pool, at_ms, STEPS)
    return forecast


def reserve_of(forecast, pool, now_ms, demand=0):
    """Return the standing reserve of a pool."""
    return forecast.standing_reserve(forecast.pool_forecast(pool, now_ms), demand)


class TestReserve(unittest.TestCase):
    """How much a pool keeps after a rise."""

    def test_a_pool_keeps_a_share_of_its_last_rise(self):
        """Guards against pools that start each rise empty."""
        forecast = make_forecast(square_wave(["p"], 1))
        self.assertAlmostEqual(
            reserve_of(forecast, "p", 17_000), 0.7 * LEVEL, delta=0.15 * LEVEL
        )

    def test_a_pool_at_its_peak_keeps_no_more(self):
        forecast = make_forecast(square_wave(["p"], 1))
        self.assertEqual(reserve_of(forecast, "p", 14_000, demand=LEVEL), 0)

    def test_a_share_of_0_keeps_nothing(self):
        cfg = ForecastSettings(enabled=True, reserve_share=0)
        forecast = make_forecast(square_wave(["p"], 1), cfg)
        self.assertEqual(reserve_of(forecast, "p", 17_000), 0)

    def test_a_single_peak_that_does_not_return_is_forgotten(self):
        """The reserve halves with each decay time, and ends with `max_age`."""
        forecast = make_forecast(square_wave(["p"], 1))
        first = reserve_of(forecast, "p", 17_000)
        later = reserve_of(forecast, "p", 17_000 + 30_000)
        self.assertAlmostEqual(later, first / 2, delta=0.02 * LEVEL)
        self.assertEqual(reserve_of(forecast, "p", 17_000 + 121_000), 0)

    def test_a_steady_load_keeps_no_reserve(self):
        """Guards against machines kept for the noise of random arrivals."""
        for seed in range(5):
            rng = random.Random(seed)
            forecast = DemandForecast(CFG)
            trend = ArrivalTrend(ArrivalSettings())
            reserves = []
            at_ms = 10_000.0
            while at_ms < 70_000:
                forecast.record_job("p", int(at_ms), STEPS)
                trend.record_job("p", int(at_ms), STEPS)
                at_ms += rng.expovariate(10) * 1000
                if at_ms > 20_000:
                    # What runs is steadier than the arrivals.
                    demand = max(trend.expected_cpu("p", int(at_ms)), 3 * LEVEL // 4)
                    reserves.append(reserve_of(forecast, "p", int(at_ms), demand))
            self.assertLess(sum(map(bool, reserves)), 0.01 * len(reserves))

    def test_sparse_arrivals_are_no_rise(self):
        """Guards against reserves for a few jobs that happen to come together."""
        rng = random.Random(3)
        forecast = DemandForecast(CFG)
        at_ms = 10_000.0
        while at_ms < 130_000:
            forecast.record_job("p", int(at_ms), STEPS)
            at_ms += rng.expovariate(0.5) * 1000
        self.assertIsNone(forecast.last_rise("p"))

    def test_jobs_without_short_tasks_cause_no_reserve(self):
        forecast = DemandForecast(CFG)
        step = StepSpec(n_tasks=4, need=Amounts(1000, 1), is_long_running=True)
        for at_ms in range(10_000, 12_000, 100):
            forecast.record_job("p", at_ms, (step,))
        self.assertEqual(reserve_of(forecast, "p", 16_000), 0)


class TestRise(unittest.TestCase):
    """What is ordered while a rise is under way."""

    def test_a_rise_is_expected_to_reach_the_level_of_earlier_ones(self):
        arrivals = square_wave(["p", "q"], 5)
        forecast = make_forecast(arrivals, until_ms=28_400)
        forecast = forecast.pool_forecast("p", 28_400)
        self.assertAlmostEqual(forecast.heading, LEVEL, delta=0.25 * LEVEL)
        self.assertLess(forecast.level, 0.6 * LEVEL)

    def test_the_first_rise_follows_its_own_trend(self):
        arrivals = square_wave(["p"], 1)
        forecast = make_forecast(arrivals, until_ms=10_400).pool_forecast("p", 10_400)
        self.assertGreater(forecast.heading, 1.4 * forecast.level)

    def test_a_demand_that_outgrows_the_forecast_is_followed(self):
        """Guards against a forecast that limits what a pool gets."""
        calm = square_wave(["p"], 1)
        strong = square_wave(["p"], 1, rate=40, begin_ms=20_000)
        forecast = make_forecast([*calm, *strong], until_ms=21_000)
        heading = forecast.pool_forecast("p", 21_000).heading
        self.assertGreater(heading, 3 * LEVEL)

    def test_a_rise_that_is_over_heads_nowhere(self):
        forecast = make_forecast(square_wave(["p"], 1))
        self.assertEqual(forecast.pool_forecast("p", 17_000).heading, 0)

    def test_rises_are_not_anticipated_unless_set(self):
        cfg = ForecastSettings(enabled=True, anticipate_rises=False)
        forecast = make_forecast(square_wave(["p"], 1), cfg, until_ms=10_500)
        self.assertEqual(forecast.pool_forecast("p", 10_500).heading, 0)


class TestTurns(unittest.TestCase):
    """Pools that rise one after the other."""

    POOLS = ("a", "b", "c", "d")

    def test_the_next_pool_gets_machines_before_its_rise(self):
        arrivals = square_wave(self.POOLS, 13)
        begin_ms = 10_000 + 13 * TURN_MS
        forecast = make_forecast(arrivals, until_ms=begin_ms - 1)
        prediction = forecast.pool_forecast("b", begin_ms - 1).prediction
        self.assertAlmostEqual(prediction.at_ms, begin_ms, delta=500)
        now_ms = begin_ms - 1_500
        forecast = make_forecast(arrivals, until_ms=now_ms)
        pool_forecast = forecast.pool_forecast("b", now_ms)
        imminent = forecast.imminent_reserve(pool_forecast, 0, now_ms)
        self.assertGreater(imminent, 0.6 * LEVEL)
        other = forecast.pool_forecast("d", now_ms)
        self.assertEqual(forecast.imminent_reserve(other, 0, now_ms), 0)

    def test_nothing_is_brought_long_before_the_rise(self):
        arrivals = square_wave(self.POOLS, 13)
        now_ms = 10_000 + 12 * TURN_MS
        forecast = make_forecast(arrivals, until_ms=now_ms)
        pool_forecast = forecast.pool_forecast("b", now_ms)
        self.assertEqual(forecast.imminent_reserve(pool_forecast, 0, now_ms), 0)

    def test_a_pattern_that_was_seen_once_predicts_nothing(self):
        """Guards against machines moved after a coincidence."""
        arrivals = square_wave(self.POOLS, 5)
        now_ms = 10_000 + 5 * TURN_MS - 500
        forecast = make_forecast(arrivals, until_ms=now_ms)
        self.assertIsNone(forecast.pool_forecast("b", now_ms).prediction)

    def test_a_predicted_rise_that_does_not_come_is_given_up(self):
        arrivals = square_wave(self.POOLS, 13)
        now_ms = 10_000 + 13 * TURN_MS + 1_500
        forecast = make_forecast(arrivals)
        pool_forecast = forecast.pool_forecast("b", now_ms)
        self.assertEqual(forecast.imminent_reserve(pool_forecast, 0, now_ms), 0)

    def test_rises_at_random_are_not_predicted(self):
        rng = random.Random(5)
        arrivals = []
        at_ms = 10_000
        for _ in range(8):
            wave = square_wave(["a"], 1, begin_ms=at_ms)
            arrivals += wave
            at_ms = wave[-1][0] + rng.randrange(2_000, 30_000)
        forecast = make_forecast(arrivals)
        self.assertIsNone(forecast.pool_forecast("a", arrivals[-1][0]).prediction)

    def test_a_cycle_is_not_predicted_unless_set(self):
        cfg = ForecastSettings(enabled=True, predict_cycles=False)
        forecast = make_forecast(square_wave(self.POOLS, 13), cfg)
        now_ms = 10_000 + 13 * TURN_MS
        self.assertIsNone(forecast.pool_forecast("b", now_ms).prediction)

    def test_a_new_leader_derives_the_same_forecast(self):
        """Guards against a forecast that depends on when it was asked for."""
        arrivals = square_wave(self.POOLS, 13)
        old = DemandForecast(CFG)
        for at_ms, pool in arrivals:
            old.record_job(pool, at_ms, STEPS)
            old.pool_forecast(pool, at_ms + 50)
        new = make_forecast(arrivals)
        now_ms = arrivals[-1][0] + 100
        for pool in self.POOLS:
            self.assertEqual(
                old.pool_forecast(pool, now_ms), new.pool_forecast(pool, now_ms)
            )


class TestWithReserves(unittest.TestCase):
    """The loads from which moves are planned."""

    def plan(self, forecast, now_ms, *loads):
        return [entry.load for entry in add_reserves(loads, forecast, now_ms)]

    def test_a_pool_without_demand_keeps_the_operators_machines(self):
        (load,) = self.plan(DemandForecast(CFG), 10_000, PoolLoad(pool="p"))
        self.assertTrue(load.is_initial)
        cfg = ForecastSettings(enabled=True, keep_initial=False)
        (load,) = self.plan(DemandForecast(cfg), 10_000, PoolLoad(pool="p"))
        self.assertFalse(load.is_initial)

    def test_the_first_rise_is_evidence_and_so_is_time(self):
        forecast = make_forecast([(10_000, "p")])
        (load,) = self.plan(forecast, 39_000, PoolLoad(pool="p"))
        self.assertTrue(load.is_initial)
        (load,) = self.plan(forecast, 41_000, PoolLoad(pool="p"))
        self.assertFalse(load.is_initial)
        forecast = make_forecast(square_wave(["p"], 1))
        (load,) = self.plan(forecast, 15_000, PoolLoad(pool="p"))
        self.assertFalse(load.is_initial)

    def test_long_running_tasks_are_kept_apart_from_the_forecast(self):
        forecast = make_forecast(square_wave(["p"], 1))
        load = PoolLoad(pool="p", used=20_000, non_preemptible=20_000, expected=20_000)
        (load,) = self.plan(forecast, 17_000, load)
        self.assertAlmostEqual(load.reserve, 0.7 * LEVEL, delta=0.15 * LEVEL)

    def test_a_backlog_is_not_firm_but_long_running_tasks_are(self):
        """Guards against late jobs that take the reserves of other pools."""
        forecast = make_forecast(square_wave(["p"], 1))
        load = PoolLoad(pool="p", used=20_000, waiting=900_000)
        (planned,) = self.plan(forecast, 17_000, load)
        self.assertAlmostEqual(planned.firm_demand, LEVEL, delta=0.3 * LEVEL)
        load = replace(load, waiting_long_running=500_000)
        (planned,) = self.plan(forecast, 17_000, load)
        self.assertGreater(planned.firm_demand, 500_000)
        (planned,) = self.plan(DemandForecast(CFG), 17_000, load)
        self.assertEqual(planned.firm_demand, 920_000, "no rise seen yet")

    def test_jobs_longer_than_the_forecast_looks_ahead_are_firm_as_a_whole(self):
        """Guards against pools with long jobs that can't take reserves of others."""
        forecast = DemandForecast(CFG)
        step = replace(STEPS[0], estimate_ms=10_000)
        for at_ms in range(10_000, 20_000, 100):
            forecast.record_job("p", at_ms, (step,))
        load = PoolLoad(pool="p", used=300_000, waiting=900_000)
        (planned,) = self.plan(forecast, 20_000, load)
        # The peak counts less its sampling error.
        self.assertAlmostEqual(planned.firm_demand, 9 * LEVEL, delta=LEVEL)

    def test_machines_rest_while_a_rise_elsewhere_is_near(self):
        """Guards against machines switched off just before they are needed."""
        arrivals = square_wave(("a", "b"), 7)
        now_ms = 10_000 + 7 * TURN_MS - 1_000
        forecast = make_forecast(arrivals, until_ms=now_ms)
        machines = tuple(f"m{n}" for n in range(30))
        calm = PoolLoad(pool="calm", vm_room=4000, idle=machines, resting=machines)
        (rising, kept) = self.plan(
            forecast, now_ms, PoolLoad(pool="b", room=8000, vm_room=4000), calm
        )
        self.assertGreater(rising.imminent, 0)
        self.assertLess(len(kept.resting), 25)
        standby = PoolLoad(pool="off", is_standby=True, idle=("s",) * 20)
        *_, kept = self.plan(
            forecast, now_ms, PoolLoad(pool="b", vm_room=4000), standby, calm
        )
        self.assertEqual(kept.resting, machines, "those switched off are enough")


if __name__ == "__main__":
    unittest.main()
