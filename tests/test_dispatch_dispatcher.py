"""Tests of the dispatcher: the stateful test, and one test for each rule."""

import os
import unittest
from collections import Counter
from datetime import timedelta

import msgspec
from hypothesis import seed

from redwingslip.dispatch import (
    Granted,
    Proposed,
    Refused,
)
from redwingslip.fleet import (
    PoolSpec,
    PutResource,
    TeamSpec,
)
from redwingslip.peers import (
    AllotmentRecall,
    Permit,
    PermitCancel,
    PermitRequest,
    RefusalReason,
    RunningTask,
    RunResult,
    VmDrained,
)
from tests import SECOND
from tests.dispatch_machine import N_SLOTS, DispatchMachine, permit_done

TestDispatchMachine = seed(int(os.environ.get("REDWINGSLIP_FUZZ_SEED", "1")))(
    DispatchMachine
).TestCase


class DispatcherTestCase(unittest.TestCase):
    """Base of the tests of one pool whose endpoints are serving."""

    def setUp(self):
        """Set the machine up and discard the first outputs of pool a."""
        self.machine = DispatchMachine()
        self.machine.set_up()
        self.dispatcher = self.machine.current["a"].dispatcher
        self.dispatcher.take_outputs()

    def request(self, team: str = "y", **fields) -> PermitRequest:
        """Submit a request to the dispatcher and return it."""
        msg = self.machine._make_request("a", team, 10 * SECOND, SECOND)
        msg = msgspec.structs.replace(msg, **fields)
        self.dispatcher.request(msg, self.machine.now)
        return msg

    def outputs(self, kind: type) -> list:
        """Take the new outputs and return those of one type."""
        outputs = self.dispatcher.take_outputs()
        return [output for output in outputs if isinstance(output, kind)]

    def end(self, permit: Permit, result: RunResult) -> None:
        """Report the end of a permit."""
        self.dispatcher.done(permit_done(permit, result, SECOND), self.machine.now)


class TestRecall(DispatcherTestCase):
    """Recalls of allotments."""

    def test_recalled_slot_is_returned_before_it_is_used_again(self):
        """A recalled slot is returned when its task ends, despite waiting requests."""
        for _ in range(6):
            self.request("x")
        first, *_ = self.outputs(Granted)
        epoch = self.dispatcher.epoch
        recall = AllotmentRecall(team="x", pool="a", epoch=epoch, count=0)
        self.dispatcher.recall(recall, self.machine.now)
        self.assertEqual(self.outputs(Proposed), [])
        self.end(first.permit, RunResult.COMPLETED)
        outputs = self.dispatcher.take_outputs()
        returned = [o.command.count for o in outputs if isinstance(o, Proposed)]
        granted = [o for o in outputs if isinstance(o, Granted)]
        self.assertEqual((returned, granted), ([1], []))

    def test_recall_for_a_team_not_seen_yet_leaves_its_limit_in_force(self):
        """A recall before a team's first request must not lift the team's limit."""
        self.machine.replace_dispatcher("b")
        dispatcher = self.machine.current["b"].dispatcher
        recall = AllotmentRecall(team="x", pool="b", epoch=dispatcher.epoch, count=1)
        dispatcher.recall(recall, self.machine.now)
        self.machine._run_without_faults(2)
        dispatcher.take_outputs()
        for _ in range(2):
            msg = self.machine._make_request("b", "x", 10 * SECOND, SECOND)
            dispatcher.request(msg, self.machine.now)
        granted = [o for o in dispatcher.take_outputs() if isinstance(o, Granted)]
        self.assertEqual(len(granted), 1)


class TestOrder(DispatcherTestCase):
    """The order of the grants."""

    def fill(self) -> list[Permit]:
        """Use all slots and return the permits."""
        for _ in range(4):
            self.request()
        return [output.permit for output in self.outputs(Granted)]

    def test_least_used_share_goes_first_and_idle_share_is_lent(self):
        """A team alone may use all slots; the next free slot goes to another team."""
        permit = self.fill()[0]
        self.request("y")
        other = self.request("z")
        self.end(permit, RunResult.COMPLETED)
        self.assertEqual(
            [o.permit.request_id for o in self.outputs(Granted)], [other.request_id]
        )

    def test_large_request_is_not_starved(self):
        """After two seconds an endpoint is reserved until the large request fits."""
        permits = self.fill()
        large = self.request(slots=2, deadline=60 * SECOND)
        for _ in range(20):
            self.request(deadline=60 * SECOND)
        order = []
        for _ in range(12):
            self.machine.now += SECOND / 4
            self.end(permits.pop(0), RunResult.COMPLETED)
            permits += [o.permit for o in self.outputs(Granted)]
            order = [permit.request_id for permit in permits]
            if large.request_id in order:
                break
        self.assertIn(large.request_id, order)

    def test_resend_gets_the_same_permit(self):
        """A request that is sent twice is granted once."""
        msg = self.request()
        self.dispatcher.request(msg, self.machine.now)
        first, second = self.outputs(Granted)
        self.assertEqual(first.permit, second.permit)

    def test_cancelled_request_is_not_granted(self):
        """A cancellation that arrives before its request still takes effect."""
        cancel = PermitCancel(request_id="r1", pool="a")
        self.dispatcher.cancel(cancel, self.machine.now)
        self.request()
        self.assertEqual(self.outputs(Granted), [])


class TestRefusal(DispatcherTestCase):
    """Requests that are refused on arrival."""

    def reasons(self) -> list[RefusalReason]:
        """Return the reasons of the new refusals."""
        return [output.refusal.reason for output in self.outputs(Refused)]

    def test_request_larger_than_any_vm_is_refused_immediately(self):
        """A request that no VM of the pool can run does not wait."""
        self.request(slots=N_SLOTS + 1)
        self.request(accelerators=1)
        self.request(memory_mb=1_000_000)
        self.assertEqual(self.reasons(), [RefusalReason.NO_CAPACITY] * 3)

    def test_full_queue_refuses(self):
        """A team's number of waiting requests is bounded."""
        spec = TeamSpec(max_waiting=2)
        self.machine._apply(PutResource(name="y", spec=spec))
        self.machine._sync_view(self.machine.current["a"])
        for _ in range(7):
            self.request()
        self.assertEqual(self.reasons(), [RefusalReason.QUEUE_FULL])

    def test_request_that_can_not_be_in_time_is_refused_with_a_retry_time(self):
        """Learned run times show that the wait is too long for the deadline."""
        for _ in range(12):
            self.request()
        for _ in range(8):
            self.end(self.outputs(Granted)[0].permit, RunResult.COMPLETED)
        for _ in range(40):
            self.request(deadline=2 * SECOND)
        refusals = [output.refusal for output in self.outputs(Refused)]
        reasons = {refusal.reason for refusal in refusals}
        self.assertEqual(reasons, {RefusalReason.TOO_LATE})
        self.assertGreater(min(r.retry_after for r in refusals), timedelta(0))

    def test_request_that_failed_on_three_good_endpoints_is_unrunnable(self):
        """The request is at fault if other requests succeed on its endpoints."""
        names = []
        for endpoint in self.dispatcher._capacity.endpoints.values():
            endpoint.succeeded_at = self.machine.now
            names.append(endpoint.endpoint_id)
        self.request(excluded=(*names, "gone"))
        self.assertEqual(self.reasons(), [])
        third = next(iter(self.dispatcher._capacity.endpoints.values()))
        self.dispatcher._capacity.endpoints["gone"] = third
        self.request(excluded=(*names, "gone"))
        self.assertEqual(self.reasons(), [RefusalReason.UNRUNNABLE])


class TestEjection(DispatcherTestCase):
    """Endpoints on which all calls fail."""

    def run_all(self, n_requests: int) -> Counter:
        """Run requests, which all fail on e-v1; return the grants by endpoint."""
        n_granted = Counter()
        for _ in range(n_requests):
            self.request()
            for output in self.outputs(Granted):
                name = output.permit.endpoint_id
                n_granted[name] += 1
                is_bad = name == "e-v1"
                self.end(
                    output.permit, RunResult.FAILED if is_bad else RunResult.COMPLETED
                )
        return n_granted

    def test_endpoint_that_fails_everything_gets_no_more_work(self):
        """The endpoint is ejected after five failures in a row."""
        self.assertEqual(self.run_all(40)["e-v1"], 5)

    def test_budget_keeps_a_failing_endpoint_in_service(self):
        """Ejection never leaves a pool with fewer serving VMs than it must have."""
        spec = PoolSpec(min_serving=2)
        self.machine._apply(PutResource(name="a", spec=spec))
        self.machine._sync_view(self.machine.current["a"])
        self.assertGreater(self.run_all(40)["e-v1"], 10)

    def test_request_that_fails_everywhere_ejects_no_endpoint(self):
        """A failure is subtracted again once the request fails on a second endpoint."""
        for _ in range(30):
            msg = self.request()
            permit = self.outputs(Granted)[0].permit
            self.end(permit, RunResult.FAILED)
            again = msgspec.structs.replace(
                msg, n_attempts=1, excluded=(permit.endpoint_id,)
            )
            self.dispatcher.request(again, self.machine.now)
            self.end(self.outputs(Granted)[0].permit, RunResult.FAILED)
            self.request()
            self.end(self.outputs(Granted)[0].permit, RunResult.COMPLETED)
        self.assertEqual(self.dispatcher.n_slots, 2 * N_SLOTS)


class TestTakeover(DispatcherTestCase):
    """A new dispatcher and the tasks that its predecessor may have started."""

    def setUp(self):
        """Replace the dispatcher; no endpoint has reported to the new one yet."""
        super().setUp()
        self.machine.replace_dispatcher("a")
        self.host = self.machine.current["a"]
        self.dispatcher = self.host.dispatcher
        self.machine.tick("a", is_synced=True)

    def report_tasks(self, vm: str, *running: RunningTask) -> None:
        """Let an endpoint report these running tasks with the new fencing token."""
        endpoint = self.machine.endpoints[f"e-{vm}"]
        endpoint.token = self.host.view.fencing_token(vm)
        report = endpoint.report(self.machine.now)
        report = msgspec.structs.replace(report, running=running)
        key = (report.endpoint_id, report.incarnation)
        self.host.last_reports[key] = (report, self.machine.now)
        self.dispatcher.report(report, self.machine.now)

    def test_unlisted_slots_count_against_every_limit(self):
        """A limited team starts nothing while its tasks may run on unlisted slots."""
        self.report_tasks("v1")
        limited, unlimited = self.request("x"), self.request("y")
        granted = [o.permit.request_id for o in self.outputs(Granted)]
        self.assertEqual(granted, [unlimited.request_id])
        self.report_tasks("v2")
        granted = [o.permit.request_id for o in self.outputs(Granted)]
        self.assertEqual(granted, [limited.request_id])

    def test_unlisted_slots_are_free_once_all_leases_have_expired(self):
        """A VM that never reports again must not block limited teams permanently."""
        msg = self.request("x", deadline=60 * SECOND)
        for _ in range(7):
            self.machine.now += SECOND
            self.report_tasks("v1")
            self.machine.tick("a", is_synced=True)
        granted = [
            m.request_id for m in self.machine.in_flight if isinstance(m, Permit)
        ]
        self.assertEqual(granted, [msg.request_id])

    def test_vm_without_report_is_not_drained(self):
        """A VM that is to leave may still run tasks of the older dispatcher."""
        self.machine.begin_move("v1", "b")
        self.machine.tick("a", is_synced=True)
        self.assertFalse(any(isinstance(m, VmDrained) for m in self.machine.in_flight))
        self.report_tasks("v1")
        self.machine.tick("a", is_synced=True)
        self.assertTrue(any(isinstance(m, VmDrained) for m in self.machine.in_flight))

    def test_reported_task_of_the_older_epoch_holds_its_slots_and_limit(self):
        """A task of an older epoch counts as long as an endpoint lists it."""
        tasks = [RunningTask(f"a/1/{n}/1/0/0", "x") for n in range(2)]
        self.report_tasks("v1", *tasks)
        self.report_tasks("v2")
        self.request("x")
        self.assertEqual((self.dispatcher.n_running, self.dispatcher.n_idle), (2, 2))
        self.assertEqual(self.outputs(Granted), [])
        self.machine.now += SECOND
        self.report_tasks("v1")
        self.assertEqual(len(self.outputs(Granted)), 1)


class TestPermitEnd(DispatcherTestCase):
    """When the slot of a permit becomes free again."""

    def setUp(self):
        """Use all slots and let one more request wait."""
        super().setUp()
        self.now = self.machine.now
        for _ in range(5):
            self.request(deadline=60 * SECOND)
        self.permits = [o.permit for o in self.outputs(Granted)]

    def report_tasks(self, *running: Permit) -> int:
        """Let all endpoints report these tasks; return the number of new grants."""
        for vm in ("v1", "v2"):
            report = self.machine.endpoints[f"e-{vm}"].report(self.now)
            tasks = tuple(
                RunningTask(permit.permit_id, "y")
                for permit in running
                if permit.endpoint_id == report.endpoint_id
            )
            report = msgspec.structs.replace(report, running=tasks)
            self.dispatcher.report(report, self.now)
        self.dispatcher.set_lease_end(self.now + 3 * SECOND)
        self.dispatcher.tick(self.now)
        return len(self.outputs(Granted))

    def test_unknown_result_holds_the_slot_while_the_endpoint_lists_the_task(self):
        """An entry that lost the connection can't know whether the task still runs."""
        self.end(self.permits[0], RunResult.UNKNOWN)
        self.now += 2.5 * SECOND
        self.assertEqual(self.report_tasks(*self.permits), 0)
        self.now += SECOND
        self.assertEqual(self.report_tasks(*self.permits[1:]), 1)

    def test_slot_of_a_lost_permit_is_free_after_its_start_window(self):
        """A crashed entry keeps no slots, since the endpoint's report lists no task."""
        self.now += SECOND
        self.assertEqual(self.report_tasks(), 0)
        self.now += 1.5 * SECOND
        self.assertEqual(self.report_tasks(), 1)

    def test_slot_of_a_lost_endpoint_counts_until_the_task_lease_has_expired(self):
        """A task on an unresponsive endpoint may run until its lease expires."""
        last = self.permits[0].lease + self.permits[0].start_within
        self.dispatcher.tick(self.now + last)
        self.assertEqual(self.dispatcher.n_running, 4)
        self.dispatcher.tick(self.now + last + 2 * SECOND)
        self.assertEqual(self.dispatcher.n_running, 0)


class TestDrain(DispatcherTestCase):
    """VMs that are to leave, and endpoints that get no new tasks."""

    def test_vm_is_drained_only_when_its_last_task_has_ended(self):
        """The VM gets no new tasks, and is reported once its last task has ended."""
        self.request()
        self.request()
        permits = [o.permit for o in self.outputs(Granted)]
        permit = next(p for p in permits if p.endpoint_id == "e-v1")
        self.machine.begin_move("v1", "b")
        self.machine.tick("a", is_synced=True)
        self.assertFalse(any(isinstance(m, VmDrained) for m in self.machine.in_flight))
        for _ in range(3):
            self.request()
        names = [o.permit.endpoint_id for o in self.outputs(Granted)]
        self.assertEqual(names, ["e-v2"])
        self.end(permit, RunResult.COMPLETED)
        self.machine.tick("a", is_synced=True)
        drained = [m.vm for m in self.machine.in_flight if isinstance(m, VmDrained)]
        self.assertEqual(drained, ["v1"])

    def test_unresponsive_endpoint_gets_nothing_even_before_the_next_tick(self):
        """Each grant checks the age of the report: the process may have paused."""
        self.machine.now += 3 * SECOND
        self.dispatcher.set_lease_end(self.machine.now + 3 * SECOND)
        self.request()
        self.assertEqual(self.outputs(Granted), [])

    def test_nothing_starts_after_the_lease(self):
        """No permit's start window ends after the dispatcher's lease."""
        self.dispatcher.set_lease_end(self.machine.now + SECOND / 2)
        self.request()
        permit = self.outputs(Granted)[0].permit
        self.assertEqual(permit.start_within, SECOND / 2)
        self.dispatcher.set_lease_end(self.machine.now)
        self.request()
        self.assertEqual(self.outputs(Granted), [])


if __name__ == "__main__":
    unittest.main()
