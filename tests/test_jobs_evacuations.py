"""Tests of the evacuations of data centres in the replicated state."""

import unittest

import msgspec

from redwingslip.jobs import (
    FinishEvacuation,
    JobsMachine,
    RunStart,
    StartEvacuation,
    StartRuns,
    TaskKey,
    encode_command,
)
from tests.support_scheduling import make_job, make_state, make_vm


class TestEvacuations(unittest.TestCase):
    """Starts, finishes, snapshots and late starts of runs."""

    def setUp(self):
        self.machine = JobsMachine()

    def apply(self, type_, name, now_ms):
        command = type_(data_centre=name, now_ms=now_ms)
        return self.machine.apply(1, encode_command(command))

    def test_repeats_change_nothing_and_old_ends_are_dropped(self):
        """Guards against a repeat that moves a start, and a state that grows."""
        self.assertFalse(self.apply(FinishEvacuation, "east", 5))
        self.assertTrue(self.apply(StartEvacuation, "east", 10))
        self.assertFalse(self.apply(StartEvacuation, "east", 15))
        self.assertEqual(self.machine.state.evacuations.started, {"east": 10})
        self.assertTrue(self.apply(FinishEvacuation, "east", 20))
        self.apply(StartEvacuation, "west", 30)
        self.apply(FinishEvacuation, "west", 3_600_000)
        self.assertEqual(self.machine.state.evacuations.finished, {"west": 3_600_000})

    def test_snapshots_keep_them_and_earlier_ones_have_none(self):
        """Guards against one that is lost in a restart, and a failed upgrade."""
        state = self.machine.state
        self.apply(StartEvacuation, "east", 10)
        snapshot = state.snapshot()
        fields = msgspec.msgpack.decode(snapshot)
        del fields["evacuations"]
        state.restore(msgspec.msgpack.encode(fields))
        self.assertEqual(state.evacuations.started, {})
        state.restore(snapshot)
        self.assertEqual(state.evacuations.started, {"east": 10})

    def test_runs_proposed_before_and_committed_after_are_ignored(self):
        """Guards against a start after the response, and half a gang."""
        for is_gang, expected in ((False, ["v2"]), (True, [])):
            vms = [make_vm("v1", data_centre="east"), make_vm("v2", data_centre="west")]
            state = make_state(*vms, jobs=[make_job(n_tasks=2, is_gang=is_gang)])
            state.apply(StartEvacuation(data_centre="east", now_ms=10))
            starts = [
                RunStart(TaskKey("j1", 0, 0, n), f"v{n + 1}", 1) for n in range(2)
            ]
            runs = state.apply(StartRuns(starts=tuple(starts), now_ms=11))
            self.assertEqual([run.vm_id for run in runs], expected)
