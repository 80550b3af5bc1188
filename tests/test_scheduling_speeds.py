"""Tests of rounds and capacity with VMs of uneven speed; each names its load."""

import asyncio
import unittest
from datetime import timedelta
from unittest import mock

import msgspec
from scripts.measure_speeds import N_VMS, Simulation, arrivals, simulate
from typer.testing import CliRunner

from redwingslip.cli._app import app
from redwingslip.control import answer_operator
from redwingslip.jobs import (
    Amounts,
    EndKind,
    RunEnd,
    RunStart,
    StartRuns,
    SubmitJob,
    TaskKey,
)
from redwingslip.peers import CallSource, RelayedCall
from redwingslip.placement import AdmissionSettings, ArrivalTrend
from redwingslip.scheduling import (
    JobService,
    LeaderPolicy,
    MachineRegistry,
    MoveManager,
    Scheduler,
)
from redwingslip.scheduling._pool_capacity import FleetCapacity
from redwingslip.scheduling._speeds import VmSpeeds
from redwingslip.settings import find_problems
from redwingslip.workers import (
    RunProgress,
    RunTimeModel,
    RunTimeSettings,
    SpeedSettings,
    StepKey,
)
from tests.support_scheduling import (
    FakeEndpoint,
    FakePlatform,
    FakeTerm,
    make_agent,
    make_job,
    make_state,
    make_vm,
)

SECOND = timedelta(seconds=1)
N_SLOW = N_VMS // 3
SLOW = {f"v{number}" for number in range(N_SLOW)}


class TestLoads(unittest.TestCase):
    """Jobs on 12 VMs, with estimates that are off by a factor of up to e."""

    def build(self, slow=range(N_SLOW)):
        self.simulation = Simulation(set(slow), 1, enabled=True)
        self.begin_ms = self.simulation.term.now_ms()
        self.arrivals = arrivals(1, 0.014)

    def run_until(self, seconds):
        while (now_ms := self.simulation.term.now_ms() - self.begin_ms) < 1e3 * seconds:
            for at_ms, steps in self.arrivals:
                self.simulation.submit(steps)
                if at_ms > now_ms:
                    break
            self.simulation.advance()

    def found(self):
        speeds = self.simulation.speeds
        return {vm for vm in self.simulation.agents if speeds.speed(vm) < 1}

    def test_a_third_of_the_vms_four_times_slower(self):
        """Guards against jobs that are late since a slow VM is like any other."""
        before, *_ = simulate(N_SLOW, 0.5, 1, enabled=False)
        after, _, n_found, n_false = simulate(N_SLOW, 0.5, 1, enabled=True)
        self.assertGreater(after, before + 0.05)
        self.assertEqual((n_found, n_false), (N_SLOW, 0))

    def test_all_vms_equally_fast_or_slow(self):
        """Guards against an effect where there is nothing to prefer."""
        for n_slow in (0, N_VMS):
            off, on = (simulate(n_slow, 0.5, 1, enabled=e)[:2] for e in (False, True))
            self.assertEqual(on, off)

    def test_vms_that_recover(self):
        """Guards against VMs that are not used again for long."""
        self.build()
        self.run_until(20)
        self.assertEqual(self.found(), SLOW)
        self.simulation.slow.clear()
        self.run_until(30)
        self.assertEqual(self.found(), set())

    def test_a_new_leader(self):
        """Guards against a new leader that uses slow VMs like others for long."""
        self.build()
        self.run_until(15)
        old = self.simulation.speeds
        run_times = self.simulation.run_times = RunTimeModel(RunTimeSettings())
        new = self.simulation.speeds = VmSpeeds(
            term=self.simulation.term,
            agents=self.simulation.agents,
            run_times=run_times,
            cfg=SpeedSettings(enabled=True),
        )
        self.simulation.rounds._speeds = new
        for agent in self.simulation.agents.values():
            agent._sender.started_at.clear()
        self.assertNotEqual(self.found(), {vm for vm in SLOW if old.speed(vm) < 1})
        self.run_until(25)
        self.assertEqual(self.found(), SLOW)

    def test_an_error_in_an_estimate(self):
        """Guards against rounds of placement that end with the estimate."""
        self.build()
        self.run_until(15)
        name = "redwingslip.scheduling._speeds.VmSpeeds._estimate"
        with mock.patch(name, side_effect=ValueError):
            self.run_until(20)
        self.assertEqual(self.found(), set())


class TestCapacity(unittest.TestCase):
    """A pool of a normal VM and one at a quarter of its speed, with 4 cores each."""

    def setUp(self):
        vms = [make_vm("slow"), make_vm("v1")]
        self.state = make_state(*vms, jobs=[make_job(n_tasks=4)])
        self.term = FakeTerm(self.state)
        self.agents = {
            vm.vm_id: make_agent(vm, FakeEndpoint(), self.term) for vm in vms
        }
        for agent in self.agents.values():
            agent._has_renewed_lease = True
            agent.lease.note_contact(0 * SECOND)
        speeds = mock.Mock()
        speeds.speed = lambda vm_id: 0.25 if vm_id == "slow" else 1.0
        speeds.speed_of_machine = lambda m: 0.25 if m == "m-slow" else 1.0
        self.machines = MachineRegistry(
            self.term, self.agents, takeover_delay=0 * SECOND, speeds=speeds
        )
        cfg = LeaderPolicy()
        self.moves = MoveManager(
            term=self.term,
            machines=self.machines,
            operations=FakePlatform(),
            backlog={},
            cfg=cfg,
            trend=ArrivalTrend(cfg.arrivals),
        )

    def test_sizing_and_admission_count_what_a_slow_vm_does(self):
        """Guards against pools that are too small, since slow VMs count in full."""
        load = self.moves._serving_load("p", 0 * SECOND)
        self.assertEqual((load.room, load.used), (5000, 0))
        self.assertEqual(load.idle, ("m-slow", "m-v1"))
        capacity = FleetCapacity(
            state=self.state,
            machines=self.machines,
            moves=self.moves,
            now=0 * SECOND,
            cfg=AdmissionSettings(),
        )
        self.assertEqual(capacity._pools["p"].total, Amounts(5000, 8000))
        starts = tuple(RunStart(TaskKey("j1", 0, 0, n), "slow", 1) for n in range(4))
        self.state.apply(StartRuns(starts=starts, now_ms=1))
        load = self.moves._serving_load("p", 0 * SECOND)
        self.assertEqual((load.room, load.used), (5000, 1000))

    def test_runs_of_a_slow_vm_are_judged_and_learned_by_its_speed(self):
        """Guards against avoided VMs, and run times that grow, for a known speed."""
        run_times = RunTimeModel(RunTimeSettings())
        key, number = TaskKey("j1", 0, 0, 0), 1
        self.state.apply(StartRuns(starts=(RunStart(key, "slow", 1),), now_ms=1))
        for vm_id in ("v2", "v3"):
            run_times.record(
                StepKey(*key[:3]),
                queue="q",
                vm_id=vm_id,
                estimate=SECOND,
                run_time=SECOND,
            )
        progress = RunProgress(0 * SECOND, 0)
        progress.update(3 * SECOND, 75)
        for speed, is_avoided in ((1.0, True), (0.25, False)):
            agent = make_agent(self.agents["slow"].vm, None, self.term, run_times)
            agent._speeds = mock.Mock()
            agent._speeds.speed.return_value = speed
            self.assertEqual(
                agent._restart_reason((key, number), progress, 3 * SECOND), ""
            )
            self.assertEqual(agent.health.is_avoided(3 * SECOND), is_avoided)
        agent._speeds.learn.return_value = 0.25
        agent._sender.started_at[key, number] = 0 * SECOND
        agent._learn_run_time((key, number), 4 * SECOND)
        usual = run_times.longest_usual(
            StepKey(*key[:3]), queue="q", vm_id="v2", estimate=SECOND
        )
        self.assertEqual(usual, SECOND)
        agent._learn_run_time((key, number), 4 * SECOND)
        agent._speeds.learn_inherited.assert_called_once()

    def test_nothing_changes_while_it_is_off(self):
        """Guards against decisions that depend on speeds without the setting."""
        term = FakeTerm(make_state(make_vm("v1")))
        scheduler = Scheduler(
            term=term,
            orders=FakeEndpoint(),
            operations=FakePlatform(),
            adviser=None,
            cfg=LeaderPolicy(),
        )
        self.assertIsNone(scheduler._rounds._speeds)
        self.assertEqual(scheduler._machines.speed("v1"), 1.0)
        self.assertEqual(scheduler._machines.speed_of_machine("m-v1"), 1.0)

    def test_wrong_settings_are_named(self):
        """Guards against a leader that estimates all the time."""
        (problem,) = find_problems(SpeedSettings(interval=0 * SECOND), "speeds")
        self.assertEqual((problem.section, problem.option), ("speeds", "interval"))

    def test_ends_of_runs_reach_the_estimate(self):
        """Guards against a half-broken VM that the leader doesn't notice."""
        cfg = LeaderPolicy(speeds=SpeedSettings(enabled=True))
        scheduler = Scheduler(
            term=self.term,
            orders=FakeEndpoint(),
            operations=FakePlatform(),
            adviser=None,
            cfg=cfg,
        )
        scheduler.agents.update(self.agents)
        for number in range(16):
            job = make_job(f"n{number}")
            self.state.apply(SubmitJob(spec=job, now_ms=1))
            for vm_id in self.agents:
                has_failed = vm_id == "slow" and number % 2 == 0
                kind = EndKind.FAILED if has_failed else EndKind.DONE
                end = RunEnd(TaskKey(f"n{number}", 0, 0, 0), 1, kind)
                scheduler._speeds.note_end(vm_id, end)
        scheduler._speeds.update()
        self.assertLess(scheduler._machines.speed("slow"), 0.7)
        self.assertEqual(scheduler._machines.speed("v1"), 1.0)
        service = JobService(term=self.term, scheduler=scheduler)
        call = RelayedCall(
            number=1, source=CallSource.OPERATORS, method="GET", path="/v1/vms"
        )
        answer = asyncio.run(answer_operator(service, call))
        listing = msgspec.json.decode(answer.body)
        slow, normal = listing["items"]
        self.assertEqual((slow["is_slow"], normal["is_slow"]), (True, False))
        self.assertEqual(normal["speed"], 1.0)
        fetch = mock.AsyncMock(return_value=listing)
        with mock.patch("redwingslip.cli._vm_commands._fetch", fetch):
            result = CliRunner().invoke(app, ["--server", "http://h:1", "vm", "list"])
        self.assertRegex(result.output, r"slow +p +- +yes +0 +0\.\d\d +yes")


if __name__ == "__main__":
    unittest.main()
