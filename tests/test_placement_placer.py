"""Tests of the choice of VMs; each test names the load pattern that it covers."""

import unittest
from collections import Counter

from redwingslip.jobs import Amounts, StepSpec, TaskKey
from redwingslip.placement import CandidateVm, Placer, WaitingTask


def make_vm(vm_id, cpu=1000, **options):
    """Return a VM with `cpu` thousandths of a core free."""
    fields = {
        "labels": ("a", "r1"),
        "tasks_of_step": Counter(),
        "capacity": Amounts(1000, 1000),
        "machine": f"m-{vm_id}",
        **options,
    }
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
    """Capacity, limits, labels, spread and gangs."""

    def place(self, placer, tasks):
        """Return the VM of each task, None for those that wait."""
        starts = placer.place_step(tasks)
        self.assertEqual([s.key for s in starts], [t.key for t in tasks[: len(starts)]])
        vm_ids = [start.vm_id for start in starts]
        return vm_ids + [None] * (len(tasks) - len(vm_ids))

    def test_tasks_beyond_the_capacity_of_a_pool_wait(self):
        vm_ids = self.place(make_placer(make_vm("v1"), make_vm("v2")), make_tasks(8))
        self.assertEqual(Counter(vm_ids), {"v1": 3, "v2": 3, None: 2})

    def test_a_customer_never_exceeds_its_limit(self):
        placer = make_placer(
            make_vm("v1", cpu=9000),
            usage={"forges": Amounts(600, 20)},
            limits={"forges": Amounts(1300, 0, 0)},
        )
        vm_ids = self.place(placer, make_tasks(4, customer="forges"))
        self.assertEqual(vm_ids, ["v1", "v1", None, None])

    def test_a_limit_of_zero_means_no_limit(self):
        placer = make_placer(
            make_vm("v1", cpu=9000), limits={"forges": Amounts(0, 0, 0)}
        )
        vm_ids = self.place(placer, make_tasks(4, customer="forges"))
        self.assertNotIn(None, vm_ids)

    def test_only_vms_with_the_label_are_used(self):
        placer = make_placer(make_vm("v1"), make_vm("v2", labels=("b", "r1")))
        self.assertEqual(self.place(placer, make_tasks(1, label="b")), ["v2"])
        self.assertEqual(self.place(placer, make_tasks(1, label="c")), [None])

    def test_max_per_vm_limits_the_tasks_on_one_vm(self):
        placer = make_placer(make_vm("v1", cpu=9000), make_vm("v2", cpu=400))
        vm_ids = self.place(placer, make_tasks(3, max_per_vm=1))
        self.assertEqual(Counter(vm_ids), {"v1": 1, "v2": 1, None: 1})

    def test_stopping_one_vm_stays_within_the_disruption_budget(self):
        placer = make_placer(make_vm("v1", cpu=9000), make_vm("v2", cpu=9000))
        tasks = make_tasks(3, is_long_running=True, disruption_budget=1)
        self.assertEqual(
            Counter(self.place(placer, tasks)), {"v1": 1, "v2": 1, None: 1}
        )

    def test_long_running_tasks_share_two_vms_so_that_others_can_be_switched_off(self):
        """The loss of one rack leaves about half of the tasks running."""
        vms = [
            make_vm(f"v{number}", cpu=9000, labels=("a", f"r{number // 2}"))
            for number in range(6)
        ]
        tasks = make_tasks(5, is_long_running=True)
        n_by_vm = Counter(self.place(make_placer(*vms), tasks))
        self.assertEqual(sorted(n_by_vm.values()), [2, 3])
        racks = {vm.labels for vm in vms if vm.vm_id in n_by_vm}
        self.assertEqual(len(racks), 2)

    def test_a_rack_exceeds_its_share_only_without_an_alternative(self):
        vms = [
            make_vm("v1", cpu=9000, has_long_running=True),
            make_vm("v2", cpu=9000, has_long_running=True),
            make_vm("v3", cpu=400, labels=("a", "r2")),
        ]
        tasks = make_tasks(4, is_long_running=True)
        n_by_vm = Counter(self.place(make_placer(*vms), tasks))
        self.assertEqual(n_by_vm, {"v1": 2, "v2": 1, "v3": 1})

    def test_long_running_tasks_prefer_vms_with_long_running_tasks(self):
        placer = make_placer(
            make_vm("v1", cpu=9000), make_vm("v2", cpu=1000, has_long_running=True)
        )
        tasks = make_tasks(1, is_long_running=True)
        self.assertEqual(self.place(placer, tasks), ["v2"])

    def test_long_running_tasks_share_the_only_vm(self):
        tasks = make_tasks(3, is_long_running=True)
        vm_ids = self.place(make_placer(make_vm("v1", cpu=9000)), tasks)
        self.assertEqual(vm_ids, ["v1", "v1", "v1"])

    def test_spread_over_two_racks_precedes_avoiding_maintenance(self):
        """The loss of a rack during a wave must not stop all tasks of a step.

        That would happen if every task went to the rack that needs no maintenance.
        """
        vms = [
            make_vm("v1", cpu=9000),
            make_vm("v2", cpu=9000, labels=("a", "r2"), is_awaiting_maintenance=True),
        ]
        vm_ids = self.place(make_placer(*vms), make_tasks(4, is_long_running=True))
        self.assertEqual(Counter(vm_ids), {"v1": 2, "v2": 2})

    def test_long_running_tasks_avoid_vms_awaiting_maintenance(self):
        placer = make_placer(
            make_vm(
                "v1", cpu=9000, has_long_running=True, is_awaiting_maintenance=True
            ),
            make_vm("v2"),
        )
        tasks = make_tasks(1, is_long_running=True)
        self.assertEqual(self.place(placer, tasks), ["v2"])

    def test_short_tasks_do_not_avoid_vms_awaiting_maintenance(self):
        placer = make_placer(
            make_vm("v1", is_awaiting_maintenance=True), make_vm("v2", cpu=9000)
        )
        self.assertEqual(self.place(placer, make_tasks(1)), ["v1"])

    def test_a_falling_queue_leaves_vms_idle(self):
        """New tasks go to the fullest VM, so that the emptiest ones run out of tasks.

        With each task on the emptiest VM, every VM of a pool that grew for a peak keeps
        a few tasks, and the next queue that rises gets no machine.
        """
        vms = [make_vm(f"v{n}", cpu=n * 1000) for n in range(1, 7)]
        vm_ids = self.place(make_placer(*vms), make_tasks(9))
        self.assertEqual(Counter(vm_ids), {"v1": 3, "v2": 6})

    def test_the_rack_of_the_data_precedes_free_capacity(self):
        placer = make_placer(
            make_vm("v1", cpu=9000), make_vm("v2", cpu=400, labels=("a", "r2"))
        )
        self.assertEqual(self.place(placer, make_tasks(1, data_rack="r2")), ["v2"])

    def test_an_avoided_vm_is_the_last_choice(self):
        placer = make_placer(make_vm("v1", cpu=9000, is_avoided=True), make_vm("v2"))
        vm_ids = self.place(placer, make_tasks(4))
        self.assertEqual(vm_ids, ["v2", "v2", "v2", "v1"])

    def test_a_task_avoids_the_vm_on_which_it_failed(self):
        placer = make_placer(make_vm("v1", cpu=9000), make_vm("v2"))
        tasks = make_tasks(1)
        tasks[0].avoided = frozenset({"v1"})
        self.assertEqual(self.place(placer, tasks), ["v2"])

    def test_short_tasks_prefer_vms_that_stay_on(self):
        placer = make_placer(
            make_vm("v1", cpu=9000), make_vm("v2", cpu=1000, has_long_running=True)
        )
        self.assertEqual(self.place(placer, make_tasks(3)), ["v2", "v2", "v2"])

    def test_fillers_reserve_no_cpu(self):
        placer = make_placer(make_vm("v1", cpu=100))
        self.assertEqual(self.place(placer, make_tasks(1, is_filler=True)), ["v1"])

    def test_a_gang_starts_as_a_whole_or_not_at_all(self):
        vm = make_vm("v1")
        placer = make_placer(vm)
        self.assertEqual(placer.place_step(make_tasks(4, is_gang=True)), ())
        self.assertEqual(vm.free, Amounts(1000, 1000))
        self.assertEqual(len(placer.place_step(make_tasks(3, is_gang=True))), 3)

    def waited_tasks(self, n_tasks, **step):
        """Return long-running tasks that have waited."""
        tasks = make_tasks(n_tasks, is_long_running=True, **step)
        for task in tasks:
            task.has_waited = True
        return tasks

    # LOST: tasks waited for VMs without others of their step, with room on the others.
    def test_long_running_tasks_that_have_waited_share_vms_beyond_their_budget(self):
        placer = make_placer(make_vm("v1"), make_vm("v2", cpu=600))
        tasks = self.waited_tasks(5, disruption_budget=1)
        self.assertEqual(Counter(self.place(placer, tasks)), {"v1": 3, "v2": 2})

    def test_the_maximum_per_vm_holds_however_long_a_task_has_waited(self):
        placer = make_placer(make_vm("v1"), make_vm("v2"))
        tasks = self.waited_tasks(3, disruption_budget=1, max_per_vm=1)
        self.assertEqual(
            Counter(self.place(placer, tasks)), {"v1": 1, "v2": 1, None: 1}
        )

    def test_a_long_running_task_that_has_waited_takes_an_ejected_vm(self):
        """Guards against a task that waits until a VM that failed runs is trusted."""
        for n_sound, vm_id in ((0, "v1"), (1, "v2")):
            vms = [make_vm("v1", is_ejected=True), make_vm("v2")][: n_sound + 1]
            self.assertEqual(self.place(make_placer(vms[0]), make_tasks()), [None])
            placer = make_placer(*vms)
            self.assertEqual(self.place(placer, self.waited_tasks(1)), [vm_id])

    def test_a_long_running_task_that_has_waited_takes_a_vm_kept_for_another(self):
        """Guards against a task that waits as long as others are isolated."""
        placer = make_placer(make_vm("v1", isolated_job="other"))
        self.assertEqual(self.place(placer, make_tasks()), [None])
        self.assertEqual(self.place(placer, self.waited_tasks(1)), ["v1"])

    def isolated_tasks(self, **step):
        """Return tasks under which two VMs have crashed."""
        tasks = make_tasks(**step)
        for task in tasks:
            task.crashed_machines = frozenset({"m8", "m9"})
            task.is_isolated = True
        return tasks

    def test_an_isolated_task_shares_no_vm_with_other_jobs(self):
        """A task that crashes its VMs, among VMs with runs of other jobs."""
        busy = make_vm("v1", tasks_of_step=Counter({("other", 0, 0): 1}))
        placer = make_placer(busy, make_vm("v2"))
        self.assertEqual(self.place(placer, self.isolated_tasks(n_tasks=2)), ["v2"] * 2)

    def test_other_jobs_do_not_join_an_isolated_task(self):
        placer = make_placer(make_vm("v1"), make_vm("v2", isolated_job="other"))
        vm_ids = self.place(placer, make_tasks(4))
        self.assertEqual(vm_ids, ["v1"] * 3 + [None])

    def test_a_vm_is_kept_free_for_an_isolated_task(self):
        """A task that crashes its VMs, in a pool that is always in use."""
        vms = [
            make_vm("v1", tasks_of_step=Counter({("other", 0, 0): 2})),
            make_vm("v2", tasks_of_step=Counter({("other", 0, 0): 1})),
        ]
        placer = make_placer(*vms)
        tasks = self.isolated_tasks()
        self.assertEqual(self.place(placer, tasks), [None])
        placer.reserve_vm(tasks[0])
        self.assertEqual([vm.isolated_job for vm in vms], ["", "j"])

    def test_only_a_vm_that_can_hold_the_task_is_kept_free(self):
        """Guards against a small VM that is kept free for a task of a larger size."""
        busy = Counter({("other", 0, 0): 1})
        vms = [
            make_vm("v1", capacity=Amounts(200, 1000), tasks_of_step=Counter(busy)),
            make_vm("v2", tasks_of_step=Counter({("other", 0, 0): 3})),
        ]
        (task,) = self.isolated_tasks()
        make_placer(*vms).reserve_vm(task)
        self.assertEqual([vm.isolated_job for vm in vms], ["", "j"])

    def test_an_isolated_task_waits_for_a_machine_that_has_not_crashed(self):
        """Guards against a sound task that is given up for the fault of a machine."""
        busy = make_vm("v2", tasks_of_step=Counter({("other", 0, 0): 1}))
        placer = make_placer(make_vm("v1", machine="m9"), busy)
        tasks = self.isolated_tasks()
        self.assertEqual(self.place(placer, tasks), [None])
        placer.reserve_vm(tasks[0])
        self.assertEqual(busy.isolated_job, "j")

    def test_an_isolated_task_uses_a_crashed_machine_if_there_is_no_other(self):
        placer = make_placer(
            make_vm("v1", machine="m9"), make_vm("v2", cpu=100, has_long_running=True)
        )
        self.assertEqual(self.place(placer, self.isolated_tasks()), ["v1"])

    def test_crashed_machines_are_used_if_no_other_can_run_the_task(self):
        """Guards against a task that never starts again after two of its VMs crashed.

        The pool has other machines, but not for this task.
        """
        crashed = {"machine": "m9", "labels": ("b", "r1")}
        label = {"step": {"label": "b"}, "other": {}}
        size = {
            "step": {"need": Amounts(800, 100)},
            "other": {"cpu": 500, "capacity": Amounts(500, 1000)},
        }
        advice = {"step": {}, "other": {}, "allowed": {"v1": "ticket"}}
        for name, case in {"label": label, "size": size, "advice": advice}.items():
            with self.subTest(name):
                placer = make_placer(
                    make_vm("v1", **crashed), make_vm("v2", **case["other"])
                )
                tasks = self.isolated_tasks(**case["step"])
                tasks[0].allowed = case.get("allowed")
                self.assertEqual(self.place(placer, tasks), ["v1"])

    def test_isolated_tasks_keep_a_part_of_the_vms_at_most(self):
        """Guards against a pool that waits for many suspects of few crashes."""
        busy = Counter({("other", 0, 0): 1})
        vms = [make_vm(f"v{n}", tasks_of_step=Counter(busy)) for n in range(8)]
        placer = make_placer(*vms)
        (task,) = self.isolated_tasks()
        for number in range(6):
            task.key = TaskKey(f"j{number}", 0, 0, 0)
            placer.reserve_vm(task)
        self.assertEqual(sum(bool(vm.isolated_job) for vm in vms), 2)

    def test_a_task_that_has_waited_shares_no_vm_with_other_suspects(self):
        """Guards against a sound task that is given up for the crashes of another."""
        busy = Counter({("other", 0, 0): 1})
        vms = [
            make_vm("v1", tasks_of_step=Counter(busy), suspect_jobs=["other"]),
            make_vm("v2", cpu=300, tasks_of_step=Counter(busy)),
        ]
        tasks = self.isolated_tasks(n_tasks=2)
        for task in tasks:
            task.has_waited = True
        self.assertEqual(self.place(make_placer(*vms), tasks), ["v2", None])

    def test_a_suspect_goes_where_a_crash_takes_the_fewest_runs_with_it(self):
        busy = make_vm("v1", cpu=500, tasks_of_step=Counter({("other", 0, 0): 1}))
        placer = make_placer(busy, make_vm("v2"))
        (task,) = make_tasks()
        task.crashed_machines = frozenset({"m9"})
        self.assertEqual(self.place(placer, [task]), ["v2"])

    def test_sound_tasks_prefer_vms_without_suspects(self):
        placer = make_placer(
            make_vm("v1", cpu=500, suspect_jobs=["other"]), make_vm("v2")
        )
        self.assertEqual(self.place(placer, make_tasks()), ["v2"])

    def test_only_vms_allowed_by_an_adviser_are_used(self):
        placer = make_placer(make_vm("v1", cpu=9000), make_vm("v2"))
        tasks = make_tasks(2)
        for task in tasks:
            task.allowed = {"v2": "ticket"}
        self.assertEqual(self.place(placer, tasks), ["v2", "v2"])
