"""Tests of the limits on VMs that have not answered the leader."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace

from redwingslip.clock import ManualClock
from redwingslip.scheduling import (
    JobService,
    OrderNotSentError,
    SchedulingSettings,
    VmAdmission,
    VmUnansweredError,
)
from redwingslip.scheduling import _report_history as report_history
from redwingslip.scheduling._unconfirmed_vms import UnconfirmedVms
from tests.support_scheduling import (
    FakeEndpoint,
    FakeTerm,
    make_agent,
    make_state,
    make_vm,
)
from tests.support_virtual_time import LoopClock, VirtualTimeTestCase

MAX_VMS = 3
USUAL = timedelta(milliseconds=400)


class FakeScheduler:
    """A scheduler whose agents stay without an answer, and the result of probes."""

    def __init__(self):
        self.agents = {}
        self.unconfirmed = UnconfirmedVms()
        self.is_answering = None
        self.n_probes = 0

    async def probe(self, vm, patience):
        """Return the result that was set."""
        self.n_probes += 1
        return self.is_answering

    def begin(self, vm):
        """Start an agent."""
        self.agents[vm.vm_id] = SimpleNamespace(vm=vm)
        self.unconfirmed.add(vm)


class SilentEndpoint(FakeEndpoint):
    """A VM that answers no poll, and counts them."""

    n_polls = 0

    async def hold(self, vm, **options):
        """Count the poll, and fail."""
        self.n_polls += 1
        raise OrderNotSentError("nothing listens")


class TestVmAdmission(VirtualTimeTestCase):
    """Three VMs may be stored without an answer."""

    def setUp(self):
        self.state = make_state()
        self.term = FakeTerm(self.state, ManualClock())
        self.scheduler = FakeScheduler()
        cfg = SchedulingSettings(
            max_unconfirmed_vms=MAX_VMS, max_unconfirmed_bytes=1_000
        )
        admission = VmAdmission(term=self.term, scheduler=self.scheduler, cfg=cfg)
        self.service = JobService(
            term=self.term, scheduler=self.scheduler, vm_admission=admission
        )

    async def report(self, name, sequence=1, **fields):
        """Report a VM; the scheduler starts its agent if it is stored."""
        vm = make_vm(name, machine=f"m-{name}", address=f"{name}:1", **fields)
        await self.service.report_vm(vm, sequence, 0)
        if name not in self.scheduler.agents:
            self.scheduler.begin(vm)

    async def fill(self):
        """Report as many VMs as may be stored without an answer."""
        for number in range(MAX_VMS):
            await self.report(f"v{number}")

    async def test_vm_that_does_not_answer_is_refused_above_the_limit(self):
        """Guards against records of VMs that were never there."""
        await self.fill()
        self.assertEqual(self.scheduler.n_probes, 0)
        for name in ("a", "b"):
            with self.assertRaises(VmUnansweredError):
                await self.report(name)
        self.assertEqual((len(self.state.vms), self.scheduler.n_probes), (MAX_VMS, 2))

    async def test_vm_that_answers_is_taken_above_the_limit(self):
        """Guards against invented VMs that keep a true one out."""
        await self.fill()
        self.scheduler.is_answering = True
        await self.report("true")
        self.assertIn("true", self.state.vms)

    async def test_drain_of_known_vm_is_taken_above_the_limit(self):
        """Guards against a limit that refuses what a known VM says."""
        await self.fill()
        await self.report("v0", 2, is_draining=True)
        self.assertTrue(self.state.vms["v0"].is_draining)

    async def test_vm_that_has_answered_leaves_room(self):
        """Guards against a limit on VMs that have answered."""
        await self.fill()
        self.scheduler.unconfirmed.discard(self.state.vms["v0"])
        await self.report("next")
        self.assertIn("next", self.state.vms)

    async def test_long_texts_are_limited(self):
        """Guards against a known record that grows by a later report."""
        await self.report("v0")
        with self.assertRaises(VmUnansweredError):
            await self.report("v0", 2, labels=("x" * 2_000,))
        with self.assertRaises(VmUnansweredError):
            await self.report("v1", labels=("x" * 2_000,))


class TestUnconfirmedVms(VirtualTimeTestCase):
    """Counts of the VMs that have not answered."""

    def test_polls_are_less_frequent_for_many_vms(self):
        """Guards against polls whose rate grows with the number of invented VMs."""
        vms = UnconfirmedVms()
        vms.add(make_vm("v"))
        self.assertEqual(vms.max_retry_delay(USUAL), USUAL)
        for number in range(1_000):
            vms.add(make_vm(f"v{number}"))
        rate = len(vms) / vms.max_retry_delay(USUAL).total_seconds()
        self.assertLessEqual(rate, 251)

    def test_bytes_are_freed(self):
        """Guards against bytes that stay counted."""
        vms = UnconfirmedVms()
        vm = make_vm("v", labels=("x" * 100,))
        vms.add(vm)
        vms.add(vm)
        self.assertGreater(vms.n_bytes, 100)
        vms.discard(vm)
        vms.discard(vm)
        self.assertEqual((len(vms), vms.n_bytes), (0, 0))


class TestPolls(VirtualTimeTestCase):
    """Polls of a VM that does not answer, beside 1,000 others."""

    async def asyncSetUp(self):
        endpoint = SilentEndpoint()
        clock = LoopClock(asyncio.get_running_loop())
        vm = make_vm("v")
        agent = make_agent(vm, endpoint, FakeTerm(make_state(vm), clock))
        for number in range(1_000):
            agent._unconfirmed.add(make_vm(f"other{number}"))
        agent.begin()
        self.addCleanup(agent.close)
        await asyncio.sleep(4)
        self.n_early = endpoint.n_polls
        await asyncio.sleep(12)
        self.n_late = endpoint.n_polls - self.n_early

    async def test_polls_are_frequent_at_first(self):
        """Guards against VMs that are found late after a change of leader.

        No VM has answered the new leader yet, however many there are.
        """
        self.assertGreaterEqual(self.n_early, 10)

    async def test_polls_are_rare_later(self):
        """Guards against invented VMs that take the leader's processor."""
        self.assertLessEqual(self.n_late, 10)


class TestHistory(VirtualTimeTestCase):
    """What is kept of the reports of incarnations that are not known any more."""

    def test_forgets_incarnations_that_are_not_known(self):
        """Guards against a history that grows with each invented VM."""
        clock = ManualClock()
        history = report_history.ReportHistory(
            clock, clock.monotonic(), lambda vm_id, born_ms: vm_id == "v0"
        )
        for number in range(3 * report_history.MAX_INCARNATIONS):
            history.note(make_vm(f"v{number}"), 5)
            clock.advance(report_history.MAX_REPORT_DELAY / 1_000)
        self.assertLessEqual(len(history._reports), report_history.MAX_INCARNATIONS + 1)
        self.assertTrue(history.is_outdated(make_vm("v0"), 4))
