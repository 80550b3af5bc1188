"""Tests of VMs between pools and maintenance, as the replicated state sees them."""

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
    """What counts as out."""

    def test_new_dispatcher_has_to_see_the_vms_first(self):
        """No VM is taken on the word of a dispatcher that is gone."""
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
        """A first announcement during a drain takes nothing from the budget."""
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
    """Moves and their ends."""

    def test_only_the_wished_pool_is_admitted(self):
        """A proposal that the operator's latest wish contradicts is refused."""
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

    def test_end_of_an_earlier_drain_ends_no_later_one(self):
        """A late word on a cancelled move does not complete the next one."""
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
        late = CompleteMove(vm="a0", epoch=epoch, drain_index=first)
        self.assertIsInstance(fleet.apply(late), NotAdmitted)
        self.assertEqual(fleet.view.vms["a0"].pool, "a")

    def test_move_that_nobody_wants_any_more_is_not_completed(self):
        """A late completion does not undo the operator's latest wish."""
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
        """Bring one VM to its reboot."""
        self.fleet = two_pools()
        self.fleet.put("w", WaveSpec())
        self.fleet.apply(BeginMaintenance(vm="a0", wave="w"))
        self.before = self.fleet.view.vms["a0"]
        self.reboot = MarkRebooted(
            vm="a0", wave="w", drain_index=self.before.drain_index
        )
        self.complete = CompleteMaintenance(vm="a0", wave="w")

    def report(self, assigned_at: int):
        """Report that endpoints of an assignment are up."""
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

    def test_only_endpoints_from_after_the_reboot_end_it(self):
        """A report from before the reboot does not give the budget back."""
        self.fleet.apply(self.reboot)
        self.assertIsInstance(self.fleet.apply(self.complete), NotAdmitted)
        late = self.report(self.before.assigned_at)
        self.assertIsInstance(late, NotAdmitted)
        self.assertIsInstance(self.fleet.apply(self.complete), NotAdmitted)
        self.report(self.fleet.view.vms["a0"].assigned_at)
        self.assertIsInstance(self.fleet.apply(self.complete), Accepted)

    def test_unrebooted_vm_is_not_completed(self):
        """A VM that is up in its drain has not been maintained."""
        self.assertIsInstance(self.fleet.apply(self.complete), NotAdmitted)

    def test_reboot_is_marked_once(self):
        """A doubled word on the reboot does not void the endpoints' reports."""
        self.assertIsInstance(self.fleet.apply(self.reboot), Accepted)
        self.assertIsInstance(self.fleet.apply(self.reboot), NotAdmitted)


if __name__ == "__main__":
    unittest.main()
