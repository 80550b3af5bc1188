"""Tests of the reserves of pools; each test names the load pattern that it covers."""

import unittest
from collections import Counter

from redwingslip.placement import Move, SizingSettings, plan_moves
from tests.test_placement_sizing import VM, load, standby

CFG = SizingSettings()
MANY = SizingSettings(max_moves=40)
FEW = SizingSettings(max_moves=12, max_moves_share=0)


def names(prefix, count):
    """Return the names of some machines."""
    return tuple(f"{prefix}{number}" for number in range(count))


def calm(pool, n_idle, **options):
    """Return the load of a pool with two VMs in use, and with rested machines."""
    machines = names(pool, n_idle)
    options = {"idle": machines, "resting": machines, **options}
    return load(pool, n_vms=n_idle + 2, **options)


def rising(pool="rising", n_waiting=40, **options):
    """Return the load of a pool of four VMs that are full."""
    return load(pool, used=4 * VM, waiting=n_waiting * VM, **options)


class TestReserves(unittest.TestCase):
    """Pools that keep capacity for their next rise."""

    def count_moves(self, *loads, cfg=CFG):
        return Counter(move.pool for move in plan_moves(loads, 0, cfg))

    def test_a_pool_without_evidence_keeps_its_idle_machines(self):
        """Guards against pools switched off before their first demand."""
        self.assertEqual(self.count_moves(calm("c", 8), standby()), {"off": 8})
        self.assertFalse(self.count_moves(calm("c", 8, is_initial=True), standby()))

    def test_machines_beyond_the_reserve_are_switched_off(self):
        moves = plan_moves((calm("c", 8, reserve=6 * VM), standby()), 0, CFG)
        self.assertEqual(
            moves, tuple(Move(machine, "off") for machine in names("c", 4))
        )

    def test_a_reserve_is_filled_with_machines_that_are_off(self):
        moves = plan_moves(
            (calm("c", 0, reserve=5 * VM), standby(*names("m", 9))), 0, CFG
        )
        self.assertEqual(moves, tuple(Move(machine, "c") for machine in names("m", 3)))

    def test_machines_that_a_pool_no_longer_needs_move_directly(self):
        """Guards against a detour through the standby pool, which takes two moves."""
        loads = (calm("done", 4), calm("next", 0, reserve=5 * VM), standby())
        self.assertEqual(self.count_moves(*loads), {"next": 3, "off": 1})

    def test_only_a_rise_that_is_near_takes_machines_that_are_idle_briefly(self):
        done = calm("done", 4, resting=())
        loads = (done, calm("next", 0, reserve=5 * VM), standby())
        self.assertFalse(self.count_moves(*loads))
        loads = (done, calm("next", 0, imminent=5 * VM), standby())
        self.assertEqual(self.count_moves(*loads), {"next": 3})

    def test_present_demand_goes_before_the_reserves_of_others(self):
        loads = (calm("c", 8, reserve=9 * VM), rising(), standby())
        self.assertEqual(self.count_moves(*loads), {"rising": 8})

    def test_present_demand_takes_machines_that_no_reserve_needs_first(self):
        for kept in (calm("k", 8, reserve=10 * VM), calm("k", 8, is_initial=True)):
            loads = (kept, calm("f", 8), rising(n_waiting=3), standby("m1"))
            machines = [m.machine for m in plan_moves(loads, 0, CFG) if m.pool != "off"]
            self.assertEqual(machines[0], "m1")
            self.assertLessEqual(set(machines[1:]), set(names("f", 8)))
        new = calm("n", 8, is_initial=True)
        self.assertEqual(self.count_moves(new, rising(), standby("m1"))["rising"], 9)

    def test_a_backlog_takes_no_reserve_of_another_pool(self):
        """Guards against a rise without room that empties all other pools.

        Its backlog is many times the capacity that would have served it.
        """
        late = rising("late", firm=5 * VM)
        loads = (calm("c", 8, reserve=5 * VM), late, rising("new", 1), standby("m1"))
        self.assertEqual(self.count_moves(*loads), {"late": 6, "new": 2})

    def test_reserves_shrink_in_proportion(self):
        """Too few machines for all reserves, 15 of 30, beside no demand."""
        a, b = calm("a", 0, reserve=20 * VM), calm("b", 0, reserve=10 * VM)
        counts = self.count_moves(a, b, standby(*names("m", 11)), cfg=MANY)
        self.assertEqual(counts, {"a": 8, "b": 3})

    def test_a_rise_that_is_near_goes_before_standing_reserves(self):
        a, b = calm("a", 0, reserve=20 * VM), calm("b", 0, imminent=10 * VM)
        counts = self.count_moves(a, b, standby(*names("m", 8)), cfg=MANY)
        self.assertEqual(counts["b"], 8)

    def test_standing_reserves_and_switching_off_leave_moves_for_demand(self):
        off = standby(*names("m", 90))
        for loads, n_moves in (
            ((calm("c", 0, reserve=90 * VM), off), 6),
            ((calm("c", 40), calm("d", 3, reserve=5 * VM), standby()), 6),
            ((calm("c", 0, imminent=90 * VM), off), 12),
        ):
            self.assertEqual(self.count_moves(*loads, cfg=FEW).total(), n_moves)
            self.assertFalse(plan_moves(loads, 12, FEW))

    def test_a_reserve_that_varies_by_a_machine_moves_none(self):
        """Guards against machines that move to and fro."""
        for reserve in range(3 * VM + 1, 5 * VM, 100):
            loads = (calm("c", 2, reserve=reserve), standby(*names("m", 4)))
            self.assertFalse(self.count_moves(*loads))


if __name__ == "__main__":
    unittest.main()
