"""Histories of waves over pools whose long-running tasks need tickets.

The pattern is an adviser that lets the tasks run on a few VMs only, all of whose
machines a wave is to maintain. The histories run in virtual time.
"""

import unittest

from redwingslip.jobs import Amounts, JobSpec, StepSpec
from redwingslip.scheduling import Advice
from tests.support_virtual_time import run_virtually
from tests.test_scheduling_budgets import BudgetPool
from tests.test_scheduling_long_running_room import SlowAdviser

SEEDS = range(5)


class FewVmsAdviser(SlowAdviser):
    """An adviser that lets long-running steps run on the first VMs of the pool only."""

    def __init__(self, pool, *, n_allowed, decision_s):
        super().__init__(pool, decision_s=decision_s)
        self.allowed = {f"v{number}" for number in range(n_allowed)}

    async def request_advice(self, step, vm_ids):
        """Return tickets for the VMs that the step may run on."""
        advice = await super().request_advice(step, vm_ids)
        if not step[0].startswith("long"):
            return advice
        tickets = {v: t for v, t in advice.tickets.items() if v in self.allowed}
        return Advice(tickets=tickets, validity=advice.validity)


class TicketPool(BudgetPool):
    """A pool whose long-running tasks may run on `n_allowed` VMs.

    Attributes
    ----------
    n_stops : int
        Number of orders that stopped a long-running task.
    blocked : set of str
        Machines that the leader reported as unable to be ready.
    """

    def __init__(self, seed, *, n_allowed):
        super().__init__(seed)
        self.plan_options = {"needs_advice": True}
        decision_s = self.rng.choice((0.1, 0.4))
        self.adviser = FewVmsAdviser(self, n_allowed=n_allowed, decision_s=decision_s)
        self.n_stops = 0
        self.blocked = set()

    async def submit_long_running(self, job_id):
        """Submit a job that fits on one VM, and of which one task may be away."""
        self.world.start_up_s = self.rng.choice((0.1, 0.4, 1.1))
        self.world.failure_rate = 0
        self.world.on_stop = self.note_stop
        self.world.term.emit = self.note_event
        step = StepSpec(
            n_tasks=self.rng.randint(2, 4),
            need=Amounts(450, 10),
            is_long_running=True,
            disruption_budget=1,
        )
        await self.world.submit(
            JobSpec(job_id=job_id, queue="q", pool="p", steps=(step,))
        )

    def note_stop(self, endpoint, key):
        """Count the stop of a long-running task, and check its budget."""
        self.n_stops += self.world.state.step(key).is_long_running
        self.world.check_budgets(endpoint, {key})

    def note_event(self, name, **fields):
        """Keep the machines that can't be ready."""
        if name.value == "maintenance.blocked":
            self.blocked.add(fields["vm"])


class TestWaveTickets(unittest.TestCase):
    """A task leaves its machine only for a place that it has a ticket for."""

    def test_tasks_stay_that_no_other_vm_may_run(self):
        """Guards against a task that is stopped again and again without a place.

        The rest of the wave is carried out, and the machine is reported.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = TicketPool(seed, n_allowed=1)
                world = run_virtually(history.run)
                self.assertEqual(world.problems, [])
                self.assertEqual(history.lost, {})
                self.assertEqual(history.n_stops, 0)
                others = {f"m-v{n}" for n in range(1, history.n_vms)}
                self.assertEqual(history.operations.maintained, others)
                self.assertEqual(history.blocked, {"m-v0"})

    def test_a_wave_completes_where_two_vms_may_run_the_tasks(self):
        """Guards against waves that never end, and tasks that wait for tickets."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                history = TicketPool(seed, n_allowed=2)
                world = run_virtually(history.run)
                self.assertEqual(world.problems, [])
                self.assertEqual(history.lost, {})
                self.assertEqual(len(history.operations.maintained), history.n_vms)


if __name__ == "__main__":
    unittest.main()
