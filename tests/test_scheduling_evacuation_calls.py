"""Tests of operators' calls on evacuations of data centres."""

import asyncio
import unittest

from redwingslip.jobs import Amounts, RunStart, StartRuns, TaskKey
from redwingslip.observe import EventName
from redwingslip.scheduling import (
    CommandOutcomeUnknownError,
    EvacuationCalls,
    EvacuationSettings,
    UnknownDataCentreError,
)
from tests.support_scheduling import FakeTerm, make_job, make_state, make_vm


class TestEvacuationCalls(unittest.IsolatedAsyncioTestCase):
    """Two data centres with a VM of four cores each."""

    def build(self, *data_centres):
        job = make_job(n_tasks=6)
        vms = [make_vm("v1", data_centre="east"), make_vm("v2", data_centre="west")]
        self.state = make_state(*vms, jobs=[job])
        self.term = FakeTerm(self.state)
        self.events = []
        self.term.emit = lambda name, *, detail="", **_: self.events.append(
            (name, detail)
        )
        cfg = EvacuationSettings(data_centres=data_centres)
        self.calls = EvacuationCalls(term=self.term, cfg=cfg)

    def run_tasks(self, **n_by_vm):
        vms = [vm for vm, count in n_by_vm.items() for _ in range(count)]
        starts = tuple(
            RunStart(TaskKey("j1", 0, 0, index), vm, 1) for index, vm in enumerate(vms)
        )
        self.state.apply(StartRuns(starts=starts, now_ms=1))

    def warnings(self):
        return [d for name, d in self.events if name is EventName.WARNING]

    async def test_repeats_and_a_finish_without_a_start_propose_nothing(self):
        """Guards against log entries for calls that change nothing."""
        self.build()
        await self.calls.finish("east")
        self.assertEqual(self.term.n_commands, 0)
        for _ in range(2):
            await self.calls.start("east")
        self.assertEqual(self.term.n_commands, 1)
        for _ in range(2):
            await self.calls.finish("east")
        self.assertEqual(self.term.n_commands, 2)
        names = [name for name, _ in self.events if name is not EventName.WARNING]
        expected = [EventName.EVACUATION_STARTED, EventName.EVACUATION_FINISHED]
        self.assertEqual(names, expected)

    async def test_a_finish_follows_a_start_that_is_being_committed(self):
        """Guards against an evacuation that begins after its end was acknowledged."""
        self.build()
        start = asyncio.create_task(self.calls.start("east"))
        finish = asyncio.create_task(self.calls.finish("east"))
        await asyncio.gather(start, finish)
        self.assertEqual(self.state.evacuations.started, {})

    async def test_no_response_without_a_commit(self):
        """Guards against an acknowledgement that a later leader doesn't know."""
        self.build()

        async def propose(command):
            raise CommandOutcomeUnknownError("the term has ended")

        self.term.propose = propose
        with self.assertRaises(CommandOutcomeUnknownError):
            await self.calls.start("east")
        self.assertEqual(self.events, [])
        # The next call finds no command of this one in progress.
        await self.calls.finish("east")

    async def test_unknown_data_centres_are_named_if_the_known_ones_are_listed(self):
        """Guards against a typing error that is acknowledged."""
        self.build("north")
        for call in (self.calls.start, self.calls.finish):
            with self.assertRaisesRegex(UnknownDataCentreError, "'eest'"):
                await call("eest")
        await self.calls.start("north")
        # A VM has reported it.
        await self.calls.start("east")
        self.assertEqual(set(self.state.evacuations.started), {"north", "east"})

    async def test_any_data_centre_is_accepted_without_a_list(self):
        self.build()
        await self.calls.start("eest")
        self.assertTrue(self.state.evacuations.includes("eest"))
        with self.assertRaises(UnknownDataCentreError):
            await self.calls.start("x" * 300)

    async def test_pools_without_vms_or_room_are_named(self):
        """Guards against a fleet that stands still without a line in the log."""
        self.build()
        self.run_tasks(v1=3, v2=3)
        await self.calls.start("east")
        # The pool gets further machines.
        self.assertEqual(self.warnings(), [])
        await self.calls.start("west")
        (warning,) = self.warnings()
        self.assertIn("pool p keeps 0 of 2 VMs, 0 mcpu, with 6000 mcpu in use", warning)

    async def test_a_second_evacuation_warns_of_too_little_capacity(self):
        self.build()
        vms = [
            make_vm("v1", data_centre="east"),
            make_vm("v2", data_centre="west"),
            make_vm("v3", data_centre="north", capacity=Amounts(1000, 4000)),
        ]
        self.state.vms = {vm.vm_id: vm for vm in vms}
        self.run_tasks(v1=1, v2=1)
        await self.calls.start("east")
        self.assertEqual(self.warnings(), [])
        await self.calls.start("west")
        (warning,) = self.warnings()
        self.assertIn("pool p keeps 1 of 3 VMs, 1000 mcpu", warning)

    async def test_the_list_tells_what_is_left(self):
        self.build()
        self.run_tasks(v1=2)
        await self.calls.start("east")
        (status,) = self.calls.statuses()
        self.assertEqual(status.data_centre, "east")
        self.assertEqual(
            (status.n_vms, status.n_tasks, status.n_short_tasks), (1, 0, 2)
        )
