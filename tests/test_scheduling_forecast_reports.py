"""Tests of moves for reserves, of their reports, and of changes of leader."""

import asyncio
import pathlib
import unittest
from datetime import timedelta
from unittest import mock

from redwingslip.daemons import ControllerSettings
from redwingslip.jobs import RecordMove, SubmitJob
from redwingslip.observe import EventName
from redwingslip.placement import (
    ArrivalSettings,
    ArrivalTrend,
    DemandForecast,
    ForecastLoad,
    ForecastSettings,
    PoolForecast,
    PoolLoad,
    RisePrediction,
)
from redwingslip.scheduling import LeaderPolicy, MachineRegistry, MoveManager, Scheduler
from redwingslip.scheduling._forecast_reports import ForecastReports
from redwingslip.settings import InvalidSettingsError, parse_settings
from tests.support_scheduling import (
    FakeEndpoint,
    FakePlatform,
    FakeTerm,
    eventually,
    make_job,
    make_state,
    make_vm,
)
from tests.test_scheduling_moves import CFG, FleetTestCase, standby

FORECAST = ForecastSettings(enabled=True, reserve_share=0.5)
STEPS = make_job(n_tasks=4, estimate_ms=1000).steps


def record_rise(forecast, begin_ms, pool="p"):
    """Record the jobs of a rise to 40 cores that lasts 4 s, and its end."""
    for at_ms in range(begin_ms, begin_ms + 4_000, 100):
        forecast.record_job(pool, at_ms, STEPS)
    forecast.pool_forecast(pool, begin_ms + 6_000)


class TestMovesForReserves(FleetTestCase):
    """Idle pools before their first and their next rise."""

    def begin(self, forecast, n_off=9):
        self.platform = FakePlatform()
        self.platform.machines = tuple(standby(f"m{n}") for n in range(n_off))
        self.manager = MoveManager(
            term=self.term,
            machines=self.machines,
            operations=self.platform,
            backlog={},
            cfg=LeaderPolicy(moves=CFG, forecast=FORECAST),
            trend=ArrivalTrend(ArrivalSettings()),
            forecast=forecast,
        )
        task = asyncio.create_task(self.manager.run())
        self.addCleanup(task.cancel)

    async def begin_calm(self, forecast):
        """Begin with four idle VMs that have rested."""
        self.make_fleet(*(make_vm(f"v{n}") for n in range(4)))
        self.begin(forecast)
        await eventually(lambda: self.manager._idle_since)
        self.advance(10 * CFG.rest_time)

    async def test_a_pool_without_demand_so_far_keeps_its_machines(self):
        """Guards against a first rise that finds an empty pool."""
        await self.begin_calm(DemandForecast(FORECAST))
        await asyncio.sleep(0.05)
        self.assertEqual(self.platform.moved, [])

    async def test_a_forecast_that_fails_does_not_stop_the_moves(self):
        await self.begin_calm(object())
        await eventually(lambda: len(self.platform.moved) == 2)

    async def test_a_new_leader_completes_the_moves_that_the_old_one_began(self):
        """The old leader was lost after the first order for a reserve.

        Guards against a reserve that is ordered twice, or not completed.
        """
        self.make_fleet(make_vm("v1"))
        self.advance(timedelta(seconds=16))
        self.term.started_at = self.clock.monotonic()
        self.state.apply(RecordMove(machine="m0", now_ms=self.term.now_ms()))
        self.machines = MachineRegistry(
            self.term, self.agents, takeover_delay=timedelta(seconds=3)
        )
        forecast = DemandForecast(FORECAST)
        record_rise(forecast, 10_000)
        self.begin(forecast)
        # A reserve of half of the 40 cores: the VM and 4 machines, of 4 cores each.
        await eventually(lambda: len(self.platform.moved) >= 3)
        await asyncio.sleep(0.05)
        machines = {machine for machine, pool in self.platform.moved if pool == "p"}
        self.assertNotIn("m0", machines)
        self.assertIn(len(machines), (3, 4))
        self.assertEqual(len(machines), len(self.platform.moved))

    def begin_scheduler(self):
        """Begin the term of a leader with a forecast."""
        scheduler = Scheduler(
            term=self.term,
            orders=FakeEndpoint(),
            operations=FakePlatform(),
            adviser=None,
            cfg=LeaderPolicy(forecast=FORECAST),
        )
        scheduler.begin()
        self.addCleanup(scheduler.close)
        return scheduler

    async def test_a_leader_begins_with_jobs_that_the_forecast_can_not_take(self):
        """Guards against an error that ends each new leader at its start."""
        self.make_fleet(make_vm("v1"))
        self.state.apply(SubmitJob(spec=make_job("j1"), now_ms=10_000))
        self.advance(timedelta(seconds=17))
        with mock.patch.object(DemandForecast, "record_job", side_effect=TypeError):
            self.begin_scheduler()

    async def test_the_forecast_comes_from_the_jobs_of_the_log(self):
        """Guards against a new leader that starts without a forecast."""
        self.make_fleet(make_vm("v1"))
        expected = DemandForecast(FORECAST)
        for number in range(40):
            job = make_job(f"j{number}", n_tasks=4, estimate_ms=1000)
            at_ms = 10_000 + 100 * number
            self.state.apply(SubmitJob(spec=job, now_ms=at_ms))
            expected.record_job("p", at_ms, job.steps)
        self.advance(timedelta(seconds=17))
        scheduler = self.begin_scheduler()
        forecast = expected.pool_forecast("p", 17_000)
        self.assertGreater(forecast.peak, 30_000)
        self.assertEqual(scheduler._forecast.pool_forecast("p", 17_000), forecast)


class TestForecastReports(unittest.TestCase):
    """What operators see of the forecast."""

    def setUp(self):
        self.events = []
        term = FakeTerm(make_state())
        term.emit = lambda name, **fields: self.events.append(name)
        self.forecast = DemandForecast(FORECAST)
        self.reports = ForecastReports(term, self.forecast)

    def report(self, *times_ms, **options):
        for now_ms in times_ms:
            entry = ForecastLoad(PoolLoad(pool="p", **options), self.pool_forecast)
            self.reports.report((entry,), now_ms)

    def test_rises_predictions_and_failures_are_reported_once(self):
        """Guards against a line every 100 ms, or for what an earlier leader saw."""
        self.pool_forecast = PoolForecast()
        record_rise(self.forecast, 10_000)
        self.report(16_000)
        self.assertEqual(self.events, [])
        record_rise(self.forecast, 20_000)
        self.report(26_000, 26_100)
        self.assertEqual(self.events, [EventName.FORECAST_CHECKED])
        prediction = RisePrediction(
            pool="p", source="q", at_ms=30_000, error_ms=100, confidence=1.0
        )
        self.pool_forecast = PoolForecast(prediction=prediction)
        self.report(28_000, 28_100, imminent=4_000)
        self.report(30_600, 30_800, 31_000)
        self.reports.report_failure(ValueError())
        self.reports.report_failure(ValueError())
        expected = [EventName.RISE_PREDICTED, EventName.RISE_MISSED, EventName.WARNING]
        self.assertEqual(self.events[1:], expected)


class TestSettings(unittest.TestCase):
    """Settings with which the forecast can't work."""

    def test_wrong_settings_are_problems_that_name_the_option(self):
        example = pathlib.Path(__file__).parent.parent / "examples/controller.ini"
        for section, options in (
            (
                "reserve_decay = 10 ms\nrise_factor = 0.5",
                ["reserve_decay", "rise_factor"],
            ),
            ("enabled = yes\nmax_age = 10 min", ["max_age"]),
        ):
            text = example.read_text().replace("[forecast]", f"[forecast]\n{section}")
            with self.assertRaises(InvalidSettingsError) as caught:
                parse_settings(text, ControllerSettings)
            self.assertEqual([p.option for p in caught.exception.exceptions], options)


if __name__ == "__main__":
    unittest.main()
