"""Tests of pool sizing; each test names the load pattern that it covers."""

import unittest

from redwingslip.placement import Move, PoolLoad, SizingSettings, plan_moves

CFG = SizingSettings()
VM = 1000


def load(
    pool,
    *,
    n_vms=4,
    used=0,
    waiting=0,
    idle=(),
    resting=(),
    n_missing=0,
    reclaimable=(),
    **reserves,
):
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
        reclaimable=reclaimable,
        **reserves,
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

    def test_a_large_fleet_moves_more_machines_at_a_time(self):
        """A queue of a fleet of hundreds needs dozens of machines within seconds."""
        machines = tuple(f"m{n}" for n in range(196))
        loads = (load("peak", used=4000, waiting=900_000), standby(*machines))
        self.assertEqual(len(plan_moves(loads, 0, CFG)), 60)

    def test_two_pools_that_rise_together_share_the_machines(self):
        loads = (
            load("a", used=4000, waiting=40_000),
            load("b", used=4000, waiting=40_000),
            standby(*(f"m{n}" for n in range(8))),
        )
        moves = plan_moves(loads, 0, CFG)
        self.assertEqual([move.pool for move in moves].count("a"), 4)
        self.assertEqual([move.pool for move in moves].count("b"), 4)

    def test_queues_that_rise_by_turns_hand_machines_on(self):
        """The earlier peak has passed, but its pool is still more than half used."""
        idle = tuple(f"c{n}" for n in range(12))
        loads = (
            load("earlier", n_vms=40, used=22_000, idle=idle),
            load("rising", used=4000, waiting=8_000),
            standby(),
        )
        moves = plan_moves(loads, 0, CFG)
        self.assertGreaterEqual(len(moves), 5)
        self.assertEqual({move.pool for move in moves}, {"rising"})

    def test_a_queue_that_rises_while_another_holds_the_fleet_gets_its_part(self):
        """The earlier queue's overload keeps all of its machines busy."""
        busy = tuple(f"b{n}" for n in range(36))
        loads = (
            load("earlier", n_vms=40, used=40_000, waiting=8_000, reclaimable=busy),
            load("rising", used=4_000, waiting=16_000),
            standby(),
        )
        moves = plan_moves(loads, 0, CFG)
        self.assertEqual({move.pool for move in moves}, {"rising"})
        # Its demand is 5 times its capacity; the other pool's is 1.2 times.
        self.assertGreaterEqual(len(moves), 5)
        n_moved = len(moves)
        self.assertGreater(
            20_000 / (4_000 + n_moved * VM), 48_000 / (40_000 - n_moved * VM)
        )

    def test_equally_short_pools_take_nothing_from_each_other(self):
        loads = (
            load("a", used=4_000, waiting=4_000, reclaimable=("a1", "a2", "a3")),
            load("b", used=4_000, waiting=5_000, reclaimable=("b1", "b2", "b3")),
            standby(),
        )
        self.assertEqual(plan_moves(loads, 0, CFG), ())

    def test_a_pool_keeps_its_minimum_size_when_it_gives_up_all_it_can(self):
        loads = (
            load("calm", used=10, idle=("c1", "c2"), reclaimable=("c3", "c4")),
            load("rising", used=4_000, waiting=90_000),
            standby(),
        )
        moves = plan_moves(loads, 0, CFG)
        self.assertEqual([move.machine for move in moves], ["c1", "c2"])

    def test_idle_machines_are_taken_before_those_in_use(self):
        loads = (
            load("other", n_vms=9, used=3_000, idle=("c1",), reclaimable=("c2", "c3")),
            load("rising", used=4_000, waiting=16_000),
            standby("m1"),
        )
        moves = plan_moves(loads, 0, CFG)
        self.assertEqual([move.machine for move in moves], ["m1", "c1", "c2", "c3"])

    def test_no_machine_is_moved_twice(self):
        loads = (
            load("a", used=4000, waiting=3000),
            load("b", used=4000, waiting=3000),
            standby("m1", "m2"),
        )
        moves = plan_moves(loads, 0, CFG)
        self.assertEqual(len({move.machine for move in moves}), len(moves))
