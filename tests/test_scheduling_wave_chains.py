"""Tests of the machines that a wave has to cordon early."""

import unittest
from collections import Counter
from datetime import timedelta

from redwingslip.scheduling._wave_chains import StepChain, critical_machines

ROUND = timedelta(seconds=2.5)


def choose(*chains, cordoned=(), remaining=20.0, critical_share=0.5):
    """Return the machines to cordon, with rounds of 2.5 s."""
    return critical_machines(
        chains,
        cordoned=cordoned,
        remaining=timedelta(seconds=remaining),
        round_time=ROUND,
        critical_share=critical_share,
    )


class TestCriticalMachines(unittest.TestCase):
    """A wave over the machines of long-running tasks, which leave a few at a time."""

    def test_the_machines_of_a_long_chain_are_chosen_for_two_rounds(self):
        """Guards against leaving the tasks with a budget to the end of the wave."""
        chain = StepChain(2, Counter({f"m{i}": 1 for i in range(10, 22)}))
        self.assertEqual(choose(chain), ["m10", "m11", "m12", "m13"])

    def test_cordoned_machines_count(self):
        """Guards against cordoning more machines than the chain can use."""
        chain = StepChain(2, Counter({f"m{i}": 1 for i in range(10, 22)}))
        self.assertEqual(choose(chain, cordoned={"m12", "m15", "m20"}), ["m10"])

    def test_a_chain_that_has_time_chooses_nothing(self):
        """Guards against cordons that cost capacity without need."""
        chain = StepChain(2, Counter(m1=1, m2=1))
        self.assertEqual(choose(chain), [])

    def test_machines_with_tasks_of_several_long_chains_go_first(self):
        """Guards against cordoning twice as many machines for two steps."""
        first = StepChain(1, Counter({f"m{i}": 1 for i in range(10, 16)}))
        second = StepChain(1, Counter({f"m{i}": 1 for i in range(14, 20)}))
        self.assertEqual(choose(first, second), ["m14", "m15"])

    def test_the_longest_chain_comes_first(self):
        """Guards against serving a short chain first when the limit binds."""
        short = StepChain(1, Counter({f"a{i}": 1 for i in range(5)}))
        long = StepChain(1, Counter({f"b{i}": 1 for i in range(9)}))
        self.assertEqual(choose(short, long), ["b0", "b1", "a0", "a1"])


if __name__ == "__main__":
    unittest.main()
