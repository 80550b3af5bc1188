"""Tests of the limits on answers that are being received."""

import unittest

import msgspec
from aiosonic.exceptions import HttpParsingError

from redwingslip.http import ClientLimits
from redwingslip.http._answer_budget import SMALL_ANSWER_BYTES, AnswerBudget

LARGE = 2 * SMALL_ANSWER_BYTES


class TestAnswerBudget(unittest.TestCase):
    """A budget for two large answers."""

    def setUp(self):
        cfg = msgspec.structs.replace(
            ClientLimits(), max_answer_bytes=LARGE, max_total_answer_bytes=2 * LARGE
        )
        self.budget = AnswerBudget(cfg)

    def test_answer_above_the_limit_is_refused(self):
        """Guards against a part that is read before its size is looked at."""
        claim = self.budget.claim()
        claim.add(LARGE)
        with self.assertRaises(HttpParsingError):
            claim.add(1)

    def test_answers_together_are_limited(self):
        """Guards against many answers that are allowed each."""
        for _ in range(2):
            self.budget.claim().add(LARGE)
        with self.assertRaises(HttpParsingError):
            self.budget.claim().add(LARGE)

    def test_small_answer_is_always_received(self):
        """Guards against large answers that keep those of ordinary VMs out."""
        for _ in range(2):
            self.budget.claim().add(LARGE)
        self.budget.claim().add(SMALL_ANSWER_BYTES)

    def test_released_memory_is_free(self):
        """Guards against claims that add up over time."""
        claim = self.budget.claim()
        for _ in range(10):
            claim.add(LARGE)
            claim.release()
        self.assertEqual(self.budget.n_bytes, 0)
