"""Tests of maintenance waves over fakes."""

import asyncio
from datetime import timedelta
from unittest import mock

import msgspec

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    EndKind,
    RecordEnds,
    RecordMaintenance,
    RecordMove,
    RunEnd,
    RunStart,
    StartRuns,
    StartWave,
    TaskKey,
)
from redwingslip.scheduling import (
    LeaderPolicy,
    ListedRun,
    MachineOutcome,
    MachineRegistry,
    WaveManager,
    WaveSettings,
)
from redwingslip.scheduling._machines import RECALL_TIME
from tests.support_scheduling import (
    FakeEndpoints,
    FakePlatform,
    FakeTerm,
    eventually,
    make_agent,
    make_job,
    make_state,
    make_vm,
)
from tests.support_virtual_time import VirtualTimeTestCase

CFG = WaveSettings(
    interval=timedelta(milliseconds=2), retry_delay=timedelta(milliseconds=5)
)
TAKEOVER_DELAY = timedelta(seconds=3)
GONE = (MachineOutcome.UNKNOWN_MACHINE, MachineOutcome.NOT_OF_WAVE)


class TestWaveManager(VirtualTimeTestCase):
    """Budgets, limits and pace of a wave, and changes of leader."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.platform = FakePlatform()

    def build(
        self,
        *vms,
        job=None,
        max_at_once=1,
        duration_ms=20_000,
        untouched=(),
        cfg=CFG,
    ):
        """Run a manager with a wave over the machines of the given VMs.

        An earlier leader has just given an order for each machine, except those of the
        `untouched` VMs.
        """
        self.state = make_state(*vms, jobs=[job] if job else [])
        self.term = term = FakeTerm(self.state, self.clock)
        self.agents = {}
        self.endpoints = FakeEndpoints()
        for vm in vms:
            agent = make_agent(vm, self.endpoints.of_vm(vm.vm_id), term)
            agent._has_renewed_lease = True
            self.agents[vm.vm_id] = agent
        self.state.apply(
            StartWave(
                number=1,
                machines=tuple(vm.machine for vm in vms),
                duration_ms=duration_ms,
                max_at_once=max_at_once,
                now_ms=term.now_ms(),
            )
        )

        def drop_agent(command):
            vm_id = getattr(command, "vm_id", None)
            if vm_id in self.agents and vm_id not in self.state.vms:
                del self.agents[vm_id]

        term.on_command = drop_agent
        for vm in vms:
            if vm.vm_id not in untouched:
                move = RecordMove(machine=vm.machine, now_ms=term.now_ms())
                self.state.apply(move)
        self.machines = MachineRegistry(
            term, self.agents, takeover_delay=TAKEOVER_DELAY
        )
        manager = WaveManager(
            term=term,
            machines=self.machines,
            operations=self.platform,
            backlog={},
            cfg=LeaderPolicy(waves=cfg),
        )
        task = asyncio.create_task(manager.run())
        self.addCleanup(task.cancel)

    def run_task(self, index, vm_id, percent=100):
        """Start a task on a VM and list it with a progress; 100 means at work."""
        key = TaskKey("j1", 0, 0, index)
        self.state.apply(StartRuns(starts=(RunStart(key, vm_id, 1),), now_ms=1))
        self.agents[vm_id].listed_runs[(key, 1)] = ListedRun(key, 1, "", percent)
        self.endpoints.of_vm(vm_id).runs[(key, 1)] = percent

    def wait_for_takeover(self):
        self.clock.advance(TAKEOVER_DELAY)
        for agent in self.agents.values():
            agent.lease.note_contact(self.clock.monotonic())

    def build_cordoned(self):
        """Cordon a machine that has two tasks of a budget of one and can't be left."""
        job = make_job(n_tasks=2, is_long_running=True, disruption_budget=1)
        self.build(make_vm("v1"), job=job, untouched=["v1"])
        for index in range(2):
            self.run_task(index, "v1")
        return eventually(lambda: self.machines.is_claimed("m-v1"))

    async def test_a_cordon_gives_way_to_a_recall_and_comes_back(self):
        """Guards against a wave that waits for a task which waits for the wave."""
        await self.build_cordoned()
        self.assertTrue(self.machines.recall("m-v1"))
        await asyncio.sleep(0.03)
        self.assertFalse(self.machines.is_claimed("m-v1"))
        self.assertEqual(self.platform.maintained, [])
        self.clock.advance(RECALL_TIME)
        await eventually(lambda: self.machines.is_claimed("m-v1"))

    async def test_a_machine_whose_maintenance_may_be_ordered_is_not_recalled(self):
        """Guards against runs on a machine that the platform may end at any moment."""
        await self.build_cordoned()
        command = RecordMaintenance(number=1, now_ms=1, ordered=("m-v1",))
        self.state.apply(command)
        self.assertFalse(self.machines.recall("m-v1"))
        self.assertTrue(self.machines.is_claimed("m-v1"))

    async def test_a_new_leader_does_not_wait_for_machines_without_an_order(self):
        self.build(make_vm("v1"), make_vm("v2"), max_at_once=2, untouched=["v2"])
        await eventually(lambda: self.platform.maintained)
        await asyncio.sleep(0.03)
        self.assertEqual(self.platform.maintained, ["m-v2"])

    async def test_a_vm_is_kept_if_an_earlier_order_may_have_been_carried_out(self):
        """Guards against tasks that start elsewhere while they run on a VM.

        The platform answers an order that it has carried out before as it does a new
        one, and the VM that came back goes on.
        """
        for is_ordered in (False, True):
            with self.subTest(is_ordered=is_ordered):
                self.platform = FakePlatform()
                job = make_job(is_long_running=True, disruption_budget=1)
                self.build(make_vm("v1"), job=job, max_at_once=2)
                if is_ordered:
                    command = RecordMaintenance(number=1, ordered=("m-v1",), now_ms=1)
                    self.state.apply(command)
                self.run_task(0, "v1")
                self.wait_for_takeover()
                await eventually(lambda: self.state.waves[1].is_complete)
                await asyncio.sleep(0.02)
                self.assertEqual(self.platform.maintained, ["m-v1"])
                self.assertEqual(bool(self.state.runs_of("v1")), is_ordered)

    async def test_a_vm_is_kept_if_a_repeated_order_was_refused_in_between(self):
        """Guards against a lost order that is forgotten once a later one is refused.

        The lost order was carried out, and the VM that came back goes on.
        """
        for refusal in (MachineOutcome.BUSY, MachineOutcome.LATER):
            with self.subTest(refusal=refusal):
                self.platform = FakePlatform()
                self.platform.answers = [MachineOutcome.NO_ANSWER, refusal]
                job = make_job(is_long_running=True, disruption_budget=1)
                self.build(make_vm("v1"), job=job, max_at_once=2)
                self.run_task(0, "v1")
                self.wait_for_takeover()
                for n_orders in (1, 2):
                    await eventually(
                        lambda n=n_orders: len(self.platform.maintained) == n
                    )
                    await asyncio.sleep(0.01)
                    self.clock.advance(CFG.retry_delay)
                await eventually(lambda: self.state.waves[1].is_complete)
                await asyncio.sleep(0.02)
                self.assertEqual(len(self.platform.maintained), 3)
                self.assertTrue(self.state.runs_of("v1"))

    async def test_an_order_without_an_answer_is_repeated_at_the_limit(self):
        """Guards against a wave that waits for good for the outcome of its orders."""
        self.platform.answers = [MachineOutcome.NO_ANSWER]
        self.build(make_vm("v1"), make_vm("v2"))
        self.wait_for_takeover()
        await eventually(lambda: self.platform.maintained == ["m-v1"])
        # The delay counts from the outcome of the order, which is not known yet.
        await asyncio.sleep(0.01)
        self.clock.advance(CFG.retry_delay)
        await eventually(lambda: self.platform.maintained == ["m-v1", "m-v1"])

    async def test_a_machine_is_down_until_its_kept_vm_answers_again(self):
        """Guards against more machines in maintenance at a time than allowed."""
        self.build(make_vm("v1"), make_vm("v2"))
        self.state.apply(RecordMaintenance(number=1, ordered=("m-v1",), now_ms=1))
        self.wait_for_takeover()
        await eventually(lambda: self.platform.maintained)
        # An answer counts only if it comes after the outcome of the order.
        await eventually(lambda: self.state.waves[1].begun)
        self.clock.advance(timedelta(milliseconds=10))
        await asyncio.sleep(0.03)
        self.assertEqual(self.platform.maintained, ["m-v1"])
        self.agents["v1"].lease.note_contact(self.clock.monotonic())
        await eventually(lambda: self.platform.maintained == ["m-v1", "m-v2"])

    async def test_a_new_leader_waits_for_machines_with_a_recent_order(self):
        self.build(make_vm("v1"))
        await asyncio.sleep(0.03)
        self.assertEqual(self.platform.maintained, [])
        self.wait_for_takeover()
        await eventually(lambda: self.platform.maintained == ["m-v1"])

    async def test_machines_that_are_off_come_last_while_a_pool_lacks_machines(self):
        """That pool may need them; machines of pools without a backlog go first."""
        self.build(make_vm("v1"), untouched=["v1"], duration_ms=20_000)
        self.state.apply(
            StartWave(
                number=2,
                machines=("m-off", "m-v1"),
                duration_ms=20_000,
                max_at_once=1,
                now_ms=1,
            )
        )
        self.state.waves[1].gone.add("m-v1")
        self.machines.is_short = True
        await eventually(lambda: self.platform.maintained)
        self.assertEqual(self.platform.maintained, ["m-v1"])

    async def test_a_wave_ends_when_every_machine_has_begun(self):
        self.build(make_vm("v1"), make_vm("v2"), max_at_once=2, duration_ms=4_000)
        self.wait_for_takeover()
        await eventually(lambda: self.state.waves[1].is_complete)
        self.assertEqual(sorted(self.platform.maintained), ["m-v1", "m-v2"])

    async def test_no_more_machines_are_down_than_the_wave_allows(self):
        self.build(make_vm("v1"), make_vm("v2"), duration_ms=4_000)
        self.wait_for_takeover()
        await eventually(lambda: self.platform.maintained)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.platform.maintained), 1, "the first is not back")

    async def test_two_machines_with_tasks_of_one_step_are_not_down_together(self):
        """The first machine's task is listed as at work until the order is sent."""
        job = make_job(n_tasks=2, is_long_running=True, disruption_budget=1)
        self.build(
            make_vm("v1"), make_vm("v2"), job=job, max_at_once=2, duration_ms=4_000
        )
        self.run_task(0, "v1")
        self.run_task(1, "v2")
        self.wait_for_takeover()
        await eventually(lambda: self.platform.maintained)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.platform.maintained), 1)

    # AVAIL: a task counted as at work for 2.2 s after the last answer of its VM.
    async def test_no_machine_is_maintained_beside_a_vm_that_does_not_answer(self):
        """Guards against maintenance of a machine just after the end of another VM."""
        job = make_job(n_tasks=2, is_long_running=True, disruption_budget=1)
        self.build(make_vm("v1"), make_vm("v2"), job=job, duration_ms=4_000)
        self.state.waves[1].gone.add("m-v2")
        self.run_task(0, "v1")
        self.run_task(1, "v2")
        self.endpoints.of_vm("v2").is_unresponsive = True
        self.wait_for_takeover()
        await asyncio.sleep(0.05)
        self.assertEqual(self.platform.maintained, [])
        self.assertTrue(self.machines.is_claimed("m-v1"))
        self.endpoints.of_vm("v2").is_unresponsive = False
        await eventually(lambda: self.platform.maintained == ["m-v1"])

    async def test_a_machine_that_left_the_wave_after_an_order_holds_up_no_other(self):
        """Guards against a wave that waits for ever for a machine it gave up."""
        for outcome in (MachineOutcome.NOT_OF_WAVE, MachineOutcome.UNKNOWN_MACHINE):
            with self.subTest(outcome=outcome):
                self.platform = FakePlatform()
                self.platform.answers = [outcome]
                job = make_job(n_tasks=2, is_long_running=True, disruption_budget=1)
                self.build(make_vm("v1"), make_vm("v2"), job=job, duration_ms=4_000)
                for index in range(2):
                    self.run_task(index, f"v{1 + index}")
                command = RecordMaintenance(number=1, ordered=("m-v1",), now_ms=1)
                self.state.apply(command)
                self.wait_for_takeover()
                await eventually(lambda: self.state.waves[1].gone)
                # Its VM may have ended by the order; an answer shows that it has not.
                self.clock.advance(timedelta(milliseconds=10))
                for agent in self.agents.values():
                    agent.lease.note_contact(self.clock.monotonic())
                await eventually(lambda: self.state.waves[1].is_complete)
                self.assertEqual(self.platform.maintained, ["m-v1", "m-v2"])

    async def test_a_run_that_starts_while_an_order_is_recorded_delays_it(self):
        """Guards against runs that end with a VM since their commit was in progress."""
        self.build(make_vm("v1"), job=make_job(), untouched=["v1"])
        started = []

        def start(command):
            is_order = isinstance(command, RecordMaintenance) and command.ordered
            if is_order and not started:
                started.append(command)
                self.run_task(0, "v1", percent=10)

        self.term.on_command = start
        await eventually(lambda: started)
        await asyncio.sleep(0.03)
        self.assertEqual(self.platform.maintained, [])
        self.assertTrue(self.state.runs_of("v1"))
        self.assertEqual(self.state.waves[1].ordered, {})
        self.clock.advance(CFG.max_drain)
        await eventually(lambda: self.platform.maintained == ["m-v1"])

    async def test_a_task_that_ends_while_an_order_is_recorded_delays_it(self):
        """Guards against maintenance beside a task that has ended meanwhile."""
        job = make_job(n_tasks=2, is_long_running=True, disruption_budget=1)
        self.build(make_vm("v1"), make_vm("v2"), job=job, duration_ms=4_000)
        self.state.waves[1].gone.add("m-v2")
        for index in range(2):
            self.run_task(index, f"v{1 + index}")

        def end(command):
            if isinstance(command, RecordMaintenance) and command.ordered:
                ends = (RunEnd(TaskKey("j1", 0, 0, 1), 1, EndKind.LOST),)
                self.state.apply(RecordEnds(vm_id="v2", born_ms=1, ends=ends, now_ms=2))

        self.term.on_command = end
        self.wait_for_takeover()
        await eventually(lambda: not self.state.runs_of("v2"))
        await asyncio.sleep(0.03)
        self.assertEqual(self.platform.maintained, [])

    async def test_a_cordoned_machine_is_evacuated_before_its_maintenance(self):
        job = make_job(n_tasks=2, is_long_running=True, disruption_budget=1)
        self.build(make_vm("v1"), make_vm("v2"), job=job, duration_ms=4_000)
        self.state.waves[1].gone.add("m-v2")
        for index in range(2):
            self.run_task(index, "v1")
        self.wait_for_takeover()
        stopping = self.agents["v1"].is_stopping
        await eventually(lambda: stopping(TaskKey("j1", 0, 0, 0), 1))
        self.assertFalse(stopping(TaskKey("j1", 0, 0, 1), 1))
        self.assertEqual(self.platform.maintained, [])

    async def test_a_leader_that_loses_its_lease_before_an_order_sends_nothing(self):
        self.build(make_vm("v1"), untouched=["v1"])

        def lose_leadership(command):
            self.term.is_leader = False

        self.term.on_command = lose_leadership
        await eventually(lambda: self.state.waves[1].ordered)
        await asyncio.sleep(0.02)
        self.assertEqual(self.platform.maintained, [])

    async def test_an_unavailable_task_delays_the_next_machine(self):
        job = make_job(n_tasks=2, is_long_running=True, disruption_budget=1)
        self.build(make_vm("v1"), job=job, duration_ms=4_000)
        self.run_task(0, "v1")
        self.wait_for_takeover()
        await asyncio.sleep(0.05)
        self.assertEqual(self.platform.maintained, [], "task 1 has no run")

    async def test_the_claim_ends_when_the_maintenance_has_begun(self):
        self.build(make_vm("v1"))
        self.wait_for_takeover()
        await eventually(lambda: self.state.waves[1].is_complete)
        await eventually(lambda: not self.machines.is_claimed("m-v1"))

    async def test_a_machine_stays_claimed_until_its_vm_is_removed_from_the_state(self):
        """Otherwise a round of placement would place runs on a VM that has ended."""
        self.build(make_vm("v1"))
        known_at_release = []
        release = MachineRegistry.release

        def watch(registry, machine, claimant):
            known_at_release.append("v1" in self.state.vms)
            release(registry, machine, claimant)

        with mock.patch.object(MachineRegistry, "release", watch):
            self.wait_for_takeover()
            await eventually(lambda: known_at_release)
        self.assertEqual(known_at_release, [False])

    async def test_an_order_for_a_busy_machine_is_retried(self):
        self.platform.answers = [MachineOutcome.BUSY]
        self.build(make_vm("v1"))
        self.wait_for_takeover()
        # The record of the order is withdrawn when the platform has refused it.
        await eventually(
            lambda: self.platform.maintained and not self.state.waves[1].ordered
        )
        self.clock.advance(timedelta(seconds=1))
        await eventually(lambda: len(self.platform.maintained) == 2)

    async def test_an_unknown_machine_does_not_keep_the_wave_open(self):
        self.platform.answers = [MachineOutcome.UNKNOWN_MACHINE]
        self.build(make_vm("v1"))
        self.wait_for_takeover()
        await eventually(lambda: self.state.waves[1].is_complete)

    async def test_a_machine_that_left_a_wave_does_not_count_as_down(self):
        """Guards against a wave that waits for good for a machine out of it."""
        for outcome in GONE:
            with self.subTest(outcome=outcome):
                self.platform = FakePlatform()
                self.platform.answers = [outcome]
                self.build(make_vm("v1"), make_vm("v2"))
                self.wait_for_takeover()
                await eventually(lambda: self.state.waves[1].is_complete)
                self.assertEqual(self.state.waves[1].gone, {"m-v1"})
                self.assertEqual(self.platform.maintained, ["m-v1", "m-v2"])

    async def test_a_machine_that_left_a_wave_after_a_lost_answer_counts_for_a_time(
        self,
    ):
        """Guards against a wave that waits for good for an order without an answer."""
        self.platform.answers = [MachineOutcome.NOT_OF_WAVE]
        self.build(make_vm("v1"), make_vm("v2"))
        command = RecordMaintenance(number=1, ordered=("m-v1",), now_ms=1)
        self.state.apply(command)
        self.wait_for_takeover()
        await eventually(lambda: self.state.waves[1].gone)
        await asyncio.sleep(0.03)
        self.assertEqual(self.platform.maintained, ["m-v1"], "its VM may have ended")
        self.clock.advance(timedelta(milliseconds=10))
        self.agents["v1"].lease.note_contact(self.clock.monotonic())
        await eventually(lambda: self.state.waves[1].is_complete)
        self.assertEqual(self.platform.maintained, ["m-v1", "m-v2"])

    async def test_a_machine_claimed_by_a_move_is_not_maintained(self):
        self.build(make_vm("v1"))
        self.machines.claim("m-v1", "a move")
        self.wait_for_takeover()
        await asyncio.sleep(0.03)
        self.assertEqual(self.platform.maintained, [])

    async def test_a_long_chain_of_tasks_is_begun_before_the_easy_machines(self):
        """Guards against keeping the tasks that leave one by one to the end of a wave.

        Four tasks with a budget of one need four rounds of 2.5 s of the 13 s that the
        wave has without its reserve. Machines without runs are maintained in any case.
        """
        job = make_job(n_tasks=4, is_long_running=True, disruption_budget=1)
        vms = [make_vm(f"v{i}") for i in range(8)]
        cfg = msgspec.structs.replace(CFG, critical_share=0.5)
        self.build(
            *vms,
            job=job,
            max_at_once=2,
            untouched=[vm.vm_id for vm in vms],
            cfg=cfg,
        )
        for index in range(4):
            self.run_task(index, f"v{index + 4}")
        await eventually(lambda: self.platform.maintained)
        self.assertIn(self.platform.maintained[0], {"m-v4", "m-v5"})

    async def test_short_tasks_delay_a_machine_for_max_drain_only(self):
        self.build(make_vm("v1"), job=make_job(), duration_ms=4_000)
        self.run_task(0, "v1", percent=10)
        self.wait_for_takeover()
        await asyncio.sleep(0.03)
        self.assertEqual(self.platform.maintained, [])
        self.clock.advance(CFG.max_drain)
        await eventually(lambda: self.platform.maintained)
