"""Tests of the replicated state machine."""

import unittest

from redwingslip.fleet import (
    Accepted,
    Conflict,
    FleetState,
    PoolSpec,
    PutResource,
)


class TestPutResource(unittest.TestCase):
    """Writes by operators."""

    def test_second_writer_of_a_version_gets_the_current_one(self):
        """Only the first of two writes based on the same version is accepted."""
        state = FleetState()
        first, _ = state.apply(1, PutResource(name="a", spec=PoolSpec(), if_version=0))
        second, _ = state.apply(
            2, PutResource(name="a", spec=PoolSpec(spare=True), if_version=0)
        )
        self.assertEqual(first, Accepted(version=1))
        self.assertEqual(second, Conflict(version=1))

    def test_resend_gets_the_first_outcome_after_a_snapshot(self):
        """A write that is resent with its operation id is applied once."""
        state = FleetState()
        write = PutResource(name="a", spec=PoolSpec(), if_version=0, operation_id="x")
        first, _ = state.apply(1, write)
        restored = FleetState()
        restored.restore(state.snapshot())
        again, changes = restored.apply(2, write)
        self.assertEqual(again, first)
        self.assertEqual(changes, ())


if __name__ == "__main__":
    unittest.main()
