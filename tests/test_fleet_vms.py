"""Tests of budgets, moves and maintenance of VMs in the replicated state."""

import unittest

from redwingslip.fleet import (
    Accepted,
    AssignDispatcher,
    BeginMaintenance,
    BeginMove,
    CompleteMaintenance,
    CompleteMove,
    ExpireEntry,
    MarkRebooted,
    NotAdmitted,
    RegisterEntry,
    ReportVm,
    SiteSpec,
    VmHealth,
    VmPhase,
    VmSpec,
    WaveSpec,
)

from .fleet_driver import FleetDriver


def two_pools() -> FleetDriver:
    """Return a fleet with two pools of three VMs each."""
    fleet = FleetDriver()
    for pool in ("a", "b"):
        fleet.add_pool(pool)
        for i in range(3):
            fleet.add_vm(f"{pool}{i}", pool)
    return fleet


class TestBudgets(unittest.TestCase):
    """VMs that count as unavailable."""

    def test_new_dispatcher_must_report_the_vms_first(self):
        """Health reports of a former dispatcher don't allow a VM to be drained."""
        fleet = two_pools()
        fleet.put("w", WaveSpec())
        begin = BeginMaintenance(vm="a0", wave="w")
        fleet.apply(ExpireEntry(entry_id="e", incarnation="1"))
        self.assertIsInstance(fleet.apply(begin), NotAdmitted)
        fleet.apply(RegisterEntry(entry_id="e", incarnation="2", address="here"))
        fleet.apply(AssignDispatcher(pool="a", entry_id="e", incarnation="2"))
        self.assertIsInstance(fleet.apply(begin), NotAdmitted)
        for vm in ("a0", "a1", "a2"):
            fleet.report(vm, VmHealth.UP)
        self.assertIsInstance(fleet.apply(begin), Accepted)

    def test_vm_that_never_served_does_not_count_while_it_drains(self):
        """A VM that first comes up during its drain does not count as unavailable."""
        fleet = two_pools()
        fleet.put("a3", VmSpec(pool="a", data_centre="d0"))
        fleet.put("w", WaveSpec())
        fleet.apply(BeginMaintenance(vm="a3", wave="w"))
        fleet.apply(BeginMaintenance(vm="a0", wave="w"))
        fleet.report("a3", VmHealth.UP)
        self.assertFalse(fleet.view.vms["a3"].joined)
        fleet.run_wave("w")
        self.assertTrue(fleet.view.vms["a3"].joined)


class TestMoves(unittest.TestCase):
    """The start and the completion of moves."""

    def test_move_is_admitted_only_to_the_desired_pool(self):
        """A move to a pool other than the one in the VM's specification is refused."""
        fleet = two_pools()
        move = BeginMove(vm="a0", to_pool="b")
        self.assertIsInstance(fleet.apply(move), NotAdmitted)
        fleet.put("a0", VmSpec(pool="b", data_centre="d0"))
        self.assertIsInstance(fleet.apply(move), Accepted)

    def test_loans_leave_spare_pools_only(self):
        """A VM is lent only from a spare pool, and only where the site allows it."""
        fleet = two_pools()
        fleet.add_pool("s", spare=True)
        fleet.add_vm("s0", "s")
        loan = BeginMove(vm="s0", to_pool="a", loan=True)
        self.assertIsInstance(fleet.apply(loan), NotAdmitted)
        fleet.put("default", SiteSpec(moves=True))
        other = BeginMove(vm="a0", to_pool="b", loan=True)
        self.assertIsInstance(fleet.apply(other), NotAdmitted)
        self.assertIsInstance(fleet.apply(loan), Accepted)

    def test_completion_of_an_earlier_drain_is_rejected(self):
        """A late completion of a cancelled move does not complete the next move."""
        fleet = two_pools()
        fleet.put("a0", VmSpec(pool="b", data_centre="d0"))
        fleet.plan()
        first = fleet.view.vms["a0"].drain_index
        fleet.put("a0", VmSpec(pool="a", data_centre="d0"))
        fleet.plan()
        self.assertIs(fleet.view.vms["a0"].phase, VmPhase.SERVING)
        fleet.put("a0", VmSpec(pool="b", data_centre="d0"))
        fleet.plan()
        epoch = fleet.view.dispatchers["a"].epoch
        late_command = CompleteMove(vm="a0", epoch=epoch, drain_index=first)
        self.assertIsInstance(fleet.apply(late_command), NotAdmitted)
        self.assertEqual(fleet.view.vms["a0"].pool, "a")

    def test_unwanted_move_is_not_completed(self):
        """A late completion does not override the VM's latest specification."""
        fleet = two_pools()
        fleet.put("a0", VmSpec(pool="b", data_centre="d0"))
        fleet.plan()
        complete = CompleteMove(
            vm="a0",
            epoch=fleet.view.dispatchers["a"].epoch,
            drain_index=fleet.view.vms["a0"].drain_index,
        )
        fleet.put("a0", VmSpec(pool="a", data_centre="d0"))
        self.assertIsInstance(fleet.apply(complete), NotAdmitted)


class TestMaintenance(unittest.TestCase):
    """Maintenance of one VM."""

    def setUp(self):
        """Start the maintenance of one VM."""
        self.fleet = two_pools()
        self.fleet.put("w", WaveSpec())
        self.fleet.apply(BeginMaintenance(vm="a0", wave="w"))
        self.before = self.fleet.view.vms["a0"]
        self.reboot = MarkRebooted(
            vm="a0", wave="w", drain_index=self.before.drain_index
        )
        self.complete = CompleteMaintenance(vm="a0", wave="w")

    def report(self, assigned_at: int):
        """Report that the VM's endpoints are up under an assignment."""
        epoch = self.fleet.view.dispatchers["a"].epoch
        return self.fleet.apply(
            ReportVm(
                vm="a0",
                pool="a",
                epoch=epoch,
                assigned_at=assigned_at,
                health=VmHealth.UP,
            )
        )

    def test_only_endpoints_started_after_the_reboot_complete_maintenance(self):
        """A report from before the reboot does not complete the maintenance."""
        self.fleet.apply(self.reboot)
        self.assertIsInstance(self.fleet.apply(self.complete), NotAdmitted)
        late_outcome = self.report(self.before.assigned_at)
        self.assertIsInstance(late_outcome, NotAdmitted)
        self.assertIsInstance(self.fleet.apply(self.complete), NotAdmitted)
        self.report(self.fleet.view.vms["a0"].assigned_at)
        self.assertIsInstance(self.fleet.apply(self.complete), Accepted)

    def test_unrebooted_vm_is_not_completed(self):
        """The maintenance of a VM that was not rebooted can't be completed."""
        self.assertIsInstance(self.fleet.apply(self.complete), NotAdmitted)

    def test_reboot_is_marked_once(self):
        """A duplicate of `MarkRebooted` is refused.

        It would raise the fencing token and so invalidate the endpoints' reports.
        """
        self.assertIsInstance(self.fleet.apply(self.reboot), Accepted)
        self.assertIsInstance(self.fleet.apply(self.reboot), NotAdmitted)


if __name__ == "__main__":
    unittest.main()
