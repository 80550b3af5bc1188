"""Tests of the forecast of demand in turns; each test names the load that it covers."""

import random
import unittest
from datetime import timedelta

from msgspec.structs import replace

from redwingslip.jobs import Amounts, StepSpec
from redwingslip.placement import (
    ArrivalSettings,
    ArrivalTrend,
    DemandForecast,
    ForecastSettings,
    PoolLoad,
    with_reserves,
)

CFG = ForecastSettings(
    enabled=True, reserve_share=0.75, initial_hold=timedelta(seconds=30)
)
# One such job per second keeps 4 cores busy.
STEPS = (StepSpec(n_tasks=4, need=Amounts(1000, 1), estimate_ms=1000),)
LEVEL = 40_000
TURN_MS = 4_500
POOLS = ("a", "b", "c", "d")
# Four pools have risen three times each, and the first one a fourth time.
TURNS_END_MS = 10_000 + 13 * TURN_MS


def square_wave(pools, n_turns, *, rate=10, begin_ms=10_000):
    """Return the arrivals, as pairs of time and pool, of pools that rise in turn."""
    rng = random.Random(1)
    arrivals = []
    for turn in range(n_turns):
        for pool in pools:
            at_ms = begin_ms + turn * TURN_MS
            pool_rate = rate if pool == pools[turn % len(pools)] else 0.5
            while at_ms < begin_ms + (turn + 1) * TURN_MS:
                arrivals.append((int(at_ms), pool))
                # Intervals vary by a half.
                at_ms += rng.uniform(500, 1500) / pool_rate
    return sorted(arrivals)


def make_forecast(arrivals, cfg=CFG, until_ms=10**9, steps=STEPS):
    """Return a forecast after the arrivals until a time."""
    forecast = DemandForecast(cfg)
    for at_ms, pool in arrivals:
        if at_ms <= until_ms:
            forecast.record_job(pool, at_ms, steps)
    return forecast


def plan(forecast, now_ms, *loads):
    """Return the loads of pools with their reserves."""
    return [entry.load for entry in with_reserves(loads, forecast, now_ms)]


def reserve_of(forecast, now_ms, demand=0):
    """Return the standing reserve of pool p."""
    (load,) = plan(forecast, now_ms, PoolLoad(pool="p", used=demand))
    return load.reserve


class TestReserve(unittest.TestCase):
    """How much a pool keeps after a rise, which ends at 14.5 s."""

    def test_a_pool_keeps_a_share_of_its_last_rise_in_calm(self):
        """Guards against pools that start each rise empty."""
        forecast = make_forecast(square_wave(["p"], 1))
        reserve = reserve_of(forecast, 17_000)
        self.assertAlmostEqual(reserve, 0.7 * LEVEL, delta=0.15 * LEVEL)
        self.assertEqual(reserve_of(forecast, 14_000, demand=LEVEL), 0)
        forecast = make_forecast(square_wave(["p"], 1), replace(CFG, reserve_share=0))
        self.assertEqual(reserve_of(forecast, 17_000), 0)

    def test_jobs_that_can_wait_for_machines_need_no_reserve(self):
        """Guards against machines that idle for jobs with enough slack."""
        forecast = DemandForecast(CFG)
        arrivals = square_wave(["p"], 1)
        for at_ms, pool in arrivals:
            forecast.record_job(pool, at_ms, STEPS, slack_ms=2_500)
        self.assertEqual(reserve_of(forecast, 17_000), 0)
        half = DemandForecast(CFG)
        for at_ms, pool in arrivals:
            half.record_job(pool, at_ms, STEPS, slack_ms=1_250)
        self.assertAlmostEqual(
            reserve_of(half, 17_000),
            reserve_of(make_forecast(arrivals), 17_000) / 2,
            delta=0.01 * LEVEL,
        )

    def test_a_single_peak_that_does_not_return_is_forgotten(self):
        """The reserve halves with each decay time, and ends with `max_age`."""
        forecast = make_forecast(square_wave(["p"], 1))
        first = reserve_of(forecast, 17_000)
        later = reserve_of(forecast, 17_000 + 30_000)
        self.assertAlmostEqual(later, first / 2, delta=0.02 * LEVEL)
        self.assertEqual(reserve_of(forecast, 17_000 + 121_000), 0)

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
                    reserves.append(reserve_of(forecast, int(at_ms), demand))
            self.assertLess(sum(map(bool, reserves)), 0.01 * len(reserves))

    def test_sparse_arrivals_are_no_rise(self):
        """Guards against reserves for a few jobs that happen to come together."""
        rng = random.Random(3)
        times_ms = [10_000]
        while times_ms[-1] < 130_000:
            times_ms.append(times_ms[-1] + int(rng.expovariate(0.5) * 1000))
        forecast = make_forecast([(at_ms, "p") for at_ms in times_ms])
        self.assertIsNone(forecast.last_rise("p"))

    def test_a_pool_without_a_rise_keeps_the_operators_machines(self):
        """Guards against a first rise that finds an empty pool."""
        rise = make_forecast(square_wave(["p"], 1))
        single = make_forecast([(10_000, "p")])
        off = DemandForecast(replace(CFG, keep_initial=False))
        for forecast, now_ms, is_initial in (
            (DemandForecast(CFG), 10_000, True),
            (off, 10_000, False),
            (single, 39_000, True),
            (single, 41_000, False),
            (rise, 15_000, False),
        ):
            (load,) = plan(forecast, now_ms, PoolLoad(pool="p"))
            self.assertEqual(load.is_initial, is_initial)

    def test_long_running_tasks_are_kept_apart(self):
        forecast = make_forecast(square_wave(["p"], 1))
        load = PoolLoad(pool="p", used=20_000, non_preemptible=20_000, expected=20_000)
        (load,) = plan(forecast, 17_000, load)
        self.assertAlmostEqual(load.reserve, 0.7 * LEVEL, delta=0.15 * LEVEL)
        step = StepSpec(n_tasks=4, need=Amounts(1000, 1), is_long_running=True)
        forecast = make_forecast(square_wave(["p"], 1), steps=(step,))
        self.assertEqual(reserve_of(forecast, 17_000), 0)

    def test_a_backlog_is_not_firm_but_long_running_tasks_are(self):
        """Guards against late jobs that take the reserves of other pools."""
        forecast = make_forecast(square_wave(["p"], 1))
        load = PoolLoad(pool="p", used=20_000, waiting=900_000)
        (planned,) = plan(forecast, 17_000, load)
        self.assertAlmostEqual(planned.firm_demand, LEVEL, delta=0.3 * LEVEL)
        load = replace(load, waiting_long_running=500_000)
        (planned,) = plan(forecast, 17_000, load)
        self.assertGreater(planned.firm_demand, 500_000)
        (planned,) = plan(DemandForecast(CFG), 17_000, load)
        self.assertEqual(planned.firm_demand, 920_000, "no rise seen yet")

    def test_jobs_longer_than_the_forecast_looks_ahead_are_firm_as_a_whole(self):
        """Guards against pools with long jobs that can't take reserves of others."""
        arrivals = [(at_ms, "p") for at_ms in range(10_000, 20_000, 100)]
        long_steps = (replace(STEPS[0], estimate_ms=10_000),)
        forecast = make_forecast(arrivals, steps=long_steps)
        load = PoolLoad(pool="p", used=300_000, waiting=900_000)
        (planned,) = plan(forecast, 20_000, load)
        # The peak counts less its sampling error.
        self.assertAlmostEqual(planned.firm_demand, 9 * LEVEL, delta=LEVEL)


class TestRise(unittest.TestCase):
    """What is expected while a rise is under way."""

    def heading(self, now_ms, arrivals, cfg=CFG):
        forecast = make_forecast(arrivals, cfg, until_ms=now_ms)
        forecast = forecast.pool_forecast("p", now_ms)
        return forecast.heading, forecast.level

    def test_a_rise_is_expected_to_reach_the_level_of_earlier_ones(self):
        heading, level = self.heading(28_400, square_wave(["p", "q"], 5))
        self.assertAlmostEqual(heading, LEVEL, delta=0.25 * LEVEL)
        self.assertLess(level, 0.6 * LEVEL)

    def test_the_first_rise_follows_its_own_trend(self):
        heading, level = self.heading(10_400, square_wave(["p"], 1))
        self.assertGreater(heading, 1.4 * level)

    def test_a_demand_that_outgrows_the_forecast_is_followed(self):
        """Guards against a forecast that limits what a pool gets."""
        strong = square_wave(["p"], 1, rate=40, begin_ms=20_000)
        heading, _ = self.heading(21_000, [*square_wave(["p"], 1), *strong])
        self.assertGreater(heading, 3 * LEVEL)

    def test_a_rise_that_is_over_heads_nowhere_and_none_does_unless_set(self):
        wave = square_wave(["p"], 1)
        self.assertEqual(self.heading(17_000, wave)[0], 0)
        cfg = replace(CFG, anticipate_rises=False)
        self.assertEqual(self.heading(10_500, wave, cfg=cfg)[0], 0)


class TestTurns(unittest.TestCase):
    """Pools that rise one after the other; the next one is b, at `TURNS_END_MS`."""

    ARRIVALS = square_wave(POOLS, 13)

    def imminent(self, now_ms, cfg=CFG):
        forecast = make_forecast(self.ARRIVALS, cfg, until_ms=now_ms)
        loads = [PoolLoad(pool=pool) for pool in POOLS]
        return {load.pool: load.imminent for load in plan(forecast, now_ms, *loads)}

    def test_the_next_pool_gets_machines_before_its_rise_and_no_other(self):
        imminent = self.imminent(TURNS_END_MS - 1_500)
        self.assertGreater(imminent.pop("b"), 0.6 * LEVEL)
        self.assertEqual(set(imminent.values()), {0})

    def test_machines_come_neither_early_nor_for_a_rise_that_does_not_come(self):
        self.assertEqual(self.imminent(TURNS_END_MS - TURN_MS)["b"], 0)
        self.assertEqual(self.imminent(TURNS_END_MS + 1_500)["b"], 0)
        cfg = replace(CFG, predict_cycles=False)
        self.assertEqual(self.imminent(TURNS_END_MS - 1_500, cfg)["b"], 0)

    def test_a_new_leader_derives_the_same_forecast(self):
        """Guards against a forecast that depends on when it was asked for."""
        old = DemandForecast(CFG)
        for at_ms, pool in self.ARRIVALS:
            old.record_job(pool, at_ms, STEPS)
            old.pool_forecast(pool, at_ms + 50)
        new = make_forecast(self.ARRIVALS)
        for pool in POOLS:
            self.assertEqual(
                old.pool_forecast(pool, TURNS_END_MS),
                new.pool_forecast(pool, TURNS_END_MS),
            )

    def test_machines_rest_while_a_rise_elsewhere_is_near(self):
        """Guards against machines switched off just before they are needed."""
        now_ms = TURNS_END_MS - 1_000
        forecast = make_forecast(self.ARRIVALS, until_ms=now_ms)
        machines = tuple(f"m{n}" for n in range(6))
        calm = PoolLoad(pool="c", vm_room=4000, idle=machines, resting=machines)
        rising = PoolLoad(pool="b", room=8000, vm_room=4000)
        _, first, second = plan(forecast, now_ms, rising, calm, replace(calm, pool="d"))
        # The rise needs about 8 machines beyond the two that the pool has.
        self.assertEqual(first.resting, ())
        self.assertIn(len(second.resting), range(2, 6))
        standby = PoolLoad(pool="off", is_standby=True, idle=("s",) * 20)
        *_, kept = plan(forecast, now_ms, rising, standby, calm)
        self.assertEqual(kept.resting, machines, "those switched off are enough")


if __name__ == "__main__":
    unittest.main()
