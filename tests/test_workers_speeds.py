"""Tests of the learned speeds of machines; each test names its load."""

import math
import random
import unittest
from datetime import timedelta

from redwingslip.workers import Excess, SpeedModel, SpeedSettings

SECOND = timedelta(seconds=1)
CFG = SpeedSettings(enabled=True)
MACHINES = [f"m{number}" for number in range(9)]


class TestSpeedModel(unittest.TestCase):
    """A pool of nine machines, each with some results a second."""

    def setUp(self):
        self.model = SpeedModel(CFG)
        self.rng = random.Random(5)
        self.now = 0 * SECOND
        self.n_steps = 0

    def run_for(self, seconds, slowness, *, deviation=0.5, per_second=2):
        """Record results with errors of estimates; return the slow machines."""
        for _ in range(seconds):
            self.now += SECOND
            for machine in MACHINES:
                for _ in range(per_second):
                    log_ratio = self.rng.gauss(0, deviation)
                    log_ratio += math.log(slowness.get(machine, 1))
                    self.record(machine, log_ratio, deviation)
            self.update()
        return self.slow()

    def record(self, machine, log_ratio, deviation=0.5):
        self.n_steps += 1
        excess = Excess(log_ratio, deviation, (f"j{self.n_steps}", 0, 0))
        self.model.record(machine, excess, self.now)

    def update(self, running=None):
        return self.model.update({"p": MACHINES}, running or {}, self.now)

    def slow(self):
        return {machine for machine in MACHINES if self.model.speed(machine) < 1}

    def test_a_third_of_the_vms_four_times_slower(self):
        """Guards against slow VMs that get as much work as others."""
        third = set(MACHINES[:3])
        self.assertEqual(self.run_for(10, dict.fromkeys(third, 4)), third)
        for machine in third:
            speed = self.model.speed(machine)
            self.assertTrue(0.125 < speed < 0.5, speed)

    def test_normal_vms_with_wide_run_times_and_single_outliers(self):
        """Guards against normal VMs that lose work by chance."""
        for deviation in (0.3, 0.6, 1.2):
            for _ in range(20):
                self.assertFalse(self.run_for(2, {}, deviation=deviation))
                self.record("m1", math.log(50), deviation)
                self.update()
                self.assertFalse(self.slow())

    def test_steps_that_vary_widely_say_little(self):
        """Guards against verdicts from results that differ by chance."""
        for _ in range(3):
            self.record("m1", math.log(4), deviation=1.5)
        self.update()
        self.assertFalse(self.slow())

    def test_all_vms_equally_slow(self):
        """Guards against a preference among VMs when the work has become slower."""
        self.run_for(5, {})
        for _ in range(10):
            self.assertFalse(self.run_for(1, dict.fromkeys(MACHINES, 4)))

    def test_a_recovered_vm_is_normal_after_a_few_results(self):
        """Guards against VMs that pay for good for a slow time."""
        self.run_for(20, {"m1": 4})
        n_results = 0
        while self.slow():
            self.record("m1", 0.0)
            self.update()
            n_results += 1
        self.assertLessEqual(n_results, 6)

    def test_overdue_runs_tell_before_they_end(self):
        """Guards against a VM that is found slow only when its first runs end."""
        runs = [Excess(1.0, 0.5, ("j", 0, 0), is_shared=True)] * 20
        self.update({"m1": runs, "m2": runs[:1]})
        # Runs of one step share the error of their estimate.
        self.assertFalse(self.slow())
        runs = [Excess(1.0, 0.5, (f"j{number}", 0, 0)) for number in range(5)]
        changes = self.update({"m1": runs, "m2": runs[:1]})
        self.assertEqual([change.machine for change in changes], ["m1"])

    def test_knowledge_fades(self):
        """Guards against a verdict without recent results."""
        self.run_for(5, {"m1": 4})
        self.now += 2 * CFG.memory
        (change,) = self.update()
        self.assertEqual((change.machine, self.slow()), ("m1", set()))

    def test_retries(self):
        """Guards against a slow VM whose recovery nobody sees, for lack of runs."""
        self.run_for(5, {"m1": 4})
        self.model.note_start("m1", self.now)
        self.assertFalse(self.model.is_retried("m1", self.now + SECOND))
        self.assertTrue(self.model.is_retried("m1", self.now + 2 * SECOND))
        self.record("m1", 0.0)
        self.assertTrue(self.model.is_retried("m1", self.now + CFG.interval))

    def end_runs(self, n_runs, *, fails):
        for number in range(n_runs):
            for machine in MACHINES:
                self.model.record_end(
                    machine,
                    (f"j{number}", 0, 0),
                    job=f"j{number}",
                    queue="q",
                    has_failed=fails(machine, number),
                    now=self.now,
                )
        self.update()
        return self.slow()

    def test_a_vm_whose_runs_fail_more_often(self):
        """Guards against a half-broken VM between successes, which isn't ejected."""
        slow = self.end_runs(20, fails=lambda m, number: m == "m1" and number % 2 == 0)
        self.assertEqual(slow, {"m1"})
        self.assertAlmostEqual(self.model.speed("m1"), 0.5, delta=0.1)
        self.assertFalse(self.end_runs(6, fails=lambda m, number: False))

    def test_steps_that_fail_everywhere(self):
        """Guards against VMs that pay for jobs which can't succeed."""
        self.assertFalse(self.end_runs(20, fails=lambda m, number: number % 2 == 0))


if __name__ == "__main__":
    unittest.main()
