"""Tests of ejections; the pattern is a VM that fails all runs, and a poison flood."""

import unittest
from datetime import timedelta

from redwingslip.clock import ManualClock
from redwingslip.placement import ArrivalTrend
from redwingslip.scheduling import LeaderPolicy
from redwingslip.scheduling._advice import AdviceCache
from redwingslip.scheduling._ejections import ejected_vms
from redwingslip.scheduling._job_index import JobIndex
from redwingslip.scheduling._machines import MachineRegistry
from redwingslip.scheduling._moves import MoveManager
from redwingslip.scheduling._rounds import PlacementRounds
from tests.support_scheduling import (
    FakeEndpoint,
    FakePlatform,
    FakeTerm,
    make_agent,
    make_job,
    make_state,
    make_vm,
)
from tests.support_virtual_time import VirtualTimeTestCase

MAX_SHARE = 0.34


class NoAdvice:
    """An adviser that no queue of the plan needs."""

    async def advise(self, *args, **options):
        """Fail, since no queue needs advice."""
        raise AssertionError(args, options)


class EjectionCase(VirtualTimeTestCase):
    """A pool of VMs that all answer their polls."""

    n_vms = 6

    def setUp(self):
        vms = [make_vm(f"v{number}") for number in range(1, self.n_vms + 1)]
        job = make_job(n_tasks=24, max_per_vm=0)
        self.state = make_state(*vms, jobs=[job])
        self.clock = ManualClock()
        self.clock.advance(timedelta(seconds=10))
        self.term = FakeTerm(self.state, self.clock)
        self.agents = {}
        for vm in vms:
            agent = make_agent(vm, FakeEndpoint(), self.term)
            agent._has_renewed_lease = True
            agent.lease.note_contact(self.clock.monotonic())
            self.agents[vm.vm_id] = agent
        self.machines = MachineRegistry(
            self.term, self.agents, takeover_delay=timedelta(0)
        )

    def eject(self, *vm_ids):
        """Let two jobs fail on each of the VMs."""
        now = self.clock.monotonic()
        for vm_id in vm_ids:
            for job in ("a", "b"):
                self.agents[vm_id].health.note_failure(
                    job, 0, now, fails_elsewhere=True
                )

    def ejected(self):
        """Return the VMs that get no new runs."""
        now = self.clock.monotonic()
        return ejected_vms(self.agents, now, max_share=MAX_SHARE)

    def new_rounds(self):
        """Return the rounds of placement."""
        cfg = LeaderPolicy()
        job_index = JobIndex(self.state)
        advice = AdviceCache(
            adviser=NoAdvice(),
            candidates=lambda pool: (),
            clock=self.clock,
            events=self.term.events,
            on_advice=lambda: None,
            cfg=cfg.advice,
        )
        return PlacementRounds(
            term=self.term, machines=self.machines, job_index=job_index, advice=advice
        )


class TestEjectedVms(EjectionCase):
    """Which ejections have an effect."""

    async def test_failing_vms_are_ejected(self):
        self.eject("v1", "v2")
        self.assertEqual(self.ejected(), {"v1", "v2"})

    async def test_none_is_ejected_while_most_of_the_pool_fails(self):
        self.eject("v1", "v2", "v3")
        self.assertEqual(self.ejected(), frozenset())

    async def test_unresponsive_vms_do_not_count(self):
        self.eject("v1")
        for vm_id in ("v2", "v3", "v4", "v5", "v6"):
            self.agents[vm_id].vm = make_vm(vm_id, is_draining=True)
        self.assertEqual(self.ejected(), frozenset())


class TestPlacement(EjectionCase):
    """What placement and the moves of machines do about an ejected VM."""

    async def test_a_full_pool_puts_nothing_on_a_failing_vm(self):
        """24 tasks of a core wait, and the five sound VMs have 20 cores."""
        self.eject("v1")
        rounds = self.new_rounds()
        starts = rounds.decide()
        self.assertEqual(len(starts), 20)
        self.assertNotIn("v1", {start.vm_id for start in starts})
        self.assertEqual(rounds.backlog["p"].cpu, 4_000)

    async def test_the_pool_replaces_the_capacity_of_a_failing_vm(self):
        moves = MoveManager(
            term=self.term,
            machines=self.machines,
            operations=FakePlatform(),
            backlog={},
            cfg=LeaderPolicy(),
            trend=ArrivalTrend(LeaderPolicy().arrivals),
        )
        now = self.clock.monotonic()
        before = moves._serving_load("p", now)
        self.eject("v1")
        after = moves._serving_load("p", now)
        self.assertEqual(before.room - after.room, 4_000)
        self.assertEqual(after.n_vms, 5)


if __name__ == "__main__":
    unittest.main()
