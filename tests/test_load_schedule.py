"""Tests of the arrivals of a load."""

import unittest
from collections import Counter
from datetime import timedelta

from redwingslip.load import CustomerSettings, LoadSection, schedule
from redwingslip.load._settings import LoadSettings
from redwingslip.settings import InvalidSettingsError, parse_settings

from . import SECOND

CUSTOMERS = [
    CustomerSettings(team="large", weight=8.0, key="k"),
    CustomerSettings(team="small", weight=2.0, key="k"),
]
EXPERIMENT = """
[load]
seed = 7
duration = 20s
{remote}
[entries]
one = {address}
[queues]
listing = 40
[customers]
large = 8
[keys]
large = key.txt
"""


class TestSchedule(unittest.TestCase):
    """The arrivals and cancellations that follow from a seed."""

    def test_same_seed_gives_the_same_load(self):
        """The same seed repeats a load, and another seed gives another load."""
        queues = {"a": 20.0, "b": 20.0}
        first = schedule(LoadSection(), queues, CUSTOMERS)
        self.assertEqual(first, schedule(LoadSection(), queues, CUSTOMERS))
        self.assertNotEqual(first, schedule(LoadSection(seed=2), queues, CUSTOMERS))

    def test_queues_peak_in_turn_about_their_mean(self):
        """Each queue keeps its mean; while one peaks the other has few arrivals."""
        cfg = LoadSection(duration=26 * 40 * SECOND)
        arrivals, _ = schedule(cfg, {"a": 20.0, "b": 20.0}, CUSTOMERS)
        counts = Counter(arrival.queue for arrival in arrivals)
        for queue in ("a", "b"):
            mean = counts[queue] / cfg.duration.total_seconds()
            self.assertAlmostEqual(mean, 20.0, delta=1.5)
        first = Counter(
            arrival.queue for arrival in arrivals if arrival.at < 4 * SECOND
        )
        self.assertGreater(first["a"], 20 * first["b"])
        large = sum(arrival.team == "large" for arrival in arrivals)
        self.assertAlmostEqual(large / len(arrivals), 0.8, delta=0.02)

    def test_number_of_requests_is_bounded(self):
        """No more arrivals are scheduled than the experiment allows."""
        arrivals, _ = schedule(LoadSection(max_requests=10), {"a": 99.0}, CUSTOMERS)
        self.assertEqual([arrival.number for arrival in arrivals], list(range(10)))

    def test_cancellations_come_in_waves(self):
        """Waves of cancellations come at their interval until the end."""
        cfg = LoadSection(duration=30 * SECOND, cancel_every=10 * SECOND)
        _, cancellations = schedule(cfg, {"a": 1.0}, CUSTOMERS)
        times = [wave.at for wave in cancellations]
        self.assertEqual(times, [10 * SECOND, 20 * SECOND, 30 * SECOND])


class TestExperimentFile(unittest.TestCase):
    """Experiment files in INI format."""

    def test_file_is_read(self):
        """An experiment names entries, queues, customers and keys."""
        text = EXPERIMENT.format(address="127.0.0.1:8101", remote="")
        cfg = parse_settings(text, LoadSettings)
        self.assertEqual(cfg.load.duration, timedelta(seconds=20))
        self.assertEqual(cfg.queues, {"listing": 40.0})

    def test_only_this_machine_is_loaded_by_default(self):
        """An address on another machine is refused unless `allow_remote` is set."""
        with self.assertRaises(InvalidSettingsError):
            text = EXPERIMENT.format(address="10.0.0.1:8101", remote="")
            parse_settings(text, LoadSettings)
        text = EXPERIMENT.format(address="10.0.0.1:8101", remote="allow_remote = true")
        self.assertTrue(parse_settings(text, LoadSettings).load.allow_remote)


if __name__ == "__main__":
    unittest.main()
