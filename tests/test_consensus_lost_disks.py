"""Histories in which five replicas lose up to two disks while the others are dark."""

import unittest

from tests._lost_disks import History

SEEDS = range(40)
# Seeds above 40 whose histories have failed once.
FOUND_SEEDS = {
    "the cluster stopped for good, a silent voter was removed first": (226,),
    "a seed knew no replica but other emptied seeds": (944,),
    "a removed replica did not know the leader": (2198, 2271),
    "a sixth voter stayed": (10617, 10681),
}


class TestLostDisks(unittest.TestCase):
    """Acknowledged commands, leases, the founding and progress over lost disks."""

    def test_acknowledged_commands_survive_two_lost_disks_at_a_time(self):
        """No seeded history loses a command, founds a second cluster or gets stuck."""
        n_lost = n_acknowledged = n_refused = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = History(
                    seed,
                    are_oldest_lost=seed % 4 == 3,
                    are_elections_hit=seed % 4 == 1,
                )
                history.play()
                n_lost += history.cluster.n_lost
                n_acknowledged += len(history.cluster.acknowledged)
                n_refused += history.cluster.n_refused
        self.assertGreater(n_lost, 2 * len(SEEDS))
        self.assertGreater(n_acknowledged, 10 * len(SEEDS))
        self.assertGreater(n_refused, 0)

    def test_histories_that_have_failed(self):
        """Each seed led to one of the named faults."""
        for fault, seeds in FOUND_SEEDS.items():
            for seed in seeds:
                with self.subTest(fault=fault, seed=seed):
                    History(seed).play()


if __name__ == "__main__":
    unittest.main()
