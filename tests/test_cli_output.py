"""Tests of printing tables."""

import contextlib
import io
import unittest

from redwingslip.cli._output import MAX_LIST_ITEMS, print_rows


class TestPrintRows(unittest.TestCase):
    """Tables for people."""

    def show(self, value) -> str:
        """Return how a value is shown in a table."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            print_rows(["x"], [[value]])
        return output.getvalue().splitlines()[1].strip()

    def test_values_are_readable(self):
        """None, booleans and empty values are not shown in Python's notation."""
        cases = {None: "-", True: "yes", False: "no", "": "-", 1.5: "1.5"}
        for value, expected in cases.items():
            with self.subTest(value):
                self.assertEqual(self.show(value), expected)
        self.assertEqual(self.show([]), "-")

    def test_markup_in_names_is_shown_as_it_is(self):
        """A name can't change the format of the table."""
        self.assertEqual(self.show("[bold]x[/bold]"), "[bold]x[/bold]")

    def test_long_lists_are_cut_with_a_count(self):
        """A list of over a hundred pools must not fill the screen."""
        items = [f"p{i}" for i in range(MAX_LIST_ITEMS + 100)]
        self.assertTrue(self.show(items).endswith("p7 and 100 more"))


if __name__ == "__main__":
    unittest.main()
