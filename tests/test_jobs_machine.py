"""Tests of the state machine behind the log: commands that must not enter it."""

import unittest

from redwingslip.jobs import (
    EndKind,
    InvalidCommandError,
    JobsMachine,
    NoteVm,
    RecordEnds,
    RunEnd,
    TaskKey,
    VmRecord,
    encode_command,
)

KEY = TaskKey("j", 0, 0, 0)


def make_ends(**fields):
    """Return the end of a run as a command."""
    end = {"key": KEY, "number": 1, "kind": EndKind.DONE, "checkpoint": "", **fields}
    return RecordEnds(vm_id="v", born_ms=1, ends=(RunEnd(**end),), now_ms=1)


class TestEncodeCommand(unittest.TestCase):
    """Only what every replica can apply is encoded."""

    def test_a_command_is_applied(self):
        machine = JobsMachine()
        vm = VmRecord(vm_id="v", born_ms=2**63 - 1)
        machine.apply(1, encode_command(NoteVm(vm=vm, now_ms=1)))
        self.assertEqual(machine.state.vms, {"v": vm})

    def test_a_command_that_no_replica_can_decode_is_refused(self):
        """Guards against a log entry that ends every replica, also after a restart."""
        for name, command in (
            ("checkpoint", make_ends(checkpoint=None)),
            ("checkpoint", make_ends(checkpoint=5)),
            ("number", make_ends(number="1")),
            ("number", make_ends(number=2**64)),
            ("key", make_ends(key=TaskKey("j", 0, 0, 10**30))),
            ("key", make_ends(key=TaskKey("j\ud800", 0, 0, 0))),
        ):
            with self.subTest(name=name), self.assertRaises(InvalidCommandError):
                encode_command(command)
