"""Tests of the tracking of reboot orders and their answers."""

import unittest

from redwingslip.maintenance import WaveSettings
from redwingslip.maintenance._reboots import RebootTracker
from redwingslip.peers._messages import RebootDone, RebootOrder

from . import SECOND


class TestReboots(unittest.TestCase):
    """Orders, refusals and answers."""

    def setUp(self):
        """Order one reboot at time 0."""
        self.settings = WaveSettings()
        self.reboots = RebootTracker(self.settings)
        self.order(0 * SECOND)

    def order(self, now):
        """Record that the order was sent."""
        order = RebootOrder(vm="v", wave="w", operation_id="o")
        self.reboots.note_order(order, now)

    def answer(self, accepted: bool):
        """Record an answer."""
        answer = RebootDone(vm="v", wave="w", operation_id="o", accepted=accepted)
        self.reboots.note_answer(answer, 0 * SECOND)

    def test_first_refusals_do_not_stop_the_orders(self):
        """An order is repeated until it has been refused three times."""
        for expected in (False, False, True):
            self.answer(False)
            self.assertIs(self.reboots.is_refused("o"), expected)

    def test_vm_returns_to_service_only_after_the_last_order_has_expired(self):
        """A refused reboot is given up `refusal_wait` after its last order."""
        self.order(10 * SECOND)
        for _ in range(3):
            self.answer(False)
        end = 10 * SECOND + self.settings.refusal_wait
        self.assertFalse(self.reboots.is_given_up("o", end - SECOND))
        self.assertTrue(self.reboots.is_given_up("o", end))

    def test_reboot_that_was_done_is_not_given_up(self):
        """A reboot that one entry reports as done counts despite other refusals."""
        for accepted in (False, False, False, True, False):
            self.answer(accepted)
        self.assertTrue(self.reboots.is_done("o"))
        self.assertFalse(self.reboots.is_given_up("o", 9_999 * SECOND))


if __name__ == "__main__":
    unittest.main()
