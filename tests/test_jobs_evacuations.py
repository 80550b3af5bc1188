"""Tests of the evacuations of data centres in the replicated state."""

import unittest

import msgspec

from redwingslip.jobs import (
    FinishEvacuation,
    JobsMachine,
    JobsState,
    RunStart,
    StartEvacuation,
    StartRuns,
    TaskKey,
    encode_command,
)
from redwingslip.jobs._evacuations import FINISHED_RETENTION_MS
from tests.support_scheduling import make_job, make_state, make_vm


def start(data_centre="east", now_ms=10):
    """Return the command that starts an evacuation."""
    return StartEvacuation(data_centre=data_centre, now_ms=now_ms)


def finish(data_centre="east", now_ms=20):
    """Return the command that finishes an evacuation."""
    return FinishEvacuation(data_centre=data_centre, now_ms=now_ms)


class TestEvacuations(unittest.TestCase):
    """Starts and finishes, their repetition, and snapshots."""

    def test_commands_pass_through_the_log(self):
        """Guards against an evacuation that a restarted replica doesn't know."""
        machine = JobsMachine()
        self.assertTrue(machine.apply(1, encode_command(start())))
        self.assertTrue(machine.state.evacuations.includes("east"))
        self.assertTrue(machine.apply(2, encode_command(finish())))
        self.assertFalse(machine.state.evacuations.includes("east"))

    def test_repeated_calls_change_nothing(self):
        """Guards against a repeat that moves the start, or ends a later evacuation."""
        state = JobsState()
        self.assertFalse(state.apply(finish()))
        self.assertTrue(state.apply(start()))
        before = state.snapshot()
        self.assertFalse(state.apply(start(now_ms=15)))
        self.assertEqual(state.evacuations.started, {"east": 10})
        self.assertEqual(
            msgspec.msgpack.decode(before)["evacuations"],
            msgspec.msgpack.decode(state.snapshot())["evacuations"],
        )

    def test_snapshots_keep_evacuations(self):
        """Guards against an evacuation that is lost with the entries of the log."""
        state = JobsState()
        state.apply(start())
        state.apply(start("west"))
        state.apply(finish("west"))
        restored = JobsState()
        restored.restore(state.snapshot())
        self.assertEqual(restored.evacuations, state.evacuations)
        self.assertEqual(restored.evacuations.finished, {"west": 20})

    def test_snapshot_of_an_earlier_version(self):
        """Guards against controllers that can't start after an upgrade."""
        state = JobsState()
        state.apply(start())
        fields = msgspec.msgpack.decode(state.snapshot())
        del fields["evacuations"]
        state.restore(msgspec.msgpack.encode(fields))
        self.assertEqual(state.evacuations.started, {})

    def test_old_ends_are_dropped(self):
        """Guards against a state that grows with each evacuation."""
        state = JobsState()
        for number in range(3):
            now_ms = number * FINISHED_RETENTION_MS
            state.apply(start(f"dc{number}", now_ms))
            state.apply(finish(f"dc{number}", now_ms))
        self.assertEqual(list(state.evacuations.finished), ["dc2"])


class TestStarts(unittest.TestCase):
    """Starts that were proposed before an evacuation and committed after it."""

    def start_runs(self, job, *vm_ids):
        vms = [make_vm("v1", data_centre="east"), make_vm("v2", data_centre="west")]
        self.state = make_state(*vms, jobs=[job])
        self.state.apply(start())
        starts = tuple(
            RunStart(TaskKey("j1", 0, 0, index), vm_id, 1)
            for index, vm_id in enumerate(vm_ids)
        )
        runs = self.state.apply(StartRuns(starts=starts, now_ms=11))
        return [run.vm_id for run in runs]

    def test_only_those_elsewhere_count(self):
        """Guards against a task that starts there after the response."""
        self.assertEqual(self.start_runs(make_job(n_tasks=2), "v1", "v2"), ["v2"])
        self.assertEqual(self.state.task(TaskKey("j1", 0, 0, 0)).n_runs, 0)

    def test_a_gang_starts_as_a_whole_or_not_at_all(self):
        """Guards against a part of a gang that waits for the rest for ever."""
        gang = make_job(n_tasks=2, is_gang=True)
        self.assertEqual(self.start_runs(gang, "v2", "v1"), [])
