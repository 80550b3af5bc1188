"""Tests of the reserves of pools; each test names the load pattern that it covers."""

import unittest

from redwingslip.placement import Move, SizingSettings, plan_moves
from tests.test_placement_sizing import VM, load, standby

CFG = SizingSettings()


def names(prefix, count):
    """Return the names of some machines."""
    return tuple(f"{prefix}{number}" for number in range(count))


def count_by_pool(moves):
    """Return the number of moves to each pool."""
    pools = [move.pool for move in moves]
    return {pool: pools.count(pool) for pool in pools}


class TestReserves(unittest.TestCase):
    """Pools that keep capacity for their next rise."""

    def test_a_pool_without_evidence_keeps_its_idle_machines(self):
        """Guards against pools switched off before their first demand."""
        machines = names("c", 10)
        calm = load("calm", n_vms=10, idle=machines, resting=machines)
        self.assertEqual(len(plan_moves((calm, standby()), 0, CFG)), 8)
        calm = load("calm", n_vms=10, idle=machines, resting=machines, is_initial=True)
        self.assertEqual(plan_moves((calm, standby()), 0, CFG), ())

    def test_machines_beyond_the_reserve_are_switched_off(self):
        machines = names("c", 10)
        calm = load("calm", n_vms=10, idle=machines, resting=machines, reserve=6 * VM)
        moves = plan_moves((calm, standby()), 0, CFG)
        self.assertEqual(moves, tuple(Move(machine, "off") for machine in machines[:4]))

    def test_a_reserve_is_filled_with_machines_that_are_off(self):
        calm = load("calm", n_vms=2, reserve=5 * VM)
        moves = plan_moves((calm, standby(*names("m", 9))), 0, CFG)
        self.assertEqual(moves, tuple(Move(f"m{n}", "calm") for n in range(3)))

    def test_machines_that_a_pool_no_longer_needs_move_directly(self):
        """Guards against a detour through the standby pool, which takes two moves."""
        machines = names("c", 6)
        loads = (
            load("done", n_vms=6, idle=machines, resting=machines),
            load("next", n_vms=2, reserve=5 * VM),
            standby(),
        )
        moves = plan_moves(loads, 0, CFG)
        self.assertEqual(count_by_pool(moves), {"next": 3, "off": 1})

    def test_only_a_rise_that_is_near_takes_machines_that_are_idle_briefly(self):
        machines = names("c", 6)
        done = load("done", n_vms=6, idle=machines)
        calm = load("next", n_vms=2, reserve=5 * VM)
        self.assertEqual(plan_moves((done, calm, standby()), 0, CFG), ())
        near = load("next", n_vms=2, imminent=5 * VM)
        moves = plan_moves((done, near, standby()), 0, CFG)
        self.assertEqual(count_by_pool(moves), {"next": 3})

    def test_present_demand_goes_before_the_reserves_of_others(self):
        machines = names("c", 8)
        loads = (
            load("calm", n_vms=10, idle=machines, resting=machines, reserve=9 * VM),
            load("rising", used=4 * VM, waiting=40 * VM),
            standby(),
        )
        moves = plan_moves(loads, 0, CFG)
        self.assertEqual(count_by_pool(moves), {"rising": 8})

    def test_present_demand_takes_machines_that_no_reserve_needs_first(self):
        kept = names("k", 8)
        free = names("f", 8)
        loads = (
            load("kept", n_vms=10, idle=kept, reserve=10 * VM),
            load("free", n_vms=10, idle=free),
            load("rising", used=4 * VM, waiting=3 * VM),
            standby("m1"),
        )
        machines = [move.machine for move in plan_moves(loads, 0, CFG)]
        self.assertEqual(machines[0], "m1")
        self.assertLessEqual(set(machines[1:]), set(free))

    def test_a_backlog_takes_no_reserve_of_another_pool(self):
        """Guards against a rise without room that empties all other pools.

        Its backlog is many times the capacity that would have served it.
        """
        machines = names("c", 8)
        loads = (
            load("calm", n_vms=10, idle=machines, resting=machines, reserve=5 * VM),
            load("late", used=4 * VM, waiting=40 * VM, firm=5 * VM),
            load("new", used=4 * VM, waiting=1 * VM),
            standby("m1"),
        )
        moves = plan_moves(loads, 0, CFG)
        self.assertEqual(count_by_pool(moves), {"late": 6, "new": 2})

    def test_present_demand_takes_machines_of_pools_without_evidence_last(self):
        new = load("new", n_vms=10, idle=names("n", 8), is_initial=True)
        rising = load("rising", used=4 * VM, waiting=40 * VM)
        moves = plan_moves((new, rising, standby("m1")), 0, CFG)
        self.assertEqual(moves[0].machine, "m1")
        self.assertEqual(count_by_pool(moves), {"rising": 9})

    def test_reserves_shrink_in_proportion(self):
        """Too few machines for all reserves; the demand needs none of them."""
        loads = (
            load("a", n_vms=2, reserve=20 * VM),
            load("b", n_vms=2, reserve=10 * VM),
            standby(*names("m", 11)),
        )
        # 15 machines for reserves of 30.
        moves = plan_moves(loads, 0, SizingSettings(max_moves=40))
        self.assertEqual(count_by_pool(moves), {"a": 8, "b": 3})

    def test_a_rise_that_is_near_goes_before_standing_reserves(self):
        loads = (
            load("a", n_vms=2, reserve=20 * VM),
            load("b", n_vms=2, imminent=10 * VM),
            standby(*names("m", 8)),
        )
        moves = plan_moves(loads, 0, SizingSettings(max_moves=40))
        self.assertEqual(count_by_pool(moves)["b"], 8)

    def test_filling_reserves_leaves_moves_for_demand(self):
        calm = load("calm", n_vms=2, reserve=90 * VM)
        loads = (calm, standby(*names("m", 90)))
        cfg = SizingSettings(max_moves=12, max_moves_share=0)
        self.assertEqual(len(plan_moves(loads, 0, cfg)), 6)
        self.assertEqual(plan_moves(loads, 6, cfg), ())

    def test_switching_off_leaves_moves_for_demand(self):
        machines = names("c", 40)
        done = load("done", n_vms=42, idle=machines, resting=machines)
        loads = (done, load("calm", n_vms=5, reserve=5 * VM), standby())
        cfg = SizingSettings(max_moves=12, max_moves_share=0)
        self.assertEqual(len(plan_moves(loads, 0, cfg)), 6)

    def test_a_rise_that_is_near_may_take_all_moves(self):
        near = load("near", n_vms=2, imminent=90 * VM)
        loads = (near, standby(*names("m", 90)))
        cfg = SizingSettings(max_moves=12, max_moves_share=0)
        self.assertEqual(len(plan_moves(loads, 0, cfg)), 12)

    def test_a_reserve_that_varies_by_a_machine_moves_none(self):
        """Guards against machines that move to and fro."""
        machines = names("c", 4)
        for reserve in range(3 * VM + 1, 5 * VM, 100):
            calm = load("calm", idle=machines, resting=machines, reserve=reserve)
            moves = plan_moves((calm, standby(*names("m", 4))), 0, CFG)
            self.assertEqual(moves, ())


if __name__ == "__main__":
    unittest.main()
