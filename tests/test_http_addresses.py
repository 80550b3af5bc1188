"""Tests of the form of addresses."""

import unittest

from redwingslip.http import is_address
from tests.support_odd import ODD_ADDRESSES


class TestIsAddress(unittest.TestCase):
    """Addresses that a client can call, and any other text."""

    def test_addresses(self):
        for text in ("10.0.0.9:1", "10.0.0.9:65535", "[::1]:80", "vm-1.example:8080"):
            with self.subTest(text=text):
                self.assertTrue(is_address(text))

    def test_any_other_text(self):
        """Guards against an address that no client can call."""
        for text in ODD_ADDRESSES:
            with self.subTest(text=text):
                self.assertFalse(is_address(text))
