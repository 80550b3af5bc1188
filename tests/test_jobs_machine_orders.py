"""Tests of the record of machine orders under leaders whose clocks differ."""

import unittest

from redwingslip.jobs._machine_orders import MachineOrders


class TestMachineOrders(unittest.TestCase):
    """A new leader must not overestimate the age of an order.

    It would then order a machine again while the previous order is still in flight.
    """

    def test_steady_time_bounds_a_jump_of_the_leaders_clock(self):
        orders = MachineOrders()
        orders.advance_to(10_000)
        begin_ms = orders.steady_ms
        for now_ms in (10_200, 9_000, 9_100, 99_000, 99_050):
            orders.advance_to(now_ms)
        self.assertEqual(orders.steady_ms - begin_ms, 200 + 0 + 100 + 500 + 50)

    def test_the_age_counts_from_the_last_order(self):
        orders = MachineOrders()
        orders.record("a")
        orders.advance_to(400)
        orders.record("a")
        orders.advance_to(500)
        self.assertEqual(dict(orders.ages_ms()), {"a": 100})

    def test_old_orders_are_forgotten(self):
        orders = MachineOrders()
        orders.record("a")
        for now_ms in range(0, 60_001, 500):
            orders.advance_to(now_ms)
        orders.record("b")
        self.assertEqual(dict(orders.ages_ms()), {"b": 0})


if __name__ == "__main__":
    unittest.main()
