"""Tests of the experiments: repeatability, the bound and the measures."""

import pathlib
import tempfile
import unittest
from datetime import timedelta

import msgspec

from redwingslip.experiments import (
    Arrival,
    ExperimentFileError,
    Window,
    generate_arrivals,
    max_timely_answers,
    nearness,
    read_experiment,
    run_experiment,
)
from tests import SECOND

ROOT = pathlib.Path(__file__).resolve().parent.parent
BRITTANY = ROOT / "examples" / "experiments" / "brittany.ini"


def make_arrival(number: int, at: float, run: float, deadline: float) -> Arrival:
    """Return an arrival; times in seconds."""
    return Arrival(
        number=number,
        at=timedelta(seconds=at),
        team="x",
        queue="q",
        urgent=True,
        run=timedelta(seconds=run),
        declared=SECOND,
        deadline=timedelta(seconds=deadline),
    )


class TestReadExperiment(unittest.TestCase):
    """Reading experiment files."""

    def test_both_sites_can_be_read(self):
        """The example files are well-formed."""
        sites = [read_experiment(p).site for p in sorted(BRITTANY.parent.glob("*.ini"))]
        self.assertEqual(sites, ["brittany", "central-slovakia"])

    def test_malformed_file_is_named_in_the_error(self):
        """The error names the file and the missing option."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "bad.ini"
            path.write_text("[experiment]\nsite = x\n")
            with self.assertRaisesRegex(ExperimentFileError, r"bad\.ini.*n_workers"):
                read_experiment(path)


class TestMaxTimelyAnswers(unittest.TestCase):
    """The upper bound on timely answers."""

    def test_requests_that_do_not_fit_in_their_interval_are_lost(self):
        """Of ten seconds of work, two fit in two seconds of one slot."""
        arrivals = [make_arrival(n, 0.0, 1.0, 2.0) for n in range(10)]
        self.assertEqual(max_timely_answers(arrivals, 1), 2)
        self.assertEqual(max_timely_answers(arrivals, 4), 8)

    def test_work_that_can_wait_is_not_lost(self):
        """With a long deadline all requests are answered in time."""
        arrivals = [make_arrival(n, 0.0, 1.0, 20.0) for n in range(10)]
        self.assertEqual(max_timely_answers(arrivals, 1), 10)


class TestNearness(unittest.TestCase):
    """Share nearness."""

    def test_exact_shares_give_one(self):
        """Teams that get exactly their shares have a nearness of 1."""
        window = Window(got={"a": 3.0, "b": 1.0})
        self.assertEqual(nearness([window], {"a": 3.0, "b": 1.0}), 1.0)

    def test_misallocated_part_counts_once(self):
        """A quarter that went to the wrong team lowers the nearness by a quarter."""
        window = Window(got={"a": 3.0, "b": 1.0})
        self.assertEqual(nearness([window], {"a": 1.0, "b": 1.0}), 0.75)

    def test_team_that_lacks_nothing_may_get_less_than_its_share(self):
        """Capacity that one team does not demand goes to the others by share."""
        window = Window(got={"a": 1.0, "b": 3.0}, satisfied={"a"})
        self.assertEqual(nearness([window], {"a": 1.0, "b": 1.0}), 1.0)


class TestRunExperiment(unittest.TestCase):
    """Policies compared on the same arrivals."""

    @classmethod
    def setUpClass(cls):
        """Generate 12 s of a site's arrivals and run two policies on them."""
        spec = read_experiment(BRITTANY)
        cls.spec = msgspec.structs.replace(spec, duration_s=12.0, n_workers=4)
        cls.arrivals = generate_arrivals(cls.spec)
        cls.n_bound = max_timely_answers(cls.arrivals, cls.spec.n_slots_total)
        cls.fair = cls.run_policy("weighted fair")
        cls.first = cls.run_policy("first come")

    @classmethod
    def run_policy(cls, policy: str):
        """Run a policy on the arrival list."""
        return run_experiment(
            cls.spec, cls.arrivals, policy=policy, n_bound=cls.n_bound
        )

    def test_run_repeats_exactly(self):
        """The same list and policy give the same measures."""
        self.assertEqual(self.run_policy("weighted fair"), self.fair)

    def test_weighted_fair_answers_more_in_time_than_first_come(self):
        """In a peak beyond the pool's capacity it reaches 0.95 of the bound."""
        self.assertGreater(self.fair.n_timely, self.first.n_timely)
        self.assertGreaterEqual(self.fair.n_timely, 0.95 * self.n_bound)

    def test_shares_are_near_when_the_pool_is_full(self):
        """When every slot is in use, the teams come close to their shares."""
        self.assertGreater(self.fair.n_full_windows, 2)
        self.assertGreaterEqual(self.fair.share_nearness, 0.97)


if __name__ == "__main__":
    unittest.main()
