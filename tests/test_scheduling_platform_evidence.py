"""Tests of what the platform's list of machines tells of silent VMs."""

import asyncio
from datetime import timedelta

from redwingslip.jobs import EndKind, RecordEnds, RunEnd, SilentVm, TaskKey
from redwingslip.placement import ArrivalSettings, ArrivalTrend
from redwingslip.scheduling import (
    LeaderPolicy,
    MachineState,
    MachineView,
    MoveManager,
    MoveSettings,
)
from redwingslip.scheduling._platform_evidence import find_ended
from tests.support_scheduling import FakePlatform, eventually, make_job, make_vm
from tests.test_scheduling_moves import FleetTestCase

KEY = TaskKey("j1", 0, 0, 0)
SILENT = SilentVm("v1", 1, "m-v1", "v1:1", 0)
OTHER = MachineView(machine="m-v2", pool="p", state=MachineState.UP, vm_id="v2")


def listed(state, vm_id=""):
    """Return the view of the machine of the silent VM."""
    return MachineView(machine="m-v1", pool="p", state=state, vm_id=vm_id)


class TestFindEnded(FleetTestCase):
    """Which entries of the list prove that a silent VM has ended."""

    def reasons(self, *views, is_known=True):
        """Return why the silent VM is taken to have ended."""
        self.make_fleet(*([make_vm()] if is_known else []))
        by_machine = {view.machine: view for view in (*views, OTHER)}
        return [reason for _, reason in find_ended([SILENT], by_machine, self.state)]

    def test_vm_that_may_be_alive(self):
        """Guards against a job that is given up for VMs that were out of reach."""
        for view in (
            listed(MachineState.UP, "v1"),
            listed(MachineState.UP),
            listed(MachineState.MOVING),
            listed(MachineState.MAINTENANCE),
        ):
            with self.subTest(view=view):
                self.assertEqual(self.reasons(view), [])

    def test_vm_that_has_ended(self):
        """Guards against a task that waits for VMs that are gone for good."""
        for view in (listed(MachineState.DOWN), listed(MachineState.UP, "v9")):
            with self.subTest(view=view):
                self.assertEqual(len(self.reasons(view)), 1)

    def test_machine_that_is_not_listed(self):
        """Guards against an entry that can't be decoded and is taken for a crash."""
        self.assertEqual(self.reasons(), [])
        self.assertEqual(len(self.reasons(is_known=False)), 1)

    def test_empty_list(self):
        """Guards against a platform that lists no machines at all."""
        self.make_fleet()
        self.assertEqual(list(find_ended([SILENT], {}, self.state)), [])


class TestMoveManager(FleetTestCase):
    """What the leader does with the list."""

    async def begin(self, *, n_silent_lists):
        """Let the platform list the silent VM's machine as up, and then as down."""
        vm = make_vm()
        self.make_fleet(vm, jobs=[make_job()])
        self.run_task("j1", "v1")
        platform = FakePlatform()
        platform.machines = (listed(MachineState.UP, "v1"),)
        self.n_lists = 0
        list_machines = platform.list_machines

        async def count():
            self.n_lists += 1
            if self.n_lists > n_silent_lists:
                platform.machines = (listed(MachineState.DOWN),)
            return await list_machines()

        platform.list_machines = count
        end = RunEnd(KEY, 1, EndKind.LOST)
        command = RecordEnds(
            vm_id="v1", born_ms=1, ends=(end,), now_ms=2, is_silent=True
        )
        self.state.apply(command)
        manager = MoveManager(
            term=self.term,
            machines=self.machines,
            operations=platform,
            backlog={},
            cfg=LeaderPolicy(
                moves=MoveSettings(list_interval=timedelta(milliseconds=2))
            ),
            trend=ArrivalTrend(ArrivalSettings()),
        )
        task = asyncio.create_task(manager.run())
        self.addCleanup(task.cancel)

    async def test_silent_vm_on_a_machine_that_is_down_has_crashed(self):
        """Guards against a crash that counts only when the VM is back, if ever."""
        await self.begin(n_silent_lists=5)
        await eventually(lambda: self.n_lists > 4)
        self.assertEqual(self.state.task(KEY).n_crashes, 0)
        await eventually(lambda: self.state.task(KEY).n_crashes == 1)
        self.assertEqual(self.state.task(KEY).silent_vms, [])
        self.assertNotIn("v1", self.state.vms)
