"""Tests of the leader's agent for one VM."""

import asyncio
from datetime import timedelta
from unittest import mock

from redwingslip.clock import ManualClock
from redwingslip.jobs import Amounts, EndKind, RunEnd, RunStart, StartRuns, TaskKey
from redwingslip.scheduling import (
    ListedEnd,
    OrderOutcomeUnknownError,
    StartResult,
    VmReplacedError,
)
from redwingslip.workers import RunTimeModel, RunTimeSettings, StepKey
from tests.support_scheduling import (
    FakeEndpoint,
    FakeTerm,
    eventually,
    make_agent,
    make_job,
    make_state,
    make_vm,
)
from tests.support_virtual_time import VirtualTimeTestCase

KEY = TaskKey("j1", 0, 0, 0)


class TestVmAgent(VirtualTimeTestCase):
    """Orders without an answer, late or refused ones, and differing lists of runs."""

    async def asyncSetUp(self):
        self.vm = make_vm()
        self.state = make_state(self.vm, jobs=[make_job(estimate_ms=50)])
        self.endpoint = FakeEndpoint()
        self.clock = ManualClock()
        self.term = FakeTerm(self.state, self.clock)
        self.run_times = RunTimeModel(RunTimeSettings())
        self.agent = make_agent(self.vm, self.endpoint, self.term, self.run_times)

    async def asyncTearDown(self):
        self.agent.close()
        await asyncio.sleep(0)

    def decide(self):
        """Commit the next run of the task and return it."""
        command = StartRuns(starts=(RunStart(KEY, "v1", 1),), now_ms=2)
        (run,) = self.state.apply(command)
        return run

    def has_open_run(self):
        return bool(self.state.runs_of("v1"))

    async def test_a_run_is_started_and_its_end_recorded(self):
        self.agent.begin()
        run = self.decide()
        self.agent.start(run)
        await eventually(lambda: self.endpoint.runs)
        self.endpoint.runs.clear()
        self.endpoint.ends.append(ListedEnd(1, KEY, 1, EndKind.DONE))
        await eventually(lambda: 1 in self.endpoint.cursors)
        self.assertFalse(self.has_open_run())
        self.assertTrue(self.state.task(KEY).is_done)

    async def test_an_end_is_acknowledged_only_after_it_is_committed(self):
        """The cursor sent to the VM comes from the replicated state."""
        recorded = asyncio.Event()
        record = self.term.record_ends

        async def slow_record(vm, ends, cursor):
            await recorded.wait()
            await record(vm, ends, cursor)

        self.term.record_ends = slow_record
        self.endpoint.ends.append(ListedEnd(5, KEY, 1, EndKind.DONE))
        self.agent.begin()
        await asyncio.sleep(0.05)
        self.assertNotIn(5, self.endpoint.cursors)
        recorded.set()
        await eventually(lambda: 5 in self.endpoint.cursors)

    async def test_a_run_whose_end_is_not_confirmed_is_not_lost(self):
        """Guards against a done task that restarts as its run is no longer listed."""
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: self.endpoint.runs)
        kinds = []
        record_ends = self.term.record_ends

        async def lose_first(vm, ends, cursor):
            kinds.extend(end.kind for end in ends)
            if len(kinds) > 1:
                await record_ends(vm, ends, cursor)

        self.term.record_ends = lose_first
        self.clock.advance(timedelta(milliseconds=10))
        n_polls = len(self.endpoint.cursors)
        await eventually(lambda: len(self.endpoint.cursors) > n_polls + 1)
        self.endpoint.runs.clear()
        self.endpoint.ends.append(ListedEnd(1, KEY, 1, EndKind.DONE))
        await eventually(lambda: 1 in self.endpoint.cursors)
        self.assertEqual(kinds, [EndKind.DONE] * 2)
        self.assertTrue(self.state.task(KEY).is_done)

    async def test_a_start_without_an_answer_is_retried_with_its_number(self):
        self.endpoint.start_responses = [OrderOutcomeUnknownError("lost")]
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: self.endpoint.runs)
        self.assertEqual(self.endpoint.started, [(KEY, 1), (KEY, 1)])

    async def test_a_refused_start_ends_the_run_immediately(self):
        self.endpoint.start_responses = [StartResult.NO_ROOM]
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: not self.has_open_run())
        self.assertFalse(self.agent.is_ready(self.clock.monotonic()))

    async def test_a_refusal_after_a_lost_answer_is_followed_by_a_stop(self):
        """The first copy may arrive late; the stop makes the VM refuse it."""
        self.endpoint.start_responses = [
            OrderOutcomeUnknownError("lost"),
            StartResult.NO_ROOM,
        ]
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: self.endpoint.stopped)
        self.assertTrue(self.has_open_run(), "open until a poll proves its end")
        self.clock.advance(timedelta(milliseconds=10))
        await eventually(lambda: not self.has_open_run())

    async def test_a_refusal_of_a_run_of_an_earlier_leader_is_followed_by_a_stop(self):
        """Guards against a second run while the earlier leader's order is in flight."""
        self.decide()
        self.endpoint.start_responses = [StartResult.NO_ROOM]
        self.agent.begin()
        await eventually(lambda: self.endpoint.stopped)
        self.assertTrue(self.has_open_run(), "open until a poll proves its end")
        self.clock.advance(timedelta(milliseconds=10))
        await eventually(lambda: not self.has_open_run())

    async def test_an_unknown_run_is_stopped(self):
        self.endpoint.runs[(TaskKey("other", 0, 0, 0), 4)] = 10
        self.agent.begin()
        await eventually(lambda: self.endpoint.stopped)

    async def test_a_new_leader_starts_a_committed_run_that_is_not_listed(self):
        self.decide()
        self.agent.begin()
        await eventually(lambda: self.endpoint.runs)
        self.assertEqual(self.endpoint.started, [(KEY, 1)])

    async def test_a_new_leader_takes_over_a_run_that_is_listed(self):
        self.decide()
        self.endpoint.runs[(KEY, 1)] = 40
        self.agent.begin()
        await eventually(lambda: len(self.endpoint.cursors) > 5)
        self.assertEqual(self.endpoint.started, [])
        self.assertTrue(self.has_open_run())

    async def test_runs_of_an_unresponsive_vm_are_lost_when_their_lease_expires(self):
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: self.endpoint.runs)
        self.endpoint.is_unresponsive = True
        self.clock.advance(timedelta(seconds=5.9))
        await asyncio.sleep(0.3)
        self.assertTrue(self.has_open_run())
        self.assertFalse(self.agent.is_ready(self.clock.monotonic()))
        self.clock.advance(timedelta(seconds=1))
        await eventually(lambda: not self.has_open_run())

    async def test_runs_are_lost_when_polls_go_on_ending_in_errors(self):
        """Guards against tasks that wait forever for a VM that can't be followed."""
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: self.endpoint.runs)
        with mock.patch.object(self.endpoint, "hold", side_effect=ValueError("odd")):
            await eventually(lambda: not self.agent.is_responsive)
            self.clock.advance(timedelta(seconds=7))
            await eventually(lambda: not self.has_open_run())

    async def test_another_incarnation_at_the_address_removes_this_one(self):
        self.endpoint.born_ms = 7
        self.agent.begin()
        await eventually(lambda: self.term.forgotten == ["v1"])

    async def test_a_removal_that_was_not_confirmed_is_repeated(self):
        """Guards against tasks that wait forever for a run on an ended incarnation."""
        forget_vm = self.term.forget_vm

        async def lose_first(vm, reason, **options):
            self.term.forget_vm = forget_vm

        self.term.forget_vm = lose_first
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: self.endpoint.runs)
        self.endpoint.born_ms = 7
        await eventually(lambda: not self.has_open_run())

    async def test_an_incarnation_that_was_replaced_has_crashed_under_its_runs(self):
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: self.endpoint.runs)
        self.endpoint.born_ms = 7
        await eventually(lambda: self.term.forgotten == ["v1"])
        await eventually(lambda: not self.has_open_run())
        self.assertEqual(self.state.task(KEY).n_crashes, 1)

    async def test_an_unresponsive_vm_gets_no_start_orders(self):
        """It may have crashed and restarted as another incarnation with the same id."""
        self.agent.begin()
        await eventually(lambda: self.agent.is_ready(self.clock.monotonic()))
        self.endpoint.is_unresponsive = True
        await eventually(lambda: self.agent._sender.is_unresponsive)
        self.agent.start(self.decide())
        await asyncio.sleep(0.25)
        self.endpoint.born_ms = 2
        self.endpoint.is_unresponsive = False
        await eventually(lambda: self.term.forgotten)
        self.assertEqual(self.endpoint.started, [])

    async def test_runs_not_sent_to_an_unresponsive_vm_end_immediately(self):
        """Guards against tasks that wait for the end of the lease of a crashed VM."""
        self.agent.begin()
        await eventually(lambda: self.agent.is_ready(self.clock.monotonic()))
        self.endpoint.is_unresponsive = True
        await eventually(lambda: self.agent._sender.is_unresponsive)
        self.agent.start(self.decide())
        await eventually(lambda: not self.has_open_run())
        self.assertEqual(self.endpoint.started, [])

    async def test_a_withdrawn_run_is_not_started_while_its_end_is_committed(self):
        """Guards against a task that runs twice after its VM answers again."""
        is_committed = asyncio.Event()
        record_ends = self.term.record_ends

        async def record_late(*args, **options):
            await is_committed.wait()
            await record_ends(*args, **options)

        self.term.record_ends = record_late
        self.agent.begin()
        await eventually(lambda: self.agent.is_ready(self.clock.monotonic()))
        self.endpoint.is_unresponsive = True
        await eventually(lambda: self.agent._sender.is_unresponsive)
        self.agent.start(self.decide())
        await asyncio.sleep(0.05)
        self.endpoint.is_unresponsive = False
        n_polls = len(self.endpoint.cursors)
        await eventually(lambda: len(self.endpoint.cursors) > n_polls + 3)
        is_committed.set()
        await eventually(lambda: not self.has_open_run())
        self.assertEqual(self.endpoint.started, [])

    async def test_a_start_without_an_answer_keeps_the_run_of_an_unresponsive_vm(self):
        """Guards against a second run of a task that may have started."""
        self.endpoint.start_responses = [OrderOutcomeUnknownError("lost")] * 9
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: self.endpoint.started)
        self.endpoint.is_unresponsive = True
        await eventually(lambda: self.agent._sender.is_unresponsive)
        await asyncio.sleep(0.25)
        self.assertTrue(self.has_open_run())

    async def test_a_stalled_run_is_stopped_and_restarted_elsewhere(self):
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: self.endpoint.runs)
        self.endpoint.runs[(KEY, 1)] = 40
        await eventually(lambda: any(r.percent == 40 for r in self.listed()))
        self.clock.advance(timedelta(seconds=2))
        await eventually(lambda: self.endpoint.stopped)
        self.assertEqual(self.term.restarted, [KEY])
        self.assertTrue(self.agent.health.is_avoided(self.clock.monotonic()))

    async def run_to(self, percent, seconds):
        """Let the started run report a progress, at once 0 and then the given one."""
        self.endpoint.first_percent = 0
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: any(r.percent == 0 for r in self.listed()))
        self.clock.advance(timedelta(seconds=seconds))
        self.endpoint.runs[(KEY, 1)] = percent
        await eventually(lambda: any(r.percent == percent for r in self.listed()))

    async def test_a_run_far_beyond_its_estimate_goes_on(self):
        """The caller's estimate is wrong; no other run shows that the VM is slow."""
        await self.run_to(30, seconds=1)
        await asyncio.sleep(0.05)
        self.assertEqual(self.endpoint.stopped, [])
        self.assertFalse(self.agent.health.is_avoided(self.clock.monotonic()))

    async def test_a_run_far_slower_than_its_siblings_restarts_elsewhere(self):
        for _ in range(3):
            self.learn(timedelta(milliseconds=400))
        await self.run_to(30, seconds=1)
        await eventually(lambda: self.endpoint.stopped)
        self.assertEqual(self.term.restarted, [KEY])

    async def test_a_slow_run_near_its_end_goes_on_and_its_vm_is_avoided(self):
        for _ in range(3):
            self.learn(timedelta(milliseconds=400))
        await self.run_to(80, seconds=1.5)
        now = self.clock.monotonic()
        await eventually(lambda: self.agent.health.is_avoided(now))
        self.assertEqual(self.endpoint.stopped, [])

    async def test_a_finished_run_is_learned(self):
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: self.endpoint.runs)
        self.endpoint.runs.clear()
        self.endpoint.ends.append(ListedEnd(1, KEY, 1, EndKind.DONE))
        await eventually(lambda: not self.has_open_run())
        usual = self.run_times.longest_usual(
            StepKey(*KEY[:3]), queue="q", vm_id="v2", estimate=timedelta(0)
        )
        self.assertIsNone(usual)
        self.learn(timedelta(milliseconds=400))
        usual = self.run_times.longest_usual(
            StepKey(*KEY[:3]), queue="q", vm_id="v3", estimate=timedelta(0)
        )
        self.assertIsNotNone(usual)

    def learn(self, run_time):
        """Record the run time of a run of the same step on another VM."""
        self.run_times.record(
            StepKey(*KEY[:3]),
            queue="q",
            vm_id="v2",
            estimate=timedelta(milliseconds=50),
            run_time=run_time,
        )

    def listed(self):
        return self.agent.listed_runs.values()

    async def test_a_start_answered_by_another_incarnation_removes_this_one(self):
        self.endpoint.start_responses = [VmReplacedError("421")]
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: self.term.forgotten)

    async def test_without_leadership_nothing_is_sent(self):
        self.term.is_leader = False
        self.agent.begin()
        self.agent.start(self.decide())
        await asyncio.sleep(0.15)
        self.assertEqual(self.endpoint.cursors, [])
        self.assertEqual(self.endpoint.started, [])

    async def test_a_draining_vm_gets_no_new_runs(self):
        self.agent.begin()
        await eventually(lambda: self.agent.is_ready(self.clock.monotonic()))
        self.agent.update(make_vm(is_draining=True))
        self.assertFalse(self.agent.is_ready(self.clock.monotonic()))

    async def test_a_vm_whose_capacity_has_shrunk_gets_no_runs_beyond_it(self):
        """Guards against a start that was placed before the VM reported less capacity.

        The need of the task is 1,000 thousandths of a core.
        """
        for cpu, n_started in ((900, 0), (1000, 1)):
            with self.subTest(cpu=cpu):
                self.agent.update(make_vm(capacity=Amounts(cpu, 4000)))
                self.agent.start(self.decide())
                self.agent.begin()
                await eventually(
                    lambda: self.endpoint.started or not self.has_open_run()
                )
                self.assertEqual(len(self.endpoint.started), n_started)
                self.agent.close()
                self.agent = make_agent(self.vm, self.endpoint, self.term)

    async def test_a_stop_overtakes_a_queued_start(self):
        run = self.decide()
        self.agent.start(run)
        self.agent.stop(KEY, 1)
        self.agent.begin()
        await eventually(lambda: self.endpoint.stopped)
        self.assertEqual(self.endpoint.started, [])

    async def test_a_start_of_unknown_outcome_is_withdrawn_when_the_vm_drains(self):
        """The run was placed before the drain; a copy of its start may be in flight."""
        self.endpoint.start_responses = [OrderOutcomeUnknownError("lost")] * 2
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: self.endpoint.started)
        self.agent.update(make_vm(is_draining=True))
        await eventually(lambda: self.endpoint.stopped)
        self.clock.advance(timedelta(milliseconds=10))
        await eventually(lambda: not self.has_open_run())
        self.assertEqual(self.endpoint.runs, {})

    async def test_a_copy_is_not_started_after_another_run_is_done(self):
        """Guards against a task that starts again seconds after it was done.

        The start order of its second run waited, or its answer was lost, meanwhile.
        """
        lost = OrderOutcomeUnknownError("lost")
        for responses in ([], [lost] * 100):
            with self.subTest(n_lost=len(responses)):
                self.state = make_state(
                    self.vm, make_vm("v2"), jobs=[make_job(is_speculative=True)]
                )
                self.term.state = self.state
                first = RunStart(KEY, "v2", 1)
                self.state.apply(StartRuns(starts=(first,), now_ms=1))
                self.endpoint.start_responses = responses
                self.agent = make_agent(self.vm, self.endpoint, self.term)
                self.agent.start(self.decide())
                if responses:
                    self.agent.begin()
                    await eventually(lambda: self.endpoint.started)
                done = (RunEnd(KEY, 1, EndKind.DONE),)
                await self.term.record_ends(make_vm("v2"), done, 1)
                self.endpoint.start_responses = []
                if not responses:
                    self.agent.begin()
                else:
                    await eventually(lambda: self.endpoint.stopped)
                self.clock.advance(timedelta(milliseconds=10))
                await eventually(lambda: not self.has_open_run())
                self.assertEqual(self.endpoint.runs, {})
                self.assertEqual(bool(self.endpoint.stopped), bool(responses))
                self.agent.close()

    async def test_a_start_that_was_never_sent_is_withdrawn_without_a_stop(self):
        self.agent.update(make_vm(is_draining=True))
        self.agent.begin()
        self.agent.start(self.decide())
        await eventually(lambda: not self.has_open_run())
        self.assertEqual(self.endpoint.started, [])
