"""Tests that commands and snapshots of earlier versions are read and written alike.

``recorded_jobs.json`` holds encoded commands of every kind, in the order of a log, and
the snapshot of the state that they lead to, both in Base64. A field that is added with
a default changes the snapshot's bytes, so that the snapshot has to be recorded again;
the one before it stays in ``earlier_snapshots``.
"""

import base64
import json
import pathlib
import typing
import unittest

import msgspec

from redwingslip.jobs import Command, JobsMachine, encode_command

RECORDED = pathlib.Path(__file__).with_name("recorded_jobs.json")


class TestRecordedEncodings(unittest.TestCase):
    """Recorded commands and a recorded snapshot."""

    def setUp(self):
        recorded = json.loads(RECORDED.read_text())
        self.commands = [base64.b64decode(data) for data in recorded["commands"]]
        self.snapshot = base64.b64decode(recorded["snapshot"])
        self.earlier = [base64.b64decode(d) for d in recorded["earlier_snapshots"]]

    def test_commands_encode_to_the_recorded_bytes(self):
        """Guards against a log that a controller of another version can't read."""
        commands = [msgspec.msgpack.decode(d, type=Command) for d in self.commands]
        self.assertEqual({type(c) for c in commands}, set(typing.get_args(Command)))
        self.assertEqual([encode_command(c) for c in commands], self.commands)

    def test_snapshots_of_earlier_versions_lead_to_the_same_state(self):
        """Guards against an upgrade that loses jobs, or what is known of them."""
        self.assertTrue(self.earlier)
        for data in self.earlier:
            restored = JobsMachine()
            restored.restore(len(self.commands), data)
            self.assertEqual(restored.snapshot(), self.snapshot)

    def test_log_and_snapshot_lead_to_the_same_state(self):
        """Guards against replicas of two versions whose states differ."""
        applied, restored = JobsMachine(), JobsMachine()
        for index, data in enumerate(self.commands):
            applied.apply(index, data)
        restored.restore(len(self.commands), self.snapshot)
        for machine in (applied, restored):
            self.assertEqual(machine.snapshot(), self.snapshot)
        one, other = applied.state, restored.state
        runs = {vm_id: runs for vm_id, runs in one.runs.items() if runs}
        self.assertEqual(runs, other.runs)
        self.assertEqual(one.suspect_runs, other.suspect_runs)
        self.assertEqual(one.usage.of_customers(), other.usage.of_customers())
        silent = list(one.silent_vms)
        self.assertEqual(silent, list(other.silent_vms))
        for vm in silent:
            tasks = one.silent_vms.tasks_of(vm)
            self.assertCountEqual(tasks, other.silent_vms.tasks_of(vm))


if __name__ == "__main__":
    unittest.main()
