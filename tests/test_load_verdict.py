"""Tests of the check of outcomes and of share nearness."""

import tempfile
import unittest
from datetime import UTC, datetime, timedelta
from pathlib import Path

import msgspec

from redwingslip.load import (
    CallOutcome,
    CustomerSettings,
    OutcomeKind,
    Verdict,
    check_outcomes,
)
from redwingslip.load._shares import PoolLoad, share_report, water_fill
from redwingslip.load._verdict import RunEvent, read_runs

from . import SECOND

NOON = datetime(2026, 1, 1, 12, tzinfo=UTC)


def make_outcome(kind: OutcomeKind, body: str, **options) -> CallOutcome:
    """Return the outcome of a request as its caller saw it."""
    return CallOutcome(
        number=0,
        queue="q",
        team="t",
        idempotent=options.pop("idempotent", False),
        body_sha256=body,
        kind=kind,
        **options,
    )


def make_run_event(event: str, body: str, at: float = 0.0, **options) -> RunEvent:
    """Return a line of an endpoint's record."""
    return RunEvent(
        time=NOON + timedelta(seconds=at),
        event=event,
        permit_id=options.pop("permit_id", body),
        request_id=options.pop("request_id", body + ".1"),
        team=options.pop("team", "t"),
        body_sha256=body,
    )


class TestCheckOutcomes(unittest.TestCase):
    """Violations that `check_outcomes` finds."""

    def test_correct_outcomes_are_clean(self):
        """Answers with one complete run, and refusals without a run, are correct."""
        calls = [
            make_outcome(OutcomeKind.ANSWERED, "a"),
            make_outcome(OutcomeKind.NOT_RUN, "b", request_id="b"),
            make_outcome(OutcomeKind.UNKNOWN, "c"),
            make_outcome(OutcomeKind.CANCELLED, "d"),
            make_outcome(OutcomeKind.NOT_ASKED, "e"),
        ]
        runs = [
            make_run_event("start", "a"),
            make_run_event("end", "a"),
            make_run_event("start", "c"),
        ]
        verdict = check_outcomes(calls, runs)
        expected = Verdict(
            n_asked=4, n_answered=1, n_not_run=1, n_unknown=1, n_cancelled=1
        )
        self.assertEqual(verdict, expected)
        self.assertTrue(verdict.is_clean)

    def test_second_run_of_a_non_idempotent_request_is_found(self):
        """Two starts are a duplicated run, unless the request is idempotent."""
        runs = [
            make_run_event("start", "a"),
            make_run_event("start", "a"),
            make_run_event("end", "a"),
        ]
        self.assertEqual(
            check_outcomes([make_outcome(OutcomeKind.ANSWERED, "a")], runs).n_doubled, 1
        )
        idempotent = make_outcome(OutcomeKind.ANSWERED, "a", idempotent=True)
        self.assertTrue(check_outcomes([idempotent], runs).is_clean)

    def test_false_refusal_is_found_by_body_and_by_id(self):
        """A refusal as not run is false when a run was started."""
        by_body = make_outcome(OutcomeKind.NOT_RUN, "a")
        by_id = make_outcome(OutcomeKind.NOT_RUN, "other", request_id="a")
        for outcome in (by_body, by_id):
            verdict = check_outcomes([outcome], [make_run_event("start", "a")])
            self.assertEqual(verdict.n_false_refusals, 1)

    def test_answer_without_a_run_is_lost(self):
        """An answer without an ended run is lost, and so is a missing outcome."""
        calls = [
            make_outcome(OutcomeKind.ANSWERED, "a"),
            make_outcome(OutcomeKind.LOST, "b"),
        ]
        self.assertEqual(
            check_outcomes(calls, [make_run_event("start", "a")]).n_lost, 2
        )

    def test_crossed_answer_is_found(self):
        """A verdict with another request's answer is not clean."""
        outcome = make_outcome(OutcomeKind.ANSWERED, "a", is_crossed=True)
        verdict = check_outcomes(
            [outcome], [make_run_event("start", "a"), make_run_event("end", "a")]
        )
        self.assertFalse(verdict.is_clean)

    def test_cut_line_of_a_record_is_left_out(self):
        """A record whose last line was cut off by a kill is still read."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "e.runs"
            line = msgspec.json.encode(make_run_event("start", "a"))
            path.write_bytes(line + b"\n" + line[:20])
            self.assertEqual(read_runs([path]), [make_run_event("start", "a")])


class TestShares(unittest.TestCase):
    """Entitlement and nearness."""

    def test_water_filling(self):
        """No team gets more than it wants; the rest goes by share."""
        shares = {"a": 1.0, "b": 1.0, "c": 2.0}
        portions = water_fill(8.0, {"a": 1.0, "b": 9.0, "c": 9.0}, shares)
        self.assertAlmostEqual(portions["a"], 1.0)
        self.assertAlmostEqual(portions["b"], 7.0 / 3)
        self.assertAlmostEqual(portions["c"], 14.0 / 3)

    def test_nearness_counts_full_seconds_only(self):
        """Two equal teams with full demand that get 3 to 1 have a nearness of 0.75."""
        customers = [
            CustomerSettings(team=team, weight=1.0, key="") for team in ("s", "t")
        ]
        runs = []
        for slot, team in enumerate(("s", "s", "s", "t")):
            permit = f"{slot}"
            runs.append(make_run_event("start", "x", 0.0, permit_id=permit, team=team))
            runs.append(make_run_event("end", "x", 1.0, permit_id=permit, team=team))
        asked = [("s", 0.0, 1.0)] * 4 + [("t", 0.0, 1.0)] * 4
        pool = PoolLoad(n_slots=4, runs=runs, asked=asked)
        report = share_report([pool], customers, NOON, 2 * SECOND)
        self.assertEqual(report.n_windows, 1)
        self.assertAlmostEqual(report.nearness, 0.75)
        self.assertAlmostEqual(report.buffer_cost, 0.5)

    def test_unfair_pools_do_not_even_out(self):
        """Too much in one pool does not make up for too little in another."""
        customers = [
            CustomerSettings(team=team, weight=1.0, key="") for team in ("s", "t")
        ]
        pools = []
        for team in ("s", "t"):
            runs = [
                make_run_event(event, "x", at, permit_id=f"{slot}", team=team)
                for slot in range(2)
                for event, at in (("start", 0.0), ("end", 1.0))
            ]
            asked = [("s", 0.0, 1.0)] * 2 + [("t", 0.0, 1.0)] * 2
            pools.append(PoolLoad(n_slots=2, runs=runs, asked=asked))
        report = share_report(pools, customers, NOON, SECOND)
        self.assertEqual(report.n_windows, 2)
        self.assertAlmostEqual(report.nearness, 0.5)


if __name__ == "__main__":
    unittest.main()
