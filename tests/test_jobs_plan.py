"""Tests of plans that contradict themselves."""

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
    """Each contradiction is found and names the part at fault."""

    def check(self, field, **changes):
        with self.assertRaises(InvalidPlanError) as caught:
            check_plan(msgspec.structs.replace(PLAN, **changes))
        self.assertIn(field, caught.exception.field)

    def test_a_sound_plan_passes(self):
        check_plan(PLAN)

    def test_unknown_pool(self):
        queue = msgspec.structs.replace(QUEUE, pool="nowhere")
        self.check("queue q", queues=(queue,))

    def test_two_queues_in_one_place(self):
        other = msgspec.structs.replace(QUEUE, name="other")
        self.check("queue other", queues=(QUEUE, other))

    def test_two_queues_of_one_name(self):
        other = msgspec.structs.replace(QUEUE, path_prefix="/other/")
        self.check("queue q", queues=(QUEUE, other))

    def test_a_key_of_two_customers(self):
        customers = (
            Customer(name="forges", keys=("k1",)),
            Customer(name="salvage", keys=("k1",)),
        )
        self.check("customer salvage", customers=customers)

    def test_a_share_of_nothing(self):
        self.check("customer forges", customers=(Customer(name="forges", weight=0),))


class TestAmounts(unittest.TestCase):
    """Sums and fits."""

    def test_fits_only_where_everything_does(self):
        need = Amounts(2, 3, 1)
        self.assertTrue(need.fits(Amounts(2, 3, 1)))
        for room in (Amounts(1, 3, 1), Amounts(2, 2, 1), Amounts(2, 3, 0)):
            self.assertFalse(need.fits(room))

    def test_sum_and_difference(self):
        total = Amounts(2, 3, 1) + Amounts(1, 1, 1)
        self.assertEqual(total, Amounts(3, 4, 2))
        self.assertEqual(total - Amounts(1, 1, 1), Amounts(2, 3, 1))
