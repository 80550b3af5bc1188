"""Tests of how much of the time of a move jobs can't wait for."""

import unittest

from redwingslip.placement._urgency import JobUrgency

LEAD_MS = 2500


class TestJobUrgency(unittest.TestCase):
    """Pools whose jobs can wait for machines, and pools whose jobs can't."""

    def record(self, *jobs):
        """Return the urgency after jobs, each a load and a slack in milliseconds."""
        urgency = JobUrgency()
        for load, slack_ms in jobs:
            urgency.record(load, slack_ms, LEAD_MS)
        return urgency.value

    def test_a_pool_without_jobs_is_urgent(self):
        """Guards against taking first machines before there is any evidence."""
        self.assertEqual(self.record(), 1)
        self.assertEqual(self.record((0, 9000)), 1)

    def test_jobs_that_can_wait_for_a_move_are_not_urgent(self):
        """Guards against reserves that no job needs."""
        self.assertEqual(self.record((500, 2500), (500, 4000)), 0)

    def test_jobs_without_slack_are_urgent(self):
        """Guards against a rise of short checks that finds an empty pool."""
        self.assertEqual(self.record((500, 0), (500, -300)), 1)

    def test_slack_shortens_the_part_of_the_lead_that_needs_a_reserve(self):
        """Guards against a full reserve for jobs that can wait for most of a move."""
        self.assertAlmostEqual(self.record((500, 1250)), 0.5)

    def test_large_jobs_count_more(self):
        """Guards against a reserve for a few small urgent jobs among large ones."""
        mixed = self.record(*[(900, 2500), (100, 0)] * 200)
        self.assertLess(mixed, 0.15)
        self.assertGreater(mixed, 0.05)


if __name__ == "__main__":
    unittest.main()
