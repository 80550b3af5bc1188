"""Tests of the translation of submitters' calls."""

import msgspec

from redwingslip.jobs import (
    Customer,
    JobsState,
    JobStatus,
    Plan,
    Pool,
    Queue,
    ReplacePlan,
)
from redwingslip.peers import CallSource, RelayedCall
from redwingslip.scheduling import JobService
from redwingslip.submitters import answer_submitter
from tests.support_scheduling import FakeTerm
from tests.support_virtual_time import VirtualTimeTestCase

JOB_ID = "5c0e7a21d94b36f8"
PLAN = Plan(
    version=1,
    queues=(Queue(name="q", host="h", path_prefix="/q/", pool="p"),),
    pools=(Pool(name="p"),),
    customers=(Customer(name="c1", keys=("key-1",)),),
)


class TestCancelling(VirtualTimeTestCase):
    """Cancellations of jobs that are not known."""

    async def asyncSetUp(self):
        self.state = JobsState()
        self.state.apply(ReplacePlan(plan=PLAN))
        self.term = FakeTerm(self.state)
        self.service = JobService(term=self.term, scheduler=None)

    async def call(self, method, job_id, doc=None):
        """Return the status of the answer to a call."""
        call = RelayedCall(
            number=1,
            source=CallSource.SUBMITTERS,
            method=method,
            path=f"/v1/queues/q/jobs/{job_id}",
            token="key-1",
            body=msgspec.json.encode(doc),
        )
        answer = await answer_submitter(self.service, call)
        return answer.status

    # UNASKED: a delayed submission ran after its cancellation had been answered.
    async def test_a_late_submission_never_runs(self):
        self.assertEqual(await self.call("DELETE", JOB_ID), 404)
        job = {"steps": [{"n_tasks": 1, "need": {"cpu": 500}}]}
        self.assertEqual(await self.call("POST", JOB_ID, job), 201)
        self.assertEqual(self.state.jobs[JOB_ID].status, JobStatus.CANCELLED)

    async def test_an_id_that_no_job_can_have_is_not_stored(self):
        self.assertEqual(await self.call("DELETE", "x"), 404)
        self.assertEqual(self.term.n_commands, 0)
