"""Tests of pool sizing; each test names the load pattern that it covers."""

import unittest

from redwingslip.placement import Move, PoolLoad, SizingSettings, plan_moves

CFG = SizingSettings()
VM = 1000


def load(pool, *, n_vms=4, used=0, waiting=0, idle=(), resting=(), n_missing=0):
    """Return the load of a pool of VMs with one core each."""
    return PoolLoad(
        pool=pool,
        used=used,
        waiting=waiting,
        room=n_vms * VM,
        vm_room=VM,
        n_vms=n_vms,
        idle=idle,
        resting=resting,
        n_missing=n_missing,
    )


def standby(*machines):
    """Return the load of the pool of machines that are switched off."""
    return PoolLoad(pool="off", is_standby=True, idle=machines)


class TestPlanMoves(unittest.TestCase):
    """Queues that peak at different times at several times their mean load."""

    def test_a_pool_at_its_peak_gets_machines_that_are_off(self):
        loads = (load("peak", used=4000, waiting=3000), standby("m1", "m2", "m3"))
        moves = plan_moves(loads, 0, CFG)
        self.assertEqual(moves, tuple(Move(m, "peak") for m in ("m1", "m2", "m3")))

    def test_a_pool_at_its_peak_gets_idle_machines_of_other_pools(self):
        loads = (
            load("peak", used=4000, waiting=1500),
            load("calm", used=100, idle=("c1", "c2", "c3")),
        )
        moves = plan_moves(loads, 0, CFG)
        self.assertTrue(moves)
        self.assertLessEqual({move.machine for move in moves}, {"c1", "c2", "c3"})
        self.assertLessEqual(len(moves), 2, "the calm pool keeps its minimum size")

    def test_the_pool_with_the_worst_shortage_goes_first(self):
        loads = (
            load("busy", used=3600, waiting=300),
            load("worst", used=4000, waiting=9000),
            standby("m1"),
        )
        self.assertEqual(plan_moves(loads, 0, CFG), (Move("m1", "worst"),))

    def test_arriving_machines_count_as_capacity(self):
        loads = (load("peak", n_vms=9, used=4000, waiting=3000), standby("m1"))
        self.assertEqual(plan_moves(loads, 0, CFG), ())

    def test_machines_that_were_idle_long_enough_are_switched_off(self):
        loads = (load("calm", idle=("c1", "c2"), resting=("c1",)), standby())
        self.assertEqual(plan_moves(loads, 0, CFG), (Move("c1", "off"),))

    def test_a_pool_keeps_its_minimum_size(self):
        names = ("c1", "c2", "c3", "c4")
        loads = (load("calm", idle=names, resting=names), standby())
        self.assertEqual(len(plan_moves(loads, 0, CFG)), 4 - CFG.min_vms)

    def test_a_busy_pool_keeps_its_idle_machines(self):
        loads = (load("used", used=1900, idle=("c1",), resting=("c1",)), standby())
        self.assertEqual(plan_moves(loads, 0, CFG), ())

    def test_tasks_that_may_not_share_a_vm_get_one_each(self):
        loads = (load("spread", used=400, n_missing=2), standby("m1", "m2", "m3"))
        moves = plan_moves(loads, 0, CFG)
        self.assertEqual(moves, (Move("m1", "spread"), Move("m2", "spread")))

    def test_a_pool_with_missing_vms_switches_off_none(self):
        loads = (
            load("spread", n_missing=1, idle=("c1",), resting=("c1",)),
            standby(),
        )
        self.assertEqual(plan_moves(loads, 0, CFG), ())

    def test_moves_in_progress_are_bounded(self):
        machines = tuple(f"m{n}" for n in range(30))
        loads = (load("peak", used=4000, waiting=90_000), standby(*machines))
        self.assertEqual(len(plan_moves(loads, 0, CFG)), CFG.max_moves)
        self.assertEqual(plan_moves(loads, CFG.max_moves, CFG), ())

    def test_no_machine_is_moved_twice(self):
        loads = (
            load("a", used=4000, waiting=3000),
            load("b", used=4000, waiting=3000),
            standby("m1", "m2"),
        )
        moves = plan_moves(loads, 0, CFG)
        self.assertEqual(len({move.machine for move in moves}), len(moves))
