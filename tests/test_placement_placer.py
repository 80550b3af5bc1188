"""Tests of the choice of VMs; each names the load that it answers."""

import unittest
from collections import Counter

from redwingslip.jobs import Amounts, StepSpec, TaskKey
from redwingslip.placement import CandidateVm, Placer, WaitingTask


def make_vm(vm_id, cpu=1000, **options):
    """Return a VM with that much room."""
    fields = {"labels": ("a", "r1"), "tasks_of_step": Counter(), **options}
    return CandidateVm(vm_id=vm_id, born_ms=1, free=Amounts(cpu, 1000), **fields)


def make_tasks(n_tasks=1, customer="", **step):
    """Return the waiting tasks of one step."""
    spec = StepSpec(**{"n_tasks": n_tasks, "need": Amounts(300, 10), **step})
    return [
        WaitingTask(TaskKey("j", 0, 0, index), spec, customer=customer, pool="p")
        for index in range(n_tasks)
    ]


def make_placer(*vms, usage=None, limits=None):
    """Return a placer for one pool."""
    return Placer(pools={"p": list(vms)}, usage=usage or {}, limits=limits or {})


class TestPlacer(unittest.TestCase):
    """Room, limits, labels, spread and gangs."""

    def place(self, placer, tasks):
        """Return the VM of each task, None for those that wait."""
        starts = placer.place_step(tasks)
        self.assertEqual([s.key for s in starts], [t.key for t in tasks[: len(starts)]])
        found = [start.vm_id for start in starts]
        return found + [None] * (len(tasks) - len(found))

    def test_burst_beyond_the_room_of_a_pool_waits(self):
        found = self.place(make_placer(make_vm("v1"), make_vm("v2")), make_tasks(8))
        self.assertEqual(Counter(found), {"v1": 3, "v2": 3, None: 2})

    def test_a_customer_never_gets_beyond_its_limit(self):
        placer = make_placer(
            make_vm("v1", cpu=9000),
            usage={"forges": Amounts(600, 20)},
            limits={"forges": Amounts(1300, 0, 0)},
        )
        found = self.place(placer, make_tasks(4, customer="forges"))
        self.assertEqual(found, ["v1", "v1", None, None])

    def test_zero_is_no_limit(self):
        placer = make_placer(
            make_vm("v1", cpu=9000), limits={"forges": Amounts(0, 0, 0)}
        )
        found = self.place(placer, make_tasks(4, customer="forges"))
        self.assertNotIn(None, found)

    def test_only_vms_with_the_label_are_used(self):
        placer = make_placer(make_vm("v1"), make_vm("v2", labels=("b", "r1")))
        self.assertEqual(self.place(placer, make_tasks(1, label="b")), ["v2"])
        self.assertEqual(self.place(placer, make_tasks(1, label="c")), [None])

    def test_spread_limits_the_tasks_on_one_vm(self):
        placer = make_placer(make_vm("v1", cpu=9000), make_vm("v2", cpu=400))
        found = self.place(placer, make_tasks(3, max_per_vm=1))
        self.assertEqual(found, ["v1", "v2", None])

    def test_one_stop_of_a_vm_stays_within_the_disruption_budget(self):
        placer = make_placer(make_vm("v1", cpu=9000), make_vm("v2", cpu=9000))
        tasks = make_tasks(3, is_long_running=True, disruption_budget=1)
        self.assertEqual(
            Counter(self.place(placer, tasks)), {"v1": 1, "v2": 1, None: 1}
        )

    def test_long_running_tasks_share_two_vms_so_that_others_can_be_off(self):
        """Losing a rack leaves half at work."""
        vms = [
            make_vm(f"v{number}", cpu=9000, labels=("a", f"r{number // 2}"))
            for number in range(6)
        ]
        tasks = make_tasks(5, is_long_running=True)
        found = Counter(self.place(make_placer(*vms), tasks))
        self.assertEqual(sorted(found.values()), [2, 3])
        racks = {vm.labels for vm in vms if vm.vm_id in found}
        self.assertEqual(len(racks), 2)

    def test_a_rack_that_has_its_part_gets_more_only_where_there_is_no_other(self):
        vms = [
            make_vm("v1", cpu=9000, has_long_running=True),
            make_vm("v2", cpu=9000, has_long_running=True),
            make_vm("v3", cpu=400, labels=("a", "r2")),
        ]
        tasks = make_tasks(4, is_long_running=True)
        found = Counter(self.place(make_placer(*vms), tasks))
        self.assertEqual(found, {"v1": 2, "v2": 1, "v3": 1})

    def test_long_running_tasks_go_where_others_of_their_kind_are(self):
        placer = make_placer(
            make_vm("v1", cpu=9000), make_vm("v2", cpu=1000, has_long_running=True)
        )
        tasks = make_tasks(1, is_long_running=True)
        self.assertEqual(self.place(placer, tasks), ["v2"])

    def test_one_vm_is_enough_for_long_running_tasks_where_there_is_no_other(self):
        tasks = make_tasks(3, is_long_running=True)
        found = self.place(make_placer(make_vm("v1", cpu=9000)), tasks)
        self.assertEqual(found, ["v1", "v1", "v1"])

    def test_two_racks_go_before_vms_that_are_not_due(self):
        """A rack that is lost during a wave must not take a whole step with it."""
        vms = [
            make_vm("v1", cpu=9000),
            make_vm("v2", cpu=9000, labels=("a", "r2"), is_awaiting_maintenance=True),
        ]
        found = self.place(make_placer(*vms), make_tasks(4, is_long_running=True))
        self.assertEqual(Counter(found), {"v1": 2, "v2": 2})

    def test_long_running_tasks_avoid_vms_that_are_due_for_maintenance(self):
        placer = make_placer(
            make_vm(
                "v1", cpu=9000, has_long_running=True, is_awaiting_maintenance=True
            ),
            make_vm("v2"),
        )
        tasks = make_tasks(1, is_long_running=True)
        self.assertEqual(self.place(placer, tasks), ["v2"])
        self.assertEqual(self.place(placer, make_tasks(1)), ["v1"], "short ones don't")

    def test_the_rack_of_the_data_goes_before_room(self):
        placer = make_placer(
            make_vm("v1", cpu=9000), make_vm("v2", cpu=400, labels=("a", "r2"))
        )
        self.assertEqual(self.place(placer, make_tasks(1, data_rack="r2")), ["v2"])

    def test_a_vm_that_fails_jobs_is_the_last_choice(self):
        placer = make_placer(make_vm("v1", cpu=9000, is_avoided=True), make_vm("v2"))
        found = self.place(placer, make_tasks(4))
        self.assertEqual(found, ["v2", "v2", "v2", "v1"])

    def test_a_task_avoids_the_vm_on_which_it_failed(self):
        placer = make_placer(make_vm("v1", cpu=9000), make_vm("v2"))
        tasks = make_tasks(1)
        tasks[0].avoided = frozenset({"v1"})
        self.assertEqual(self.place(placer, tasks), ["v2"])

    def test_short_tasks_leave_idle_vms_idle(self):
        placer = make_placer(
            make_vm("v1", cpu=9000), make_vm("v2", cpu=1000, has_long_running=True)
        )
        self.assertEqual(self.place(placer, make_tasks(3)), ["v2", "v2", "v2"])

    def test_fillers_take_no_share_of_the_processor(self):
        placer = make_placer(make_vm("v1", cpu=100))
        self.assertEqual(self.place(placer, make_tasks(1, is_filler=True)), ["v1"])

    def test_a_gang_starts_whole_or_not_at_all(self):
        vm = make_vm("v1")
        placer = make_placer(vm)
        self.assertEqual(placer.place_step(make_tasks(4, is_gang=True)), ())
        self.assertEqual(vm.free, Amounts(1000, 1000))
        self.assertEqual(len(placer.place_step(make_tasks(3, is_gang=True))), 3)

    def test_only_vms_that_an_adviser_allows_are_used(self):
        placer = make_placer(make_vm("v1", cpu=9000), make_vm("v2"))
        tasks = make_tasks(2)
        for task in tasks:
            task.allowed = {"v2": "ticket"}
        self.assertEqual(self.place(placer, tasks), ["v2", "v2"])
