"""Tests of moves between pools and of preemption, over fakes."""

import asyncio
from datetime import timedelta

from msgspec.structs import replace

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    Amounts,
    EndKind,
    Pool,
    RecordEnds,
    RecordMove,
    ReplacePlan,
    RunEnd,
    RunStart,
    StartRuns,
    TaskKey,
)
from redwingslip.placement import ArrivalSettings, ArrivalTrend
from redwingslip.scheduling import (
    LeaderPolicy,
    MachineOutcome,
    MachineRegistry,
    MachineState,
    MachineView,
    MoveManager,
    MoveSettings,
)
from redwingslip.scheduling._job_index import PoolBacklog
from tests.support_scheduling import (
    PLAN,
    FakeEndpoint,
    FakePlatform,
    FakeTerm,
    eventually,
    make_agent,
    make_job,
    make_state,
    make_vm,
)
from tests.support_virtual_time import VirtualTimeTestCase

CFG = MoveSettings(interval=timedelta(milliseconds=2), survey_time=timedelta(0))


def standby(machine):
    """Return the view of a machine that is switched off."""
    return MachineView(
        machine=machine,
        pool="off",
        state=MachineState.UP,
        capacity=Amounts(4000, 4000),
    )


class FleetTestCase(VirtualTimeTestCase):
    """A fleet of responsive VMs, over fakes."""

    def make_fleet(self, *vms, jobs=()):
        self.clock = ManualClock()
        self.state = make_state(*vms, jobs=jobs)
        self.term = FakeTerm(self.state, self.clock)
        self.agents = {}
        for vm in vms:
            agent = make_agent(vm, FakeEndpoint(), self.term)
            agent._has_renewed_lease = True
            self.agents[vm.vm_id] = agent
        self.machines = MachineRegistry(
            self.term, self.agents, takeover_delay=timedelta(0)
        )

    def run_task(self, job_id, vm_id, index=0):
        key = TaskKey(job_id, 0, 0, index)
        command = StartRuns(starts=(RunStart(key, vm_id, 1),), now_ms=1)
        (run,) = self.state.apply(command)
        return run

    def advance(self, duration):
        self.clock.advance(duration)
        for agent in self.agents.values():
            agent.lease.note_contact(self.clock.monotonic())


class TestMoveManager(FleetTestCase):
    """Overloaded pools, idle pools, and changes of leader."""

    def begin(self, backlog=None, cfg=CFG):
        self.platform = FakePlatform()
        self.trend = ArrivalTrend(ArrivalSettings())
        self.term.on_command = lambda command: self.agents.pop(
            getattr(command, "vm_id", None), None
        )
        self.manager = MoveManager(
            term=self.term,
            machines=self.machines,
            operations=self.platform,
            backlog=backlog or {},
            cfg=LeaderPolicy(moves=cfg),
            trend=self.trend,
        )
        task = asyncio.create_task(self.manager.run())
        self.addCleanup(task.cancel)

    async def test_a_backlog_switches_a_machine_on(self):
        job = make_job(n_tasks=4)
        self.make_fleet(make_vm("v1"), jobs=[job])
        for index in range(4):
            self.run_task("j1", "v1", index)
        self.begin({"p": PoolBacklog(cpu=3000)})
        self.platform.machines = (standby("m1"), standby("m2"))
        await eventually(lambda: self.platform.moved)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.platform.moved), 1, "one is enough and is arriving")

    async def test_the_list_is_read_again_after_any_error(self):
        """Guards against a leader that stops reading the list of machines."""
        self.make_fleet(make_vm("v1"))
        self.begin({"p": PoolBacklog(cpu=9000)})
        # No list, so that reading it fails.
        self.platform.machines = None
        await asyncio.sleep(0.02)
        self.platform.machines = (standby("m1"),)
        await eventually(lambda: self.platform.moved)

    async def test_a_vm_is_kept_if_its_machine_is_in_the_pool_already(self):
        """Guards against the removal of a VM that the platform did not end.

        The list of machines is older than the arrival of the VM.
        """
        self.make_fleet(make_vm("v1", machine="m1"))
        self.begin({"p": PoolBacklog(cpu=9000)})
        self.platform.machines = (standby("m1"),)
        await eventually(lambda: self.platform.moved == [("m1", "p")])
        await asyncio.sleep(0.02)
        self.assertIn("v1", self.state.vms)

    async def test_a_machine_on_its_way_is_known_with_its_rack(self):
        """Guards against remote runs while a machine of the rack is about to serve."""
        self.make_fleet(make_vm("v1"))
        self.begin({"p": PoolBacklog(cpu=9000)})
        self.platform.machines = (replace(standby("m1"), labels=("a", "r7")),)
        await eventually(lambda: tuple(self.manager.arriving("p")))
        (vm,) = self.manager.arriving("p")
        self.assertEqual((vm.machine, vm.labels), ("m1", ("a", "r7")))
        self.assertEqual(vm.expected_at, self.clock.monotonic() + timedelta(seconds=2))
        self.assertEqual(tuple(self.manager.arriving("off")), ())

    async def test_rising_arrivals_switch_machines_on_before_anything_waits(self):
        """Arrivals announce a peak earlier than the backlog, by about a move's time."""
        self.make_fleet(make_vm("v1"))
        self.begin()
        self.platform.machines = (standby("m1"), standby("m2"), standby("m3"))
        steps = make_job(n_tasks=2, estimate_ms=1000).steps
        for _ in range(3):
            self.trend.record_job("p", self.term.now_ms(), steps)
        await eventually(lambda: len(self.platform.moved) == 3)

    async def begin_with_a_full_fleet(self, *, is_long_running=False):
        """Begin with a calm pool in use, and a rising one that lacks capacity."""
        calm = [make_vm(f"c{n}", pool="calm") for n in range(4)]
        job = make_job(n_tasks=4, is_long_running=is_long_running)
        self.make_fleet(make_vm("v1"), *calm, jobs=[job])
        plan = replace(PLAN, version=2, pools=(*PLAN.pools, Pool(name="calm")))
        self.state.apply(ReplacePlan(plan=plan))
        self.run_task("j1", "c0", 0)
        self.run_task("j1", "c1", 1)
        self.run_task("j1", "c2", 2)
        self.run_task("j1", "c3", 3)
        self.begin({"p": PoolBacklog(cpu=20_000)})

    async def test_a_machine_in_use_moves_once_its_runs_have_ended(self):
        await self.begin_with_a_full_fleet()
        await eventually(lambda: self.machines.is_claimed("m-c0"))
        await asyncio.sleep(0.05)
        self.assertEqual(self.platform.moved, [])
        end = RunEnd(TaskKey("j1", 0, 0, 0), 1, EndKind.DONE)
        self.state.apply(RecordEnds(vm_id="c0", born_ms=1, ends=(end,), now_ms=2))
        await eventually(lambda: ("m-c0", "p") in self.platform.moved)

    async def test_a_planned_move_gives_way_to_a_recall(self):
        await self.begin_with_a_full_fleet()
        await eventually(lambda: self.machines.is_claimed("m-c0"))
        self.assertTrue(self.machines.recall("m-c0"))
        await asyncio.sleep(0.05)
        self.assertFalse(self.machines.is_claimed("m-c0"))
        self.assertEqual(self.platform.moved, [])

    async def test_a_move_that_was_ordered_is_not_recalled(self):
        """Guards against runs on a machine that the platform may end at any moment."""
        self.make_fleet(make_vm("v1"))
        self.begin({"p": PoolBacklog(cpu=9000)})
        answered = asyncio.Event()

        async def move(machine, pool, *, fence):
            self.platform.moved.append((machine, pool))
            await answered.wait()
            return MachineOutcome.DONE

        self.platform.move = move
        self.platform.machines = (standby("m1"),)
        await eventually(lambda: self.platform.moved)
        self.assertFalse(self.machines.recall("m1"))
        self.assertTrue(self.machines.is_claimed("m1"))
        answered.set()

    async def test_a_machine_whose_runs_last_too_long_stays(self):
        await self.begin_with_a_full_fleet()
        await eventually(lambda: self.machines.is_claimed("m-c0"))
        drained = {m for m in ("m-c0", "m-c1") if self.machines.is_claimed(m)}
        self.assertTrue(drained)
        self.advance(CFG.max_drain + timedelta(seconds=1))
        # The next plan may choose the machine again; nothing was moved or stopped.
        await asyncio.sleep(0.05)
        self.assertEqual(self.platform.moved, [])
        self.assertEqual(len(self.state.runs_of("c0")), 1)

    async def test_vms_of_unknown_machines_are_not_reclaimed(self):
        """A report may lack the machine; there is nothing to move then."""
        await self.begin_with_a_full_fleet()
        now = self.clock.monotonic()
        for number in range(4):
            agent = self.agents[f"c{number}"]
            agent.vm = replace(agent.vm, machine="")
        self.assertEqual(self.manager._serving_load("calm", now).reclaimable, ())

    async def test_machines_with_long_running_tasks_are_not_reclaimed(self):
        await self.begin_with_a_full_fleet(is_long_running=True)
        await asyncio.sleep(0.1)
        self.assertFalse(any(self.machines.is_claimed(f"m-c{n}") for n in range(4)))

    async def test_machines_that_are_expected_to_be_used_stay_on(self):
        self.make_fleet(*(make_vm(f"v{n}") for n in range(4)))
        self.begin()
        await eventually(lambda: self.manager._idle_since)
        self.advance(CFG.rest_time)
        steps = make_job(n_tasks=8, estimate_ms=1000).steps
        for _ in range(3):
            self.trend.record_job("p", self.term.now_ms(), steps)
        await asyncio.sleep(0.05)
        self.assertEqual(self.platform.moved, [])

    async def test_a_vm_needed_for_an_evacuation_is_switched_on(self):
        self.make_fleet(make_vm("v1"))
        self.machines.n_vms_needed["p"] = 1
        self.begin()
        self.platform.machines = (standby("m1"), standby("m2"))
        await eventually(lambda: self.platform.moved)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.platform.moved), 1)

    async def test_a_move_is_recorded_before_it_is_ordered(self):
        """A later leader must know for which machines it has to wait."""
        self.make_fleet(make_vm("v1"), jobs=[make_job(n_tasks=4)])
        for index in range(4):
            self.run_task("j1", "v1", index)
        self.begin({"p": PoolBacklog(cpu=3000)})
        self.platform.machines = (standby("m1"),)
        move = self.platform.move
        known_at_order = []

        async def watch(machine, pool, *, fence):
            known_at_order.append(machine in self.state.machine_orders.given)
            return await move(machine, pool, fence=fence)

        self.platform.move = watch
        await eventually(lambda: self.platform.moved)
        self.assertEqual(known_at_order, [True])

    async def test_a_leader_that_loses_its_lease_before_an_order_sends_nothing(self):
        self.make_fleet(make_vm("v1"))
        self.begin({"p": PoolBacklog(cpu=9000)})

        def lose_leadership(command):
            self.term.is_leader = False

        self.term.on_command = lose_leadership
        self.platform.machines = (standby("m1"),)
        await eventually(lambda: self.state.machine_orders.given)
        await asyncio.sleep(0.02)
        self.assertEqual(self.platform.moved, [])

    async def test_a_new_leader_moves_nothing_until_its_vms_could_answer(self):
        """Until then all pools appear to have no capacity."""
        self.make_fleet(make_vm("v1"))
        self.agents["v1"]._has_renewed_lease = False
        cfg = MoveSettings(interval=CFG.interval, survey_time=timedelta(seconds=1))
        self.begin({"p": PoolBacklog(cpu=9000)}, cfg=cfg)
        self.platform.machines = (standby("m1"),)
        await asyncio.sleep(0.03)
        self.assertEqual(self.platform.moved, [])
        self.advance(timedelta(seconds=1))
        await eventually(lambda: self.platform.moved)

    async def test_the_survey_ends_when_most_vms_have_answered(self):
        self.make_fleet(*(make_vm(f"v{number}") for number in range(10)))
        for number in range(2):
            self.agents[f"v{number}"]._has_renewed_lease = False
        cfg = MoveSettings(interval=CFG.interval, survey_time=timedelta(hours=1))
        self.begin({"p": PoolBacklog(cpu=90_000)}, cfg=cfg)
        self.platform.machines = (standby("m1"),)
        await asyncio.sleep(0.03)
        self.assertEqual(self.platform.moved, [])
        self.agents["v0"]._has_renewed_lease = True
        await eventually(lambda: self.platform.moved)

    async def test_an_old_order_of_an_earlier_leader_delays_no_order(self):
        self.make_fleet(make_vm("v1"))
        for now_ms in (0, 500, 1_000, 1_500, 2_000, 2_500, 3_000, 3_500, 4_000):
            machine = "m1" if not now_ms else "other"
            self.state.apply(RecordMove(machine=machine, now_ms=now_ms))
        machines = MachineRegistry(self.term, {}, takeover_delay=timedelta(seconds=3))
        self.assertTrue(machines.may_order("m1"))
        self.assertFalse(machines.may_order("other"))

    async def test_a_new_leader_immediately_moves_machines_without_a_recent_order(self):
        self.make_fleet(make_vm("v1"))
        self.state.apply(RecordMove(machine="m1", now_ms=self.term.now_ms()))
        self.machines = MachineRegistry(
            self.term, self.agents, takeover_delay=timedelta(seconds=3)
        )
        self.begin({"p": PoolBacklog(cpu=20_000)})
        self.platform.machines = (standby("m1"), standby("m2"))
        await eventually(lambda: self.platform.moved)
        await asyncio.sleep(0.05)
        self.assertEqual(self.platform.moved, [("m2", "p")])
        self.advance(timedelta(seconds=3))
        await eventually(lambda: ("m1", "p") in self.platform.moved)

    async def test_idle_machines_are_switched_off_down_to_the_minimum(self):
        self.make_fleet(*(make_vm(f"v{n}") for n in range(4)))
        self.begin()
        await asyncio.sleep(0.02)
        self.assertEqual(self.platform.moved, [])
        self.advance(CFG.rest_time)
        await eventually(lambda: len(self.platform.moved) == 2)
        await asyncio.sleep(0.05)
        self.assertEqual({pool for _, pool in self.platform.moved}, {"off"})
        self.assertEqual(len(self.platform.moved), 2)

    async def test_a_machine_claimed_by_a_wave_is_not_moved(self):
        self.make_fleet(*(make_vm(f"v{n}") for n in range(3)))
        self.begin()
        for number in range(3):
            self.machines.claim(f"m-v{number}", "a wave")
        self.advance(CFG.rest_time)
        await asyncio.sleep(0.05)
        self.assertEqual(self.platform.moved, [])

    async def test_a_run_placed_after_the_plan_cancels_the_move(self):
        self.make_fleet(*(make_vm(f"v{n}") for n in range(3)), jobs=[make_job()])
        self.begin()
        # The rest of a machine counts from the first round that finds it idle.
        await eventually(lambda: self.manager._idle_since)
        self.advance(CFG.rest_time)
        await eventually(lambda: self.manager._planned_pools or self.platform.moved)
        for machine in tuple(self.manager._planned_pools):
            self.run_task("j1", machine.removeprefix("m-"))
        await asyncio.sleep(0.05)
        moved = {machine for machine, _ in self.platform.moved}
        (run,) = [r for runs in self.state.runs.values() for r in runs.values()]
        self.assertNotIn(f"m-{run.vm_id}", moved)

    async def test_a_run_placed_while_the_move_is_recorded_cancels_it(self):
        """Guards against runs that end with a VM since their commit was in progress."""
        self.make_fleet(*(make_vm(f"v{n}") for n in range(3)), jobs=[make_job()])
        self.begin()
        placed = []

        def place(command):
            if isinstance(command, RecordMove) and not placed:
                placed.append(command.machine)
                self.run_task("j1", command.machine.removeprefix("m-"))

        self.term.on_command = place
        await eventually(lambda: self.manager._idle_since)
        self.advance(CFG.rest_time)
        await eventually(lambda: placed)
        await asyncio.sleep(0.05)
        self.assertNotIn(placed[0], {machine for machine, _ in self.platform.moved})

    async def test_a_replica_that_does_not_lead_moves_nothing(self):
        self.make_fleet(*(make_vm(f"v{n}") for n in range(4)))
        self.begin()
        self.term.is_leader = False
        self.advance(CFG.rest_time)
        await asyncio.sleep(0.05)
        self.assertEqual(self.platform.moved, [])
