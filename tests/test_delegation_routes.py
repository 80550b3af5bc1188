"""Tests of which delegate calls which VM."""

import unittest
from datetime import timedelta

from redwingslip.delegation._routes import MAX_KNOWN_VMS, Routes

SECOND = timedelta(seconds=1)
NOW = 100 * SECOND
VM_IDS = [f"v{n}" for n in range(400)]


class TestRoutes(unittest.TestCase):
    """Routes of a leader."""

    def callers(self, routes):
        """Return the caller of each VM."""
        return {vm_id: routes.caller_of(vm_id, NOW) for vm_id in VM_IDS}

    def test_without_delegates_the_leader_calls_all(self):
        self.assertEqual(set(self.callers(Routes("lead")).values()), {"lead"})

    def test_delegates_share_the_vms_about_equally(self):
        routes = Routes("lead")
        routes.update(["a", "b", "c", "d"], is_leader_first=False)
        callers = list(self.callers(routes).values())
        for delegate in "abcd":
            self.assertGreater(callers.count(delegate), len(VM_IDS) / 6)

    def test_only_the_vms_of_a_delegate_that_leaves_change_their_caller(self):
        routes = Routes("lead")
        routes.update(["a", "b", "c"], is_leader_first=False)
        before = self.callers(routes)
        routes.update(["a", "c"], is_leader_first=False)
        after = self.callers(routes)
        for vm_id, caller in before.items():
            if caller != "b":
                self.assertEqual(after[vm_id], caller)
        self.assertEqual(set(after.values()), {"a", "c"})

    def test_after_each_failure_the_next_process_calls_and_the_leader_last(self):
        routes = Routes("lead")
        routes.update(["a", "b"], is_leader_first=False)
        callers = []
        for n_failures in range(4):
            caller = routes.caller_of("v1", NOW)
            callers.append(caller)
            routes.avoid("v1", caller, NOW + (n_failures + 1) * SECOND)
        self.assertEqual(set(callers[:2]), {"a", "b"})
        self.assertEqual(callers[2:], ["lead", callers[0]])

    # Guards against SHORT: failures of VMs made the leader call them for good.
    def test_a_vm_comes_back_to_its_delegate_after_a_time(self):
        routes = Routes("lead")
        routes.update(["a", "b"], is_leader_first=False)
        first = routes.caller_of("v1", NOW)
        for _ in range(2):
            routes.avoid("v1", routes.caller_of("v1", NOW), NOW + SECOND)
        self.assertEqual(routes.caller_of("v1", NOW), "lead")
        self.assertEqual(routes.caller_of("v1", NOW + SECOND), first)

    def test_a_leader_that_calls_all_vms_passes_on_those_that_it_does_not_reach(self):
        routes = Routes("lead")
        routes.update(["a", "b"], is_leader_first=True)
        self.assertEqual(set(self.callers(routes).values()), {"lead"})
        routes.avoid("v1", "lead", NOW + SECOND)
        self.assertIn(routes.caller_of("v1", NOW), ("a", "b"))
        self.assertEqual(routes.caller_of("v2", NOW), "lead")

    def test_detours_do_not_change_with_the_delegates(self):
        routes = Routes("lead")
        routes.update(["a", "b", "c"], is_leader_first=False)
        for vm_id in VM_IDS:
            routes.avoid(vm_id, routes.caller_of(vm_id, NOW), NOW + SECOND)
        before = self.callers(routes)
        routes.update(["a", "c"], is_leader_first=False)
        after = self.callers(routes)
        changed = [v for v in VM_IDS if before[v] != "b" and before[v] != after[v]]
        self.assertEqual(changed, [])

    def test_the_number_of_known_vms_is_bounded(self):
        routes = Routes("lead")
        routes.update(["a", "b"], is_leader_first=False)
        for number in range(MAX_KNOWN_VMS + 10):
            routes.avoid(f"v{number}", "a", NOW)
            routes.caller_of(f"v{number}", NOW)
        self.assertLessEqual(len(routes._ranked), MAX_KNOWN_VMS)
        self.assertLessEqual(len(routes._avoided), MAX_KNOWN_VMS)
