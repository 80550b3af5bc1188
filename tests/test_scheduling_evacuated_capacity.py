"""Tests of capacity during and after an evacuation: rounds, sizes of pools, ramp."""

import asyncio
from datetime import timedelta

from redwingslip.jobs import (
    Amounts,
    FinishEvacuation,
    StartEvacuation,
    SubmitJob,
    TaskKey,
)
from redwingslip.placement import ArrivalSettings, ArrivalTrend, WaitingTask
from redwingslip.scheduling import (
    EvacuationSettings,
    LeaderPolicy,
    MachineState,
    MachineView,
    MoveManager,
    MoveSettings,
)
from redwingslip.scheduling._job_index import JobIndex, PoolBacklog
from redwingslip.scheduling._preemption import Preemption
from redwingslip.scheduling._ramp import CapacityRamp
from redwingslip.scheduling._rounds import PlacementRounds
from redwingslip.scheduling._wait_reasons import describe_pool
from tests.support_scheduling import FakePlatform, eventually, make_job, make_vm
from tests.test_scheduling_moves import FleetTestCase

CFG = MoveSettings(interval=timedelta(milliseconds=2), survey_time=timedelta(0))
RAMP = EvacuationSettings().ramp


class CapacityTestCase(FleetTestCase):
    """VMs of four cores in the data centres east and west."""

    def build(self, *vms, **step):
        """Make VMs, whose names begin with the initial of their data centre."""
        centres = {"e": "east", "w": "west"}
        records = [make_vm(name, data_centre=centres[name[0]]) for name in vms]
        self.make_fleet(*records, jobs=[make_job(**step)])

    def apply(self, type_, name="east"):
        self.state.apply(type_(data_centre=name, now_ms=self.term.now_ms()))

    def place(self):
        """Run a round of placement, and return the VMs on which tasks start."""
        rounds = PlacementRounds(
            term=self.term,
            machines=self.machines,
            job_index=JobIndex(self.state),
            advice=None,
        )
        return [start.vm_id for start in rounds.decide()]


class TestRounds(CapacityTestCase):
    """Where tasks are placed, and why they wait."""

    async def test_nothing_is_placed_there(self):
        """Guards against tasks that the state refuses in each round."""
        self.build("e1", "w1", n_tasks=8)
        self.apply(StartEvacuation)
        self.assertEqual(self.place(), ["w1"] * 4)

    async def test_no_run_there_is_stopped_to_make_room(self):
        self.build("e1", n_tasks=4)
        for index in range(4):
            self.run_task("j1", "e1", index)
        self.apply(StartEvacuation)
        preemption = Preemption(
            self.state, self.machines, now=self.clock.monotonic(), now_ms=1
        )
        self.assertIsNone(preemption.make_room(self.waiting_task()))

    async def test_the_wait_reason_names_the_data_centre(self):
        """Guards against a pool without VMs that looks out of contact."""
        self.build("e1", "e2")
        self.apply(StartEvacuation)
        self.assertEqual(self.reason(), "2 in evacuated data centre east")
        self.apply(FinishEvacuation)
        self.assertEqual(self.reason(), "2 filling up after the evacuation of east")

    async def test_a_vm_counts_where_it_reported_last(self):
        """Guards against a machine that was moved from or to the data centre."""
        self.build("e1", "w1", n_tasks=8)
        self.apply(StartEvacuation)
        self.agents["e1"].update(make_vm("e1", data_centre="west"))
        self.agents["w1"].update(make_vm("w1", data_centre="east"))
        self.assertEqual(self.place(), ["e1"] * 4)

    def waiting_task(self):
        key = TaskKey("j2", 0, 0, 0)
        step = make_job(is_long_running=True, need=Amounts(2000, 10)).steps[0]
        return WaitingTask(key, step, customer="", pool="p")

    def reason(self):
        now = self.clock.monotonic()
        return describe_pool(
            self.waiting_task(), state=self.state, machines=self.machines, now=now
        )


class TestRamp(CapacityTestCase):
    """VMs that may be cold after an evacuation."""

    async def test_new_tasks_fill_the_vms_gradually(self):
        """Guards against all tasks of a peak on cold VMs."""
        self.build("e1", n_tasks=8)
        self.apply(StartEvacuation)
        self.advance(timedelta(seconds=10))
        self.apply(FinishEvacuation)
        for thirds, n_tasks in ((0, 1), (1, 2), (2, 3), (3, 4)):
            self.assertEqual(len(self.place()), n_tasks, thirds)
            self.advance(RAMP / 3)

    async def test_runs_from_before_don_t_count_against_the_share(self):
        """Guards against a VM that stays closed as its old tasks fill the share."""
        self.build("e1", n_tasks=8)
        self.run_task("j1", "e1", 0)
        self.apply(StartEvacuation)
        self.advance(timedelta(seconds=10))
        self.apply(FinishEvacuation)
        self.assertEqual(self.place(), ["e1"])

    async def test_other_data_centres_have_no_ramp(self):
        self.build("e1", "w1", n_tasks=8)
        self.apply(StartEvacuation)
        self.apply(FinishEvacuation)
        self.assertEqual(sorted(self.place()), ["e1"] + 4 * ["w1"])

    async def test_the_clock_of_the_earlier_leader_may_be_ahead(self):
        """Guards against a ramp that lasts as long as the clocks differ."""
        self.build("e1")
        self.apply(StartEvacuation)
        ahead = FinishEvacuation(data_centre="east", now_ms=3_600_000)
        self.state.apply(ahead)
        ramp = CapacityRamp(self.term, EvacuationSettings())
        self.assertEqual(ramp.share("east"), 0.25)
        self.advance(RAMP)
        self.assertEqual(ramp.share("east"), 1.0)

    async def test_a_ramp_of_no_time_is_off(self):
        self.build("e1")
        self.apply(StartEvacuation)
        self.apply(FinishEvacuation)
        ramp = CapacityRamp(self.term, EvacuationSettings(ramp=timedelta(0)))
        self.assertEqual(ramp.share("east"), 1.0)


class TestSizing(CapacityTestCase):
    """Pools get machines for those that are lost to them, and from elsewhere."""

    def begin(self, *machines, backlog=None):
        self.term.on_command = lambda command: self.agents.pop(
            getattr(command, "vm_id", None), None
        )
        self.platform = FakePlatform()
        self.platform.machines = tuple(
            MachineView(
                machine=name,
                pool="off",
                state=MachineState.UP,
                data_centre="east" if name[0] == "e" else "west",
                capacity=Amounts(4000, 4000),
            )
            for name in machines
        )
        self.manager = MoveManager(
            term=self.term,
            machines=self.machines,
            operations=self.platform,
            backlog=backlog or {},
            cfg=LeaderPolicy(moves=CFG),
            trend=ArrivalTrend(ArrivalSettings()),
        )
        task = asyncio.create_task(self.manager.run())
        self.addCleanup(task.cancel)

    async def test_machines_there_are_no_donors(self):
        """Guards against a machine that joins a pool and can't serve it."""
        self.build("w1")
        self.apply(StartEvacuation)
        self.begin("e1", "e2", "w2", backlog={"p": PoolBacklog(cpu=20_000)})
        await eventually(lambda: self.manager._machine_views)
        self.assertNotIn("e1", self.manager._standby_load("off").idle)
        await eventually(lambda: self.platform.moved)
        await asyncio.sleep(0.05)
        self.assertEqual(self.platform.moved, [("w2", "p")])

    async def test_long_running_tasks_that_must_leave_are_demand(self):
        """Guards against tasks that stay, as no machine is obtained for them."""
        self.build("e1", "w1", n_tasks=6, is_long_running=True)
        for index in range(6):
            self.run_task("j1", "e1" if index < 3 else "w1", index)
        self.begin("w2")
        await asyncio.sleep(0.02)
        self.assertEqual(self.manager._serving_load("p", timedelta(0)).room, 8000)
        self.apply(StartEvacuation)
        load = self.manager._serving_load("p", timedelta(0))
        self.assertEqual((load.room, load.demand, load.n_vms), (4000, 6000, 1))
        await eventually(lambda: self.platform.moved == [("w2", "p")])

    async def test_idle_machines_there_stay_as_they_are(self):
        """Guards against VMs that are switched off as the evacuation ends."""
        self.build("e1", "e2", "e3", "w1", "w2", "w3")
        self.apply(StartEvacuation)
        self.begin()
        await eventually(lambda: self.manager._idle_since)
        self.advance(2 * CFG.rest_time)
        await eventually(lambda: self.platform.moved)
        await asyncio.sleep(0.05)
        self.assertEqual([name[:3] for name, _ in self.platform.moved], ["m-w"])
        self.assertLessEqual(set(self.manager._idle_since), {"m-w1", "m-w2", "m-w3"})

    async def test_a_planned_move_from_there_is_cancelled(self):
        """Guards against a machine under way when the evacuation begins."""
        self.build("e1", "w1")
        self.state.apply(SubmitJob(spec=make_job("j2"), now_ms=1))
        self.begin()
        self.machines.claim("m-e1", self.manager)
        self.manager._planned_pools["m-e1"] = "off"
        self.manager._draining_until["m-e1"] = timedelta(days=1)
        self.run_task("j2", "e1")
        self.apply(StartEvacuation)
        await eventually(lambda: not self.machines.is_claimed("m-e1"))
        self.assertEqual(self.platform.moved, [])
