"""Tests of which delegate calls which VM."""

import unittest

from redwingslip.delegation._routes import Routes

VM_IDS = [f"v{n}" for n in range(400)]


class TestRoutes(unittest.TestCase):
    """Routes of a leader."""

    def callers(self, routes):
        """Return the caller of each VM."""
        return {vm_id: routes.caller_of(vm_id) for vm_id in VM_IDS}

    def test_without_delegates_the_leader_calls_all(self):
        self.assertEqual(set(self.callers(Routes("lead")).values()), {"lead"})

    def test_delegates_share_the_vms_about_equally(self):
        routes = Routes("lead")
        routes.update(["a", "b", "c", "d"])
        callers = list(self.callers(routes).values())
        for delegate in "abcd":
            self.assertGreater(callers.count(delegate), len(VM_IDS) / 6)

    def test_only_the_vms_of_a_delegate_that_leaves_change_their_caller(self):
        routes = Routes("lead")
        routes.update(["a", "b", "c"])
        before = self.callers(routes)
        routes.update(["a", "c"])
        after = self.callers(routes)
        for vm_id, caller in before.items():
            if caller != "b":
                self.assertEqual(after[vm_id], caller)
        self.assertEqual(set(after.values()), {"a", "c"})

    def test_after_each_failure_the_next_process_calls_and_the_leader_last(self):
        routes = Routes("lead")
        routes.update(["a", "b"])
        callers = []
        for _ in range(4):
            caller = routes.caller_of("v1")
            callers.append(caller)
            routes.note_failure("v1", caller)
        self.assertEqual(set(callers[:2]), {"a", "b"})
        self.assertEqual(callers[2:], ["lead", callers[0]])

    def test_several_failures_of_one_process_count_once(self):
        routes = Routes("lead")
        routes.update(["a", "b"])
        first = routes.caller_of("v1")
        routes.note_failure("v1", first)
        routes.note_failure("v1", first)
        self.assertNotIn(routes.caller_of("v1"), (first, "lead"))
