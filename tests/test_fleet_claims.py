"""Tests of claims: a non-idempotent request runs at most once."""

import unittest
from datetime import UTC, datetime, timedelta

from redwingslip.fleet import (
    Accepted,
    Claim,
    ClaimKey,
    ClaimOutcome,
    ClaimTaken,
    ExpireEntry,
    ForgetClaims,
    NotAdmitted,
    RegisterEntry,
    SettleClaim,
)

from .fleet_driver import FleetDriver

KEY = ClaimKey(team="t", request_id="r")
NOON = datetime(2026, 1, 1, 12, tzinfo=UTC)
NOT_RUN = ClaimOutcome(run=False)
ANSWER = ClaimOutcome(run=True, status=200, body=b"ok")


def claim(attempt: str, forget_after: datetime = NOON) -> Claim:
    """Return a claim of request `KEY` by entry ``e``."""
    return Claim(
        key=KEY,
        entry_id="e",
        incarnation="1",
        attempt=attempt,
        forget_after=forget_after,
    )


def settle(attempt: str, outcome: ClaimOutcome) -> SettleClaim:
    """Return a command that settles an attempt."""
    return SettleClaim(key=KEY, attempt=attempt, outcome=outcome)


class TestClaim(unittest.TestCase):
    """Claims of one request id."""

    def setUp(self):
        """Start with one registered entry."""
        self.fleet = FleetDriver()

    def test_second_attempt_gets_the_first_outcome(self):
        """Only the first attempt may run; later ones get its outcome."""
        apply = self.fleet.apply
        self.assertIsInstance(apply(claim("a")), Accepted)
        self.assertEqual(apply(claim("b")), ClaimTaken(settled=False))
        apply(settle("a", ANSWER))
        taken = apply(claim("b"))
        self.assertEqual((taken.status, taken.body), (200, b"ok"))

    def test_expired_entry_leaves_an_unknown_outcome(self):
        """A claim is settled as unknown and stays claimed when its entry expires."""
        apply = self.fleet.apply
        apply(claim("a"))
        apply(ExpireEntry(entry_id="e", incarnation="1"))
        apply(RegisterEntry(entry_id="e", incarnation="2", address="here"))
        self.assertEqual(self.fleet.state.claim(KEY), ClaimTaken(settled=True))

    def test_forgotten_id_can_not_be_claimed_again(self):
        """A claim is refused if an earlier claim of its id may have been deleted."""
        apply = self.fleet.apply
        apply(claim("a"))
        apply(settle("a", ANSWER))
        apply(ForgetClaims(before=NOON))
        self.fleet.replace_leader()
        self.assertIsInstance(apply(claim("b")), NotAdmitted)
        later = claim("b", NOON + timedelta(seconds=1))
        self.assertIsInstance(apply(later), Accepted)

    def test_recorded_answer_is_final(self):
        """A second settlement of a run neither frees its id nor changes its answer."""
        apply = self.fleet.apply
        apply(claim("a"))
        apply(settle("a", ANSWER))
        apply(settle("a", NOT_RUN))
        apply(settle("a", ClaimOutcome(run=True, status=500)))
        self.assertEqual(self.fleet.state.claim(KEY).status, 200)

    def test_unknown_outcome_is_never_freed(self):
        """A late "not run" does not free a run that was settled as unknown."""
        apply = self.fleet.apply
        apply(claim("a"))
        apply(ExpireEntry(entry_id="e", incarnation="1"))
        apply(settle("a", NOT_RUN))
        self.assertEqual(self.fleet.state.claim(KEY), ClaimTaken(settled=True))

    def test_late_answer_replaces_unknown(self):
        """A late answer replaces the unknown outcome of a run."""
        apply = self.fleet.apply
        apply(claim("a"))
        apply(ExpireEntry(entry_id="e", incarnation="1"))
        apply(settle("a", ANSWER))
        self.assertEqual(self.fleet.state.claim(KEY).status, 200)

    def test_late_copy_of_an_ended_attempt_claims_nothing(self):
        """A resent claim of an attempt that did not run does not block the next."""
        apply = self.fleet.apply
        apply(claim("a"))
        apply(settle("a", NOT_RUN))
        self.assertIsNone(self.fleet.state.claim(KEY))
        self.assertEqual(apply(claim("a")), ClaimTaken(settled=True, run=False))
        self.fleet.replace_leader()
        self.assertIsInstance(apply(claim("b")), Accepted)
        self.assertEqual(apply(claim("a")), ClaimTaken(settled=True, run=False))
        self.assertEqual(apply(claim("b")), Accepted(version=self.fleet.index))


if __name__ == "__main__":
    unittest.main()
