"""Tests of the planner of moves between pools."""

import unittest
from datetime import timedelta

from redwingslip.fleet import DeleteResource, Kind, SiteSpec, VmPhase, VmSpec
from redwingslip.peers._messages import PoolDemand, TeamDemand

from .fleet_driver import FleetDriver

MINUTE = timedelta(minutes=1)


def site(moves: bool = True, spare: int = 2) -> FleetDriver:
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


def ask(fleet, pool: str, n_waiting: int, n_idle: int = 0) -> None:
    """Report what a pool is asked for."""
    teams = (TeamDemand(team="t", n_running=0, n_waiting=n_waiting),)
    msg = PoolDemand(pool=pool, epoch=1, teams=teams, n_slots=24, n_idle=n_idle)
    fleet.moves.demand(msg, fleet.now)


def pool_of(fleet, vm: str) -> str:
    """Return the pool that a VM belongs to."""
    return fleet.view.vms[vm].pool


class TestOperatorsMoves(unittest.TestCase):
    """Pools redrawn by the operator."""

    def test_redrawn_pool_is_filled_within_the_budget(self):
        """All VMs of a pool go over, one at a time where one may be out."""
        fleet = site()
        for i in range(3):
            fleet.put(f"a{i}", VmSpec(pool="b", data_centre="d0"))
        n_out = []
        for _ in range(20):
            fleet.step()
            out = [vm for vm in fleet.view.vms_of("a") if not vm.is_available]
            n_out.append(len(out))
        self.assertEqual({pool_of(fleet, f"a{i}") for i in range(3)}, {"b"})
        self.assertEqual(max(n_out), 1)

    def test_move_that_is_taken_back_is_cancelled(self):
        """A VM that is wished back while it leaves stays and serves on."""
        fleet = site()
        assigned_at = fleet.view.vms["a0"].assigned_at
        fleet.put("a0", VmSpec(pool="b", data_centre="d0"))
        fleet.plan()
        self.assertIs(fleet.view.vms["a0"].phase, VmPhase.LEAVING)
        fleet.put("a0", VmSpec(pool="a", data_centre="d0"))
        fleet.plan()
        self.assertTrue(fleet.view.vms["a0"].is_available)
        self.assertEqual(fleet.view.vms["a0"].assigned_at, assigned_at)

    def test_blocked_move_is_reported(self):
        """A move that a budget holds up is named with the reason."""
        fleet = FleetDriver()
        fleet.add_pool("a", min_serving=1)
        fleet.add_pool("b")
        fleet.add_vm("a0", "a")
        fleet.put("a0", VmSpec(pool="b", data_centre="d0"))
        fleet.step()
        (blocked,) = fleet.moves.blocked(fleet.view)
        self.assertEqual((blocked.vm, blocked.to_pool), ("a0", "b"))
        self.assertIn("1 VMs must be able to serve", blocked.reason)

    def test_removed_vm_is_gone_once_drained(self):
        """A deleted VM leaves the fleet after its last permit."""
        fleet = site()
        fleet.apply(DeleteResource(kind=Kind.VM, name="a0"))
        fleet.plan()
        self.assertIn("a0", fleet.view.vms)
        fleet.step()
        self.assertNotIn("a0", fleet.view.vms)


class TestLoans(unittest.TestCase):
    """Spare VMs that follow slow demand."""

    def drive(self, fleet, minutes: int, n_waiting, n_idle=lambda second: 0) -> None:
        """Ask pool a for some minutes."""
        for second in range(minutes * 60):
            fleet.step()
            ask(fleet, "a", n_waiting(second), n_idle(second))

    def test_lasting_shortage_borrows_and_gives_back(self):
        """A pool that is short for long gets a spare VM and gives it back later."""
        fleet = site()
        self.drive(fleet, 6, lambda second: 8)
        lent = [vm for vm in fleet.view.vms_of("a") if vm.lent]
        self.assertEqual(len(lent), 1)
        self.drive(fleet, 7, lambda second: 0, lambda second: 16)
        self.assertEqual(len(fleet.view.vms_of("s")), 2)
        self.assertFalse(any(vm.lent for vm in fleet.view.vms.values()))

    def test_peaks_do_not_keep_a_lent_vm(self):
        """A pool that is idle but for short peaks gives its lent VM back."""
        fleet = site(spare=1)
        self.drive(fleet, 6, lambda second: 8)
        self.assertEqual(pool_of(fleet, "s0"), "a")
        self.drive(
            fleet,
            7,
            lambda second: 100 if second % 60 < 5 else 0,
            lambda second: 0 if second % 60 < 5 else 20,
        )
        self.assertEqual(pool_of(fleet, "s0"), "s")

    def test_peak_of_a_few_seconds_moves_nothing(self):
        """Peaks that leave gaps between them do not move a VM, however high."""
        fleet = site()
        self.drive(fleet, 30, lambda second: 200 if second % 30 < 10 else 0)
        self.assertEqual(len(fleet.view.vms_of("s")), 2)

    def test_demand_about_the_threshold_moves_nothing_back(self):
        """A demand that swings about a pool's size does not move VMs to and fro."""
        fleet = site()
        self.drive(
            fleet,
            60,
            lambda second: 8 if second // 360 % 2 == 0 else 0,
            lambda second: 0 if second // 360 % 2 == 0 else 8,
        )
        self.assertEqual(fleet.n_moves, 2)

    def test_shortage_below_the_price_moves_nothing(self):
        """A shortage that costs less than a move is borne."""
        fleet = site()
        fleet.put("default", SiteSpec(moves=True, move_price=6_000))
        self.drive(fleet, 10, lambda second: 8)
        self.assertEqual(len(fleet.view.vms_of("s")), 2)

    def test_waiting_beside_idle_slots_moves_nothing(self):
        """Work that waits for its team's limit asks for no VM."""
        fleet = site()
        self.drive(fleet, 10, lambda second: 50, lambda second: 4)
        self.assertEqual(len(fleet.view.vms_of("s")), 2)

    def test_smaller_vm_is_not_lent(self):
        """A spare VM that holds less than any VM of the pool is no help to it."""
        fleet = site(spare=2)
        for i in range(3):
            spec = VmSpec(pool="a", data_centre="d0", accelerators=2)
            fleet.put(f"a{i}", spec)
        fleet.put("s1", VmSpec(pool="s", data_centre="d0", accelerators=2))
        self.drive(fleet, 6, lambda second: 16)
        self.assertEqual(pool_of(fleet, "s0"), "s")
        self.assertEqual(pool_of(fleet, "s1"), "a")

    def test_operator_who_ends_moves_gets_the_vms_back(self):
        """Lent VMs go home when the site no longer allows moves."""
        fleet = site()
        self.drive(fleet, 6, lambda second: 8)
        fleet.put("default", SiteSpec(moves=False))
        for _ in range(10):
            fleet.step()
        self.assertEqual(len(fleet.view.vms_of("s")), 2)

    def test_site_without_moves_lends_nothing(self):
        """Without the operator's leave no demand moves a VM."""
        fleet = site(moves=False)
        self.drive(fleet, 10, lambda second: 50)
        self.assertEqual(len(fleet.view.vms_of("s")), 2)

    def test_lent_vm_that_the_operator_claims_goes_there(self):
        """A wish for a lent VM ends the loan."""
        fleet = site(spare=1)
        self.drive(fleet, 6, lambda second: 8)
        self.assertEqual(pool_of(fleet, "s0"), "a")
        fleet.put("s0", VmSpec(pool="b", data_centre="d0"))
        for _ in range(10):
            fleet.step()
        self.assertEqual(pool_of(fleet, "s0"), "b")


if __name__ == "__main__":
    unittest.main()
