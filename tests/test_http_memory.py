"""Tests of the budgets for bodies and connections, and of what is sized from memory."""

import tempfile
import unittest
from datetime import timedelta
from pathlib import Path
from unittest import mock

from redwingslip.clock import ManualClock
from redwingslip.http import (
    BodyBudget,
    BodyRank,
    BodyRefusedError,
    HttpLimits,
    RefusalCause,
    ServerMemory,
)
from redwingslip.http._connection_table import ConnectionTable, Idleness
from redwingslip.http._machine_memory import machine_memory_bytes

MIB = 1 << 20
STALL = timedelta(seconds=1)


class TestBodyBudget(unittest.TestCase):
    """A budget of 16 MiB, of which large bodies leave 4 MiB free."""

    def setUp(self):
        self.clock = ManualClock()
        self.budget = BodyBudget(
            max_bytes=16 * MIB,
            max_body_bytes=4 * MIB,
            stall=STALL,
            clock=self.clock,
        )
        self.causes = []
        self.budget.on_refusal = self.causes.append

    def hold(self, n_bytes, rank=BodyRank.DIRECT):
        """Return a claim that holds bytes."""
        claim = self.budget.claim(rank)
        claim.reserve(n_bytes)
        return claim

    def test_large_bodies_leave_room_for_small_ones(self):
        """Guards against ordinary submissions that are refused beside large bodies."""
        for _ in range(3):
            self.hold(4 * MIB)
        with self.assertRaises(BodyRefusedError):
            self.hold(MIB)
        self.hold(500_000)
        self.hold(4_000)
        self.assertEqual(self.causes, [RefusalCause.BODY_BUDGET])

    def test_callers_leave_room_for_reports_and_operators(self):
        """Guards against submissions that take all the leader's memory."""
        with self.assertRaises(BodyRefusedError):
            for _ in range(1_000):
                self.hold(60_000, BodyRank.RELAYED_FOR_CALLER)
        self.hold(4_000)
        self.hold(500_000)
        self.hold(0, BodyRank.RELAYED_FOR_CALLER)

    def test_stalled_bodies_are_dropped_first(self):
        """Guards against bodies without progress that keep others out."""
        stalled, slow, done = (self.hold(4 * MIB) for _ in range(3))
        dropped = []
        for claim in (stalled, slow):
            claim.on_drop = lambda claim=claim: dropped.append(claim)
        self.clock.advance(STALL)
        slow.add(b"x" * 20_000)
        self.hold(4 * MIB)
        self.assertEqual(dropped, [stalled])
        self.assertEqual((stalled.n_bytes, done.n_bytes), (0, 4 * MIB))
        with self.assertRaises(BodyRefusedError):
            self.hold(4 * MIB)
        for use in (lambda: stalled.add(b"x"), stalled.finish):
            with self.assertRaises(BodyRefusedError):
                use()

    def test_few_bytes_now_and_then_are_no_progress(self):
        """Guards against clients that avoid a drop by single bytes."""
        claim = self.hold(4 * MIB)
        dropped = []
        claim.on_drop = lambda: dropped.append(1)
        self.clock.advance(STALL)
        claim.add(b"x")
        for _ in range(3):
            self.hold(4 * MIB)
        self.assertEqual(dropped, [1])

    def test_an_answer_that_is_being_read_is_not_dropped(self):
        """Guards against the loss of a ready answer to a slow caller."""
        answer = self.hold(4 * MIB)
        on_drop = answer.on_drop = mock.Mock()
        unsent = [4 * MIB]
        answer.count_unsent = lambda: unsent[0]
        self.hold(8 * MIB)
        for left in (3 * MIB, 2 * MIB):
            self.clock.advance(STALL)
            unsent[0] = left
            with self.assertRaises(BodyRefusedError):
                self.hold(4 * MIB)
        on_drop.assert_not_called()
        # Nothing was read since the last check.
        self.clock.advance(STALL)
        self.hold(4 * MIB)
        on_drop.assert_called_once_with()

    def test_body_without_an_announced_size_counts_as_it_arrives(self):
        """Guards against chunked bodies that are kept before they are counted."""
        claim = self.budget.claim()
        with self.assertRaises(BodyRefusedError):
            for _ in range(1_000):
                claim.add(b"x" * 64_000)
        self.assertLessEqual(claim.n_bytes, 12 * MIB)
        heir = claim.transfer()
        claim.release()
        self.assertEqual(self.budget.n_bytes, heir.n_bytes)
        heir.release()
        self.assertEqual(self.budget.n_bytes, 0)


class _Connection:
    def __init__(self, peer, idleness):
        self.peer = peer
        self.idle = idleness
        self.is_aborted = False

    def idleness(self):
        return self.idle

    def abort(self):
        self.is_aborted = True


class TestConnectionTable(unittest.TestCase):
    """Which connection is closed for a new one."""

    def test_most_idle_one_of_the_busiest_peer_goes_first(self):
        """Guards against idle connections that keep new callers out."""
        table = ConnectionTable(4)
        idle = [_Connection("a", Idleness.WAITING_FOR_HEAD) for _ in range(2)]
        other = _Connection("b", Idleness.WAITING_FOR_HEAD)
        between = _Connection("a", Idleness.BETWEEN_REQUESTS)
        for conn in (other, between, *idle):
            self.assertTrue(table.admit(conn))
        for victim in (idle[0], idle[1], other, between):
            self.assertTrue(table.admit(_Connection("c", Idleness.IN_USE)))
            self.assertTrue(victim.is_aborted)
        self.assertFalse(table.admit(_Connection("c", Idleness.IN_USE)))
        self.assertEqual(len(table), 4)


class TestSizes(unittest.TestCase):
    """Sizes that follow from the machine's memory."""

    def test_budgets_follow_from_the_memory_of_the_machine(self):
        """Guards against defaults that are too large for a small machine."""
        for n_bytes, expected in (
            (20_000_000, 8 * MIB),
            (200_000_000, 25_000_000),
            (424_000_000, 53_000_000),
            (64 << 30, 256 * MIB),
        ):
            memory = ServerMemory(HttpLimits(), machine_bytes=n_bytes)
            self.assertEqual(memory.bodies.max_bytes, expected)
            used = memory.connections.max_connections * (64 << 10)
            self.assertLessEqual(used, n_bytes / 4)
        cfg = HttpLimits(max_total_body_bytes=5 * MIB, max_connections=7)
        memory = ServerMemory(cfg, machine_bytes=200_000_000)
        self.assertEqual(memory.bodies.max_bytes, 5 * MIB)
        self.assertEqual(memory.connections.max_connections, 7)

    def test_smallest_limit_counts(self):
        """Guards against a size above the limit of a control group."""
        for groups, files, expected in (
            ("", {}, 1_024_000),
            ("0::/a/b", {"a/memory.max": "500"}, 500),
            ("0::/a/b", {"a/b/memory.max": "max", "memory.max": "9"}, 9),
            ("4:memory:/p", {"memory/p/memory.limit_in_bytes": "700"}, 700),
            ("4:memory:/p", {"memory/p/memory.limit_in_bytes": str(2**62)}, 1_024_000),
        ):
            with self.subTest(groups), tempfile.TemporaryDirectory() as name:
                root = Path(name)
                (root / "proc/self").mkdir(parents=True)
                (root / "proc/meminfo").write_text("MemTotal: 1000 kB\nMemFree: 1 kB\n")
                (root / "proc/self/cgroup").write_text(groups)
                for path, text in files.items():
                    file = root / "sys/fs/cgroup" / path
                    file.parent.mkdir(parents=True, exist_ok=True)
                    file.write_text(text + "\n")
                self.assertEqual(machine_memory_bytes(root), expected)
        self.assertGreater(machine_memory_bytes(Path("/nonexistent")), 0)
