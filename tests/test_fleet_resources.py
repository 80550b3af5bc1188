"""Tests of writes by operators that conflict with other parts of the state."""

import unittest

from redwingslip.fleet import (
    Accepted,
    DeleteResource,
    Invalid,
    KeySpec,
    Kind,
    PoolSpec,
    PutResource,
    TeamSpec,
    VmHealth,
    VmSpec,
    WaveSpec,
)

from .fleet_driver import FleetDriver


class TestOperations(unittest.TestCase):
    """Operation ids of writes."""

    def test_id_of_another_write_is_refused(self):
        """Another write with a used operation id does not get the first outcome."""
        fleet = FleetDriver()
        fleet.put("a", PoolSpec(), operation_id="x")
        outcome = fleet.put("b", PoolSpec(), operation_id="x")
        self.assertIsInstance(outcome, Invalid)
        fleet.replace_leader()
        outcome = fleet.apply(
            DeleteResource(kind=Kind.POOL, name="a", operation_id="x")
        )
        self.assertIsInstance(outcome, Invalid)
        self.assertIn("a", fleet.view.resources[Kind.POOL])


class TestWrites(unittest.TestCase):
    """Writes that depend on other resources."""

    def test_wave_can_be_paused_after_its_pool_is_deleted(self):
        """A deleted pool does not keep a wave from being paused."""
        fleet = FleetDriver()
        fleet.add_pool("a")
        fleet.add_pool("b")
        fleet.put("w", WaveSpec(pools=("a", "b")))
        fleet.apply(DeleteResource(kind=Kind.POOL, name="b"))
        outcome = fleet.put("w", WaveSpec(pools=("a", "b"), paused=True))
        self.assertIsInstance(outcome, Accepted)

    def test_secret_belongs_to_one_key(self):
        """The same secret can't be declared for a second team."""
        fleet = FleetDriver()
        for team in ("s", "t"):
            fleet.put(team, TeamSpec())
        digest = "0" * 64
        fleet.put("k", KeySpec(team="s", sha256=digest))
        outcome = fleet.put("l", KeySpec(team="t", sha256=digest))
        self.assertIsInstance(outcome, Invalid)
        again = PutResource(name="k", spec=KeySpec(team="s", sha256=digest))
        self.assertIsInstance(fleet.apply(again), Accepted)

    def test_down_vm_can_be_removed_from_a_pool_over_its_budget(self):
        """The budgets don't prevent the removal of VMs that are down."""
        fleet = FleetDriver()
        fleet.add_pool("a", max_unavailable=1)
        for vm in ("v0", "v1", "v2"):
            fleet.add_vm(vm, "a")
        for vm in ("v0", "v1"):
            fleet.report(vm, VmHealth.DOWN)
        outcome = fleet.apply(DeleteResource(kind=Kind.VM, name="v0"))
        self.assertIsInstance(outcome, Accepted)
        outcome = fleet.apply(DeleteResource(kind=Kind.VM, name="v2"))
        self.assertNotIsInstance(outcome, Accepted)

    def test_vm_being_removed_can_not_be_declared_again(self):
        """A VM's name can be reused only after the VM has drained."""
        fleet = FleetDriver()
        fleet.add_pool("a")
        fleet.add_vm("v0", "a")
        fleet.apply(DeleteResource(kind=Kind.VM, name="v0"))
        spec = VmSpec(pool="a", data_centre="d0")
        self.assertNotIsInstance(fleet.put("v0", spec), Accepted)
        fleet.step()
        fleet.step()
        self.assertIsInstance(fleet.put("v0", spec), Accepted)


if __name__ == "__main__":
    unittest.main()
