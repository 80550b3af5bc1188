"""Tests of what the state keeps of VMs that have left."""

import unittest

import msgspec

from redwingslip.jobs import ForgetVm, JobsState, NoteVm, RecordMove
from redwingslip.jobs._left_vms import LEFT_RETENTION_MS
from redwingslip.jobs._machine_orders import MAX_STEP_MS
from tests.support_scheduling import make_state, make_vm

BORN_MS = 7


def leave(vm_id="v1", *, born_ms=BORN_MS, now_ms=1):
    """Return the command that removes a VM which has announced its end."""
    return ForgetVm(vm_id=vm_id, born_ms=born_ms, now_ms=now_ms, has_left=True)


class TestLeftVms(unittest.TestCase):
    """Incarnations that have left, and the others of the same name."""

    def setUp(self):
        self.state = make_state(make_vm(born_ms=BORN_MS))
        self.state.apply(leave())

    def pass_time(self, duration_ms):
        """Let the steady time pass by commands."""
        for _ in range(duration_ms // MAX_STEP_MS):
            now_ms = self.state.machine_orders.last_ms + MAX_STEP_MS
            self.state.apply(RecordMove(machine="m", now_ms=now_ms))

    def test_later_incarnation_has_not_left(self):
        """Guards against a VM that is ignored since an earlier one has left."""
        left = [born_ms for born_ms in range(10) if self.state.has_left("v1", born_ms)]
        self.assertEqual(left, list(range(BORN_MS + 1)))
        self.assertFalse(self.state.has_left("v2", BORN_MS))

    def test_late_end_of_an_earlier_incarnation_changes_nothing(self):
        """Guards against an incarnation that is forgotten for an earlier one."""
        self.state.apply(leave(born_ms=BORN_MS - 1))
        self.assertTrue(self.state.has_left("v1", BORN_MS))

    def test_vm_that_is_removed_for_another_reason_has_not_left(self):
        """Guards against a VM that is ignored since it was out of reach."""
        for options in ({}, {"is_silent": True}, {"has_crashed": True}):
            with self.subTest(**options):
                state = make_state(make_vm())
                state.apply(ForgetVm(vm_id="v1", born_ms=1, now_ms=1, **options))
                self.assertFalse(state.has_left("v1", 1))

    def test_unknown_time_of_birth_is_not_recorded(self):
        """Guards against VMs without a time of birth that can't come back."""
        self.state.apply(NoteVm(vm=make_vm("v2", born_ms=0), now_ms=1))
        self.state.apply(leave("v2", born_ms=0))
        self.assertFalse(self.state.has_left("v2", 0))

    def test_entries_are_kept_for_the_retention_time(self):
        """Guards against entries that go too early, or fill the state."""
        self.pass_time(LEFT_RETENTION_MS - MAX_STEP_MS)
        self.assertTrue(self.state.has_left("v1", BORN_MS))
        self.pass_time(MAX_STEP_MS)
        self.assertFalse(self.state.has_left("v1", BORN_MS))
        self.state.apply(leave("v2", now_ms=self.state.machine_orders.last_ms))
        self.assertEqual(list(self.state.left_vms.by_name), ["v2"])

    def test_left_vms_are_in_the_snapshot(self):
        """Guards against a new leader that does not know which VMs have left."""
        copy = JobsState()
        copy.restore(self.state.snapshot())
        self.assertTrue(copy.has_left("v1", BORN_MS))
        for state in (self.state, copy):
            state.apply(leave("v2", now_ms=2))
        self.assertEqual(copy.snapshot(), self.state.snapshot())

    def test_earlier_versions_write_no_left_vms(self):
        """Guards against a snapshot or command that a later version can't read."""
        fields = msgspec.msgpack.decode(self.state.snapshot())
        del fields["left_vms"]
        copy = JobsState()
        copy.restore(msgspec.msgpack.encode(fields))
        self.assertFalse(copy.has_left("v1", BORN_MS))
        fields = msgspec.to_builtins(leave())
        del fields["has_left"]
        command = msgspec.convert(fields, ForgetVm)
        self.assertFalse(command.has_left)


if __name__ == "__main__":
    unittest.main()
