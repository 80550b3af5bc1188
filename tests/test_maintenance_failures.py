"""Tests of the monitor that holds waves back while failures cluster."""

import unittest
from datetime import timedelta

from redwingslip.maintenance import WaveSettings
from redwingslip.maintenance._failures import FailureMonitor

from . import SECOND


class TestFailureMonitor(unittest.TestCase):
    """Failures over time."""

    def setUp(self):
        """Start with a fleet without failures."""
        self.monitor = FailureMonitor(WaveSettings())

    def observe(self, seconds: int, *failed: str) -> bool:
        """Return whether failures cluster at a time with these VMs failed."""
        self.monitor.observe(set(failed), seconds * SECOND)
        return self.monitor.is_clustered

    def test_failures_far_apart_are_no_cluster(self):
        """VMs that fail minutes apart are no cluster though all stay down."""
        self.assertFalse(self.observe(0, "a"))
        self.assertFalse(self.observe(70, "a", "b"))
        self.assertFalse(self.observe(140, "a", "b", "c"))

    def test_vms_that_fail_and_recover_in_turn_are_a_cluster(self):
        """Three failures in a minute count although each was short."""
        self.observe(0, "a")
        self.observe(10, "b")
        self.assertTrue(self.observe(20, "c"))

    def test_calm_needs_time_and_health(self):
        """Waves go on a minute after the last failure, with one VM down at most."""
        self.assertTrue(self.observe(0, "a", "b", "c"))
        self.assertTrue(self.observe(59))
        self.assertTrue(self.observe(70, "a", "b"))
        self.assertTrue(self.observe(129, "a"))
        self.assertFalse(self.observe(130, "a"))

    def test_vms_that_stay_down_hold_the_waves_for_a_while_only(self):
        """A rack that is lost for good does not end all maintenance."""
        self.assertTrue(self.observe(0, "a", "b", "c"))
        limit = WaveSettings().give_up_after // timedelta(seconds=1)
        self.assertTrue(self.observe(limit - 1, "a", "b", "c"))
        self.assertFalse(self.observe(limit, "a", "b", "c"))
        self.assertFalse(self.observe(limit + 1, "a", "b", "c"))


if __name__ == "__main__":
    unittest.main()
