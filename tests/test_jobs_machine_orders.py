"""Tests of the memory of orders, over clocks that disagree."""

import unittest

from redwingslip.jobs._machine_orders import MachineOrders


class TestMachineOrders(unittest.TestCase):
    """A new leader must not take an order for older than it is."""

    def test_steady_time_hardly_follows_another_leaders_clock(self):
        orders = MachineOrders()
        orders.pass_time(10_000)
        begin = orders.steady_ms
        for now_ms in (10_200, 9_000, 9_100, 99_000, 99_050):
            orders.pass_time(now_ms)
        self.assertEqual(orders.steady_ms - begin, 200 + 0 + 100 + 500 + 50)

    def test_the_last_order_counts(self):
        orders = MachineOrders()
        orders.note("a")
        orders.pass_time(400)
        orders.note("a")
        orders.pass_time(500)
        self.assertEqual(dict(orders.ages_ms()), {"a": 100})

    def test_old_orders_are_forgotten(self):
        orders = MachineOrders()
        orders.note("a")
        for now_ms in range(0, 60_001, 500):
            orders.pass_time(now_ms)
        orders.note("b")
        self.assertEqual(dict(orders.ages_ms()), {"b": 0})


if __name__ == "__main__":
    unittest.main()
