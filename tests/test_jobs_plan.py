"""Tests of the checks of plans, and of amounts."""

import unittest

import msgspec

from redwingslip.jobs import (
    Amounts,
    Customer,
    InvalidPlanError,
    Plan,
    Pool,
    Queue,
    check_plan,
)

QUEUE = Queue(name="q", host="h", path_prefix="/q/", pool="p")
PLAN = Plan(
    version=1,
    queues=(QUEUE,),
    pools=(Pool(name="p"),),
    customers=(Customer(name="forges", keys=("k1",)),),
)


class TestCheckPlan(unittest.TestCase):
    """Each inconsistency is reported with the invalid part of the plan."""

    def assert_invalid(self, field, **changes):
        with self.assertRaises(InvalidPlanError) as caught:
            check_plan(msgspec.structs.replace(PLAN, **changes))
        self.assertIn(field, caught.exception.field)

    def test_a_consistent_plan_passes(self):
        check_plan(PLAN)

    def test_unknown_pool(self):
        queue = msgspec.structs.replace(QUEUE, pool="nowhere")
        self.assert_invalid("queue q", queues=(queue,))

    def test_two_queues_with_the_same_host_and_prefix(self):
        other = msgspec.structs.replace(QUEUE, name="other")
        self.assert_invalid("queue other", queues=(QUEUE, other))

    def test_two_queues_with_the_same_name(self):
        other = msgspec.structs.replace(QUEUE, path_prefix="/other/")
        self.assert_invalid("queue q", queues=(QUEUE, other))

    def test_two_customers_with_the_same_key(self):
        customers = (
            Customer(name="forges", keys=("k1",)),
            Customer(name="salvage", keys=("k1",)),
        )
        self.assert_invalid("customer salvage", customers=customers)

    def test_a_weight_of_zero(self):
        self.assert_invalid(
            "customer forges", customers=(Customer(name="forges", weight=0),)
        )


class TestAmounts(unittest.TestCase):
    """Comparison and arithmetic."""

    def test_fits_only_if_every_resource_does(self):
        need = Amounts(2, 3, 1)
        self.assertTrue(need.fits(Amounts(2, 3, 1)))
        for capacity in (Amounts(1, 3, 1), Amounts(2, 2, 1), Amounts(2, 3, 0)):
            self.assertFalse(need.fits(capacity))

    def test_sum_and_difference(self):
        total = Amounts(2, 3, 1) + Amounts(1, 1, 1)
        self.assertEqual(total, Amounts(3, 4, 2))
        self.assertEqual(total - Amounts(1, 1, 1), Amounts(2, 3, 1))
