"""Tests of the memory of orders, over clocks that disagree."""

import unittest

from redwingslip.jobs._machine_orders import MachineOrders


class TestMachineOrders(unittest.TestCase):
    """A new leader must not take an order for older than it is."""

    def test_steady_time_hardly_follows_another_leaders_clock(self):
        orders = MachineOrders()
        orders.advance_to(10_000)
        begin = orders.steady_ms
        for now_ms in (10_200, 9_000, 9_100, 99_000, 99_050):
            orders.advance_to(now_ms)
        self.assertEqual(orders.steady_ms - begin, 200 + 0 + 100 + 500 + 50)

    def test_the_last_order_counts(self):
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
