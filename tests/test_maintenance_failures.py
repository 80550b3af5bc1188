"""Tests of the monitor that holds waves while failures are clustered."""

import unittest
from datetime import timedelta

from redwingslip.maintenance import WaveSettings
from redwingslip.maintenance._failures import FailureMonitor

from . import SECOND


class TestFailureMonitor(unittest.TestCase):
    """Detection and end of a failure cluster."""

    def setUp(self):
        """Create a monitor that has seen no failures."""
        self.monitor = FailureMonitor(WaveSettings())

    def observe(self, seconds: int, *failed: str) -> bool:
        """Report the failed VMs at a time; return whether failures are clustered."""
        self.monitor.observe(set(failed), seconds * SECOND)
        return self.monitor.is_clustered

    def test_failures_far_apart_are_no_cluster(self):
        """VMs that fail more than a minute apart and stay down are no cluster."""
        self.assertFalse(self.observe(0, "a"))
        self.assertFalse(self.observe(70, "a", "b"))
        self.assertFalse(self.observe(140, "a", "b", "c"))

    def test_vms_that_fail_and_recover_in_turn_are_a_cluster(self):
        """Three short failures within a minute form a cluster."""
        self.observe(0, "a")
        self.observe(10, "b")
        self.assertTrue(self.observe(20, "c"))

    def test_recovery_needs_time_and_few_failed_vms(self):
        """Waves resume a minute after the last failure with at most one VM down."""
        self.assertTrue(self.observe(0, "a", "b", "c"))
        self.assertTrue(self.observe(59))
        self.assertTrue(self.observe(70, "a", "b"))
        self.assertTrue(self.observe(129, "a"))
        self.assertFalse(self.observe(130, "a"))

    def test_vms_that_stay_down_hold_the_waves_only_for_a_limited_time(self):
        """A permanently failed rack does not block maintenance forever."""
        self.assertTrue(self.observe(0, "a", "b", "c"))
        limit = WaveSettings().give_up_after // timedelta(seconds=1)
        self.assertTrue(self.observe(limit - 1, "a", "b", "c"))
        self.assertFalse(self.observe(limit, "a", "b", "c"))
        self.assertFalse(self.observe(limit + 1, "a", "b", "c"))


if __name__ == "__main__":
    unittest.main()
