"""Tests of the planner of moves between pools."""

import unittest
from datetime import timedelta

from redwingslip.fleet import DeleteResource, Kind, SiteSpec, VmPhase, VmSpec
from redwingslip.peers._messages import PoolDemand, TeamDemand

from .fleet_driver import FleetDriver

MINUTE = timedelta(minutes=1)


def fleet_with_spare_pool(moves: bool = True, spare: int = 2) -> FleetDriver:
    """Return a fleet with pools a and b of three VMs and a spare pool s."""
    fleet = FleetDriver()
    fleet.put("default", SiteSpec(moves=moves))
    for pool in ("a", "b"):
        fleet.add_pool(pool)
        for i in range(3):
            fleet.add_vm(f"{pool}{i}", pool)
    fleet.add_pool("s", spare=True, max_unavailable=2)
    for i in range(spare):
        fleet.add_vm(f"s{i}", "s")
    return fleet


def report_demand(fleet, pool: str, n_waiting: int, n_idle: int = 0) -> None:
    """Report the demand of a pool to the planner."""
    teams = (TeamDemand(team="t", n_running=0, n_waiting=n_waiting),)
    msg = PoolDemand(pool=pool, epoch=1, teams=teams, n_slots=24, n_idle=n_idle)
    fleet.moves.handle_demand(msg, fleet.now)


def pool_of(fleet, vm: str) -> str:
    """Return the pool that a VM belongs to."""
    return fleet.view.vms[vm].pool


class TestOperatorsMoves(unittest.TestCase):
    """Moves requested by the operator."""

    def test_vms_leave_a_pool_within_its_budget(self):
        """All VMs of a pool move one at a time if max_unavailable is 1."""
        fleet = fleet_with_spare_pool()
        for i in range(3):
            fleet.put(f"a{i}", VmSpec(pool="b", data_centre="d0"))
        n_unavailable = []
        for _ in range(20):
            fleet.step()
            unavailable = [vm for vm in fleet.view.vms_of("a") if not vm.is_available]
            n_unavailable.append(len(unavailable))
        self.assertEqual({pool_of(fleet, f"a{i}") for i in range(3)}, {"b"})
        self.assertEqual(max(n_unavailable), 1)

    def test_withdrawn_move_is_cancelled(self):
        """A VM whose move is withdrawn during the drain returns to service."""
        fleet = fleet_with_spare_pool()
        assigned_at = fleet.view.vms["a0"].assigned_at
        fleet.put("a0", VmSpec(pool="b", data_centre="d0"))
        fleet.plan()
        self.assertIs(fleet.view.vms["a0"].phase, VmPhase.LEAVING)
        fleet.put("a0", VmSpec(pool="a", data_centre="d0"))
        fleet.plan()
        self.assertTrue(fleet.view.vms["a0"].is_available)
        self.assertEqual(fleet.view.vms["a0"].assigned_at, assigned_at)

    def test_blocked_move_is_reported(self):
        """A move that a budget prevents is reported with the reason."""
        fleet = FleetDriver()
        fleet.add_pool("a", min_serving=1)
        fleet.add_pool("b")
        fleet.add_vm("a0", "a")
        fleet.put("a0", VmSpec(pool="b", data_centre="d0"))
        fleet.step()
        (blocked,) = fleet.moves.blocked(fleet.view)
        self.assertEqual((blocked.vm, blocked.to_pool), ("a0", "b"))
        self.assertIn("1 VMs must be able to serve", blocked.reason)

    def test_removed_vm_leaves_the_view_once_drained(self):
        """A deleted VM leaves the fleet after it has drained."""
        fleet = fleet_with_spare_pool()
        fleet.apply(DeleteResource(kind=Kind.VM, name="a0"))
        fleet.plan()
        self.assertIn("a0", fleet.view.vms)
        fleet.step()
        self.assertNotIn("a0", fleet.view.vms)


class TestLoans(unittest.TestCase):
    """Loans of spare VMs according to persistent demand."""

    def report_demand_for(
        self, fleet, minutes: int, n_waiting, n_idle=lambda second: 0
    ) -> None:
        """Step once a second and report the demand of pool a."""
        for second in range(minutes * 60):
            fleet.step()
            report_demand(fleet, "a", n_waiting(second), n_idle(second))

    def test_long_shortage_borrows_a_vm_and_returns_it(self):
        """A persistently short pool borrows a spare VM and returns it when idle."""
        fleet = fleet_with_spare_pool()
        self.report_demand_for(fleet, 6, lambda second: 8)
        lent = [vm for vm in fleet.view.vms_of("a") if vm.lent]
        self.assertEqual(len(lent), 1)
        self.report_demand_for(fleet, 7, lambda second: 0, lambda second: 16)
        self.assertEqual(len(fleet.view.vms_of("s")), 2)
        self.assertFalse(any(vm.lent for vm in fleet.view.vms.values()))

    def test_peaks_do_not_keep_a_lent_vm(self):
        """A pool that is idle except for short peaks returns its lent VM."""
        fleet = fleet_with_spare_pool(spare=1)
        self.report_demand_for(fleet, 6, lambda second: 8)
        self.assertEqual(pool_of(fleet, "s0"), "a")
        self.report_demand_for(
            fleet,
            7,
            lambda second: 100 if second % 60 < 5 else 0,
            lambda second: 0 if second % 60 < 5 else 20,
        )
        self.assertEqual(pool_of(fleet, "s0"), "s")

    def test_peak_of_a_few_seconds_moves_nothing(self):
        """High peaks with gaps between them do not move a VM."""
        fleet = fleet_with_spare_pool()
        self.report_demand_for(fleet, 30, lambda second: 200 if second % 30 < 10 else 0)
        self.assertEqual(len(fleet.view.vms_of("s")), 2)

    def test_oscillating_demand_does_not_move_vms_back_and_forth(self):
        """Demand that oscillates around a pool's size moves no VM back and forth."""
        fleet = fleet_with_spare_pool()
        self.report_demand_for(
            fleet,
            60,
            lambda second: 8 if second // 360 % 2 == 0 else 0,
            lambda second: 0 if second // 360 % 2 == 0 else 8,
        )
        self.assertEqual(fleet.n_moves, 2)

    def test_shortage_below_the_price_moves_nothing(self):
        """A shortage that costs less than a move causes no loan."""
        fleet = fleet_with_spare_pool()
        fleet.put("default", SiteSpec(moves=True, move_price=6_000))
        self.report_demand_for(fleet, 10, lambda second: 8)
        self.assertEqual(len(fleet.view.vms_of("s")), 2)

    def test_waiting_beside_idle_slots_moves_nothing(self):
        """Work that waits because of its team's limit causes no loan."""
        fleet = fleet_with_spare_pool()
        self.report_demand_for(fleet, 10, lambda second: 50, lambda second: 4)
        self.assertEqual(len(fleet.view.vms_of("s")), 2)

    def test_smaller_vm_is_not_lent(self):
        """A spare VM that is smaller than every VM of the pool is not lent to it."""
        fleet = fleet_with_spare_pool(spare=2)
        for i in range(3):
            spec = VmSpec(pool="a", data_centre="d0", accelerators=2)
            fleet.put(f"a{i}", spec)
        fleet.put("s1", VmSpec(pool="s", data_centre="d0", accelerators=2))
        self.report_demand_for(fleet, 6, lambda second: 16)
        self.assertEqual(pool_of(fleet, "s0"), "s")
        self.assertEqual(pool_of(fleet, "s1"), "a")

    def test_disabling_moves_returns_lent_vms(self):
        """Lent VMs return when the site no longer allows moves."""
        fleet = fleet_with_spare_pool()
        self.report_demand_for(fleet, 6, lambda second: 8)
        fleet.put("default", SiteSpec(moves=False))
        for _ in range(10):
            fleet.step()
        self.assertEqual(len(fleet.view.vms_of("s")), 2)

    def test_site_without_moves_lends_nothing(self):
        """No VM is lent if the site does not allow moves."""
        fleet = fleet_with_spare_pool(moves=False)
        self.report_demand_for(fleet, 10, lambda second: 50)
        self.assertEqual(len(fleet.view.vms_of("s")), 2)

    def test_operators_pool_overrides_a_loan(self):
        """A new desired pool for a lent VM ends the loan."""
        fleet = fleet_with_spare_pool(spare=1)
        self.report_demand_for(fleet, 6, lambda second: 8)
        self.assertEqual(pool_of(fleet, "s0"), "a")
        fleet.put("s0", VmSpec(pool="b", data_centre="d0"))
        for _ in range(10):
            fleet.step()
        self.assertEqual(pool_of(fleet, "s0"), "b")


if __name__ == "__main__":
    unittest.main()
