"""Tests of waits for racks; each test names the load or failure that it covers."""

import math
import unittest
from collections import Counter

from redwingslip.jobs import Amounts, StepSpec, TaskKey
from redwingslip.placement import (
    CandidateVm,
    LocalitySettings,
    Placer,
    RackWaits,
    Release,
    RunEstimate,
    TaskTimes,
    VmRoom,
    WaitingTask,
    remaining_ms,
)

NOW_MS = 50_000.0
RUN = RunEstimate(1000.0, 0.1)
NEED = Amounts(1000, 10)
NEAR, FAR = ("a", "r1"), ("a", "r2")


def make_vm(vm_id, labels, *, n_free, **options):
    """Return a VM of four cores with room for `n_free` tasks."""
    return CandidateVm(
        vm_id=vm_id,
        born_ms=1,
        machine=f"m-{vm_id}",
        labels=labels,
        capacity=Amounts(4000, 400),
        free=NEED.times(n_free),
        tasks_of_step=Counter(),
        **options,
    )


def make_tasks(job_id="j", n_tasks=1, **step):
    """Return the waiting tasks of a step that wants rack r1 unless told otherwise."""
    spec = StepSpec(n_tasks=n_tasks, need=NEED, **{"data_rack": "r1", **step})
    return [
        WaitingTask(TaskKey(job_id, 0, 0, index), spec, customer="", pool="p")
        for index in range(n_tasks)
    ]


class FakeOutlook:
    """Run times and releases that a test sets, in ms from now."""

    def __init__(self, *, times=None, releases=(), on_the_way=()):
        self.times = times or make_times()
        self.releases = {"near": [Release(at, at, NEED) for at in releases]}
        self.on_the_way = on_the_way

    def run_of(self, task):
        """Return the run time of all tasks."""
        return RUN

    def times_of(self, task):
        """Return the times of all tasks."""
        return self.times

    def releases_of(self, vm_id):
        """Return what the VM frees."""
        return self.releases.get(vm_id, ())

    def rooms_on_the_way(self, pool):
        """Return the VMs on their way to the pool."""
        return self.on_the_way


def make_times(*, begun_ms=NOW_MS, due_ms=NOW_MS + 60_000, path_ms=0.0):
    """Return the times of a task that waits since now and not pressed."""
    return TaskTimes(begun_ms, RUN, path_ms, due_ms, 3 * due_ms)


class RackCase(unittest.TestCase):
    """A pool of one VM in the rack, which is full, and one outside it, with room.

    Unless told otherwise, a run takes 1 s in the rack and 2 s outside it.
    """

    def place(self, outlook, *steps, vms=(), penalty=2.0, is_contended=False):
        """Return the VM of each task that starts, and the jobs that wait."""
        vms = list(vms) or [
            make_vm("near", NEAR, n_free=0),
            make_vm("far", FAR, n_free=4),
        ]
        self.waits = RackWaits(
            LocalitySettings(remote_penalty=penalty),
            outlook=outlook,
            contended={"p": is_contended},
            now_ms=NOW_MS,
        )
        placer = Placer(pools={"p": vms}, usage={}, limits={}, rack_waits=self.waits)
        starts = [start for tasks in steps for start in placer.place_step(tasks)]
        deferred = sorted(key.job_id for key in self.waits.deferred)
        return [start.vm_id for start in starts], deferred


class TestRackWaits(RackCase):
    """Waits of single tasks."""

    def test_a_short_wait_that_pays(self):
        """Guards against remote runs that take 1 s more to save a wait of 0.2 s."""
        self.assertEqual(
            self.place(FakeOutlook(releases=[200]), make_tasks()), ([], ["j"])
        )
        (wait,) = self.waits.waits.values()
        self.assertEqual((wait.rack, wait.expected_ms), ("r1", 200))
        self.assertEqual(wait.until_ms, NOW_MS + 1000)

    def test_a_long_wait_that_does_not_pay(self):
        for releases in ([1100], []):
            outlook = FakeOutlook(releases=releases)
            self.assertEqual(self.place(outlook, make_tasks()), (["far"], []))

    def test_no_wait_lasts_longer_than_it_can_save(self):
        """Guards against starvation by an estimate that is never met."""
        for waited_ms, deferred in ((700, ["j"]), (900, [])):
            times = make_times(begun_ms=NOW_MS - waited_ms)
            outlook = FakeOutlook(times=times, releases=[200])
            self.assertEqual(self.place(outlook, make_tasks())[1], deferred)

    def test_remote_runs_count_double_while_others_wait_for_their_places(self):
        """Guards against far runs that use up the capacity of a pool under load."""
        outlook = FakeOutlook(releases=[1500])
        self.assertEqual(self.place(outlook, make_tasks())[1], [])
        placed = self.place(outlook, make_tasks(), is_contended=True)
        self.assertEqual(placed, ([], ["j"]))

    def test_many_jobs_for_one_rack(self):
        """Guards against a queue for one rack beside idle VMs in another one.

        The rack frees two places in time.
        """
        jobs = [make_tasks(f"j{number}") for number in range(5)]
        outlook = FakeOutlook(releases=[100, 900])
        placed = self.place(outlook, *jobs)
        self.assertEqual(placed, (["far"] * 3, ["j0", "j1"]))

    def test_of_the_tasks_of_a_step_only_those_wait_that_the_rack_takes(self):
        outlook = FakeOutlook(releases=[100])
        placed = self.place(outlook, make_tasks(n_tasks=4))
        self.assertEqual(placed, (["far"] * 3, ["j"]))

    def test_a_wait_blocks_no_task_without_a_rack(self):
        steps = (make_tasks(), make_tasks("other", data_rack=""))
        placed = self.place(FakeOutlook(releases=[200]), *steps)
        self.assertEqual(placed, (["far"], ["j"]))

    def test_a_start_of_this_round_frees_its_place_after_its_run(self):
        """Guards against a wait for a place that a task has taken a moment before."""
        vms = [make_vm("near", NEAR, n_free=1), make_vm("far", FAR, n_free=4)]
        steps = (make_tasks("first"), make_tasks("second"))
        placed = self.place(FakeOutlook(), *steps, vms=vms, penalty=3.0)
        self.assertEqual(placed, (["near"], ["second"]))
        vms = [make_vm("near", NEAR, n_free=1), make_vm("far", FAR, n_free=4)]
        placed = self.place(FakeOutlook(), *steps, vms=vms, penalty=1.5)
        self.assertEqual(placed, (["near", "far"], []))

    def test_a_deadline_that_forbids_to_wait(self):
        """The remote run ends after 2 s, the one in the rack after 2.5 s at worst."""
        outlook = FakeOutlook(releases=[900])
        outlook.releases["near"] = [Release(900, 1500, NEED)]
        for due_ms, deferred in ((NOW_MS + 2100, []), (NOW_MS + 4000, ["j"])):
            outlook.times = make_times(due_ms=due_ms)
            self.assertEqual(self.place(outlook, make_tasks())[1], deferred)
        outlook.times = make_times(due_ms=NOW_MS + 4000, path_ms=1900)
        self.assertEqual(self.place(outlook, make_tasks())[1], [])

    def test_long_running_tasks_and_those_that_have_waited_start_at_once(self):
        outlook = FakeOutlook(releases=[10])
        waited = make_tasks()
        waited[0].has_waited = True
        for tasks in (waited, make_tasks(is_long_running=True)):
            self.assertEqual(self.place(outlook, tasks), (["far"], []))

    def test_an_unsuitable_vm_in_the_rack_is_not_waited_for(self):
        """Guards against a wait for a VM that fails its runs."""
        vms = [
            make_vm("near", NEAR, n_free=4, is_avoided=True),
            make_vm("far", FAR, n_free=4),
        ]
        placed = self.place(FakeOutlook(releases=[10]), make_tasks(), vms=vms)
        self.assertEqual(placed, (["far"], []))

    def test_a_vm_of_the_rack_that_is_on_its_way(self):
        for at_ms, deferred in ((500, ["j"]), (1500, [])):
            room = VmRoom(labels=NEAR, free=NEED, at_ms=at_ms, late_ms=at_ms)
            outlook = FakeOutlook(on_the_way=[room])
            self.assertEqual(self.place(outlook, make_tasks())[1], deferred)


class TestRackGangs(RackCase):
    """Gangs that run slower on several racks."""

    def gang(self, **step):
        return make_tasks(
            n_tasks=3, is_gang=True, is_rack_bound=True, **{"data_rack": "", **step}
        )

    def test_a_gang_goes_whole_to_a_rack_that_has_room(self):
        """Guards against gangs that are spread to pack the fullest VMs first."""
        vms = [make_vm("v1", NEAR, n_free=2), make_vm("v2", FAR, n_free=3)]
        placed = self.place(FakeOutlook(), self.gang(), vms=vms)
        self.assertEqual(placed, (["v2"] * 3, []))

    def test_a_gang_waits_as_a_whole_or_is_spread(self):
        for at_ms, deferred in ((300, ["j"] * 3), (1300, [])):
            vms = [make_vm("near", NEAR, n_free=2), make_vm("v2", FAR, n_free=2)]
            outlook = FakeOutlook(releases=[at_ms])
            vm_ids, waiting = self.place(outlook, self.gang(), vms=vms)
            self.assertEqual((len(vm_ids), waiting), (3 - len(deferred), deferred))
            self.assertEqual(len(self.waits.waits), bool(deferred))
        self.assertEqual(sum(vm.free.cpu for vm in vms), 1000)

    def test_a_gang_with_a_data_rack_takes_another_rack_as_a_whole(self):
        vms = [
            make_vm("near", NEAR, n_free=1),
            make_vm("v2", FAR, n_free=2),
            make_vm("v3", ("a", "r3"), n_free=3),
        ]
        placed = self.place(FakeOutlook(), self.gang(data_rack="r1"), vms=vms)
        self.assertEqual(placed, (["v3"] * 3, []))


class TestRemainingTime(unittest.TestCase):
    """Estimates of how long a run goes on."""

    def test_a_run_that_has_just_begun_takes_its_expected_time(self):
        expected_ms, late_ms = remaining_ms(1000.0, 0.5, 0.0)
        self.assertAlmostEqual(expected_ms, 1000 * math.exp(0.125), delta=2)
        self.assertAlmostEqual(late_ms, 1000 * math.exp(0.497), delta=2)

    def test_a_run_that_takes_too_long_is_not_expected_to_end_at_once(self):
        """Guards against waits for a place that a stalled run never frees."""
        remaining = [remaining_ms(1000.0, 0.5, e)[0] for e in (3e3, 6e3, 1e6)]
        self.assertEqual(remaining, sorted(remaining))
        self.assertGreater(remaining[0], 500)


if __name__ == "__main__":
    unittest.main()
