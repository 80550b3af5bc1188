"""Tests of operators' calls on evacuations, as the platform makes them."""

import asyncio

import msgspec

from redwingslip.jobs import RunStart, StartRuns, TaskKey
from redwingslip.observe import EventName
from redwingslip.peers import CallSource, RelayedCall
from redwingslip.platform import answer_call
from redwingslip.scheduling import (
    CommandOutcomeUnknownError,
    EvacuationCalls,
    EvacuationSettings,
    JobService,
    NotLeadingError,
)
from tests.support_scheduling import FakeTerm, make_job, make_state, make_vm
from tests.support_virtual_time import VirtualTimeTestCase


class TestEvacuationCalls(VirtualTimeTestCase):
    """Two data centres with a VM of four cores each, which run tasks of a core."""

    def build(self, *data_centres, n_tasks=6):
        vms = [make_vm("v1", data_centre="east"), make_vm("v2", data_centre="west")]
        self.state = make_state(*vms, jobs=[make_job(n_tasks=n_tasks)])
        starts = tuple(
            RunStart(TaskKey("j1", 0, 0, index), f"v{index % 2 + 1}", 1)
            for index in range(n_tasks)
        )
        self.state.apply(StartRuns(starts=starts, now_ms=1))
        self.term = FakeTerm(self.state)
        self.warnings = []
        self.term.emit = lambda name, *, detail="", **_: (
            name is EventName.WARNING and self.warnings.append(detail)
        )
        cfg = EvacuationSettings(data_centres=data_centres)
        self.service = JobService(term=self.term, scheduler=self)
        self.evacuations = EvacuationCalls(term=self.term, cfg=cfg)

    async def call(self, verb, name="east", method="POST"):
        """Return the status and the body of the answer to a call."""
        path = f"/evacuations/{name}/{verb}"
        call = RelayedCall(
            number=1, source=CallSource.CONTROL, method=method, path=path
        )
        answer = await answer_call(self.service, call, own_address="10.0.0.1:80")
        return answer.status, msgspec.json.decode(answer.body)

    async def test_repeats_and_a_finish_without_a_start_propose_nothing(self):
        """Guards against log entries, and refusals, of calls that change nothing."""
        self.build()
        for verb, n_commands in (("finish", 0), ("start", 1), ("finish", 2)):
            for _ in range(2):
                self.assertEqual(await self.call(verb), (200, {}))
            self.assertEqual(self.term.n_commands, n_commands)
        self.assertEqual((await self.call("start", method="GET"))[0], 404)

    async def test_a_finish_follows_a_start_that_is_being_committed(self):
        """Guards against an evacuation that begins after its end was acknowledged."""
        self.build()
        await asyncio.gather(self.call("start"), self.call("finish"))
        self.assertEqual(self.state.evacuations.started, {})

    async def test_a_lost_leader_is_answered_so_that_the_operator_retries(self):
        """Guards against a 2xx, or a final 4xx, without a commit."""
        self.build()
        for error, status in (NotLeadingError, 503), (CommandOutcomeUnknownError, 504):

            async def propose(command, error=error):
                raise error("the term has ended")

            self.term.propose = propose
            self.assertEqual((await self.call("start"))[0], status)

    async def test_unknown_data_centres_are_named_if_the_known_ones_are_listed(self):
        """Guards against a typing error that is acknowledged."""
        self.build("north")
        for verb in ("start", "finish"):
            status, body = await self.call(verb, "eest")
            self.assertEqual(status, 404)
            self.assertIn("eest", body["error"])
        # The settings list one, a VM has reported the other.
        for name in ("north", "east"):
            self.assertEqual((await self.call("start", name))[0], 200)
        self.build()
        self.assertEqual((await self.call("start", "eest"))[0], 200)

    async def test_pools_without_vms_or_room_are_logged(self):
        """Guards against a fleet that stands still without a line in the log."""
        self.build()
        self.state.vms["v3"] = make_vm("v3", data_centre="north")
        await self.call("start", "east")
        self.assertEqual(self.warnings, [])
        await self.call("start", "west")
        self.assertIn("pool p keeps 1 of 3 VMs, 4000 mcpu, with 6000", self.warnings[0])
        await self.call("start", "north")
        self.assertIn("pool p keeps 0 of 3 VMs, 0 mcpu", self.warnings[1])
