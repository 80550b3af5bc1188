"""Histories of evacuations whose tasks need tickets, or have no budget.

They are played as in `test_scheduling_evacuation_budgets`, in virtual time.
"""

import unittest

from redwingslip.jobs import Amounts, Customer, JobSpec, Plan, ReplacePlan, StepSpec
from tests.support_virtual_time import run_virtually
from tests.test_scheduling_evacuation_budgets import N_VMS, EvacuatedPool
from tests.test_scheduling_wave_tickets import FewVmsAdviser

SEEDS = range(4)
N_TASKS = 4
NEED = Amounts(450, 10)


class TicketEvacuation(EvacuatedPool):
    """An evacuation of v0 and v1, of tasks that may run on the first `n_allowed` VMs.

    Attributes
    ----------
    n_stops : int
        Number of orders that stopped a long-running task.
    """

    disruption_budget = 1
    customer = ""

    def __init__(self, seed, *, n_allowed):
        super().__init__(seed, has_wave=False, has_leader_change=False)
        self.plan_options = {"needs_advice": True}
        self.adviser = FewVmsAdviser(self, n_allowed=n_allowed, decision_s=0.2)
        self.n_stops = 0

    async def submit_long_running(self, job_id):
        """Submit a job that fits on one VM."""
        self.world.start_up_s = self.rng.choice((0.1, 0.4, 1.1))
        self.world.failure_rate = 0
        self.world.on_stop = self.note_stop
        step = StepSpec(
            n_tasks=N_TASKS,
            need=NEED,
            is_long_running=True,
            disruption_budget=self.disruption_budget,
        )
        await self.world.submit(
            JobSpec(
                job_id=job_id,
                queue="q",
                pool="p",
                customer=self.customer,
                steps=(step,),
            )
        )

    def note_stop(self, endpoint, key):
        """Count the stop of a long-running task, and check its budget."""
        self.n_stops += self.world.state.step(key).is_long_running
        self.world.check_budgets(endpoint, {key})


class LimitedEvacuation(TicketEvacuation):
    """An evacuation of a step without a budget, of which one task can't be started.

    Its customer's limit has no room for all tasks.
    """

    disruption_budget = 0
    customer = "c"

    def __init__(self, seed):
        super().__init__(seed, n_allowed=0)
        self.plan_options = {}
        self.adviser = None

    async def submit_long_running(self, job_id):
        """Submit the first job only, as others would share the customer's limit."""
        if job_id != "long0":
            return
        limit = Amounts((N_TASKS - 1) * NEED.cpu)
        plan = self.world.state.plan
        plan = Plan(
            version=2,
            customers=(Customer(name="c", limit=limit),),
            queues=plan.queues,
            pools=plan.pools,
        )
        await self.world.term.propose_or_log(ReplacePlan(plan=plan))
        await super().submit_long_running(job_id)

    async def submit_short(self):
        """Submit no short jobs."""


class TestEvacuationTickets(unittest.TestCase):
    """Tasks leave for a place that they can take, and stay otherwise."""

    def play(self, history):
        """Play a history, and check that it broke no guarantee."""
        world = run_virtually(history.run)
        self.assertEqual(world.problems, [])
        self.assertEqual(len(world.endpoints), N_VMS)
        return history

    def test_tasks_stay_whose_tickets_are_for_the_data_centre_only(self):
        """Guards against tasks that leave and then wait for a ticket."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = self.play(TicketEvacuation(seed, n_allowed=2))
                self.assertEqual(history.n_stops, 0)

    def test_tasks_leave_that_get_a_ticket_elsewhere(self):
        """Guards against tasks that stay for lack of tickets nobody requests."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = self.play(TicketEvacuation(seed, n_allowed=4))
                self.assertEqual(history.n_there, 0)

    def test_a_task_that_can_not_start_does_not_keep_the_others(self):
        """Guards against a step without a budget that stays for good."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = self.play(LimitedEvacuation(seed))
                self.assertEqual(history.n_there, 0)


if __name__ == "__main__":
    unittest.main()
