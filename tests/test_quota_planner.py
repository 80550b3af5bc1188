"""Stateful tests of the allotment planner together with the replicated state."""

import os
import unittest
from datetime import timedelta

from hypothesis import seed
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from redwingslip.dispatch import DispatchSettings
from redwingslip.dispatch._limits import AllotmentManager
from redwingslip.fleet import (
    AssignDispatcher,
    FleetState,
    FleetView,
    PoolSpec,
    PutResource,
    QueueSpec,
    RegisterEntry,
    ReleaseDispatcher,
    TeamSpec,
)
from redwingslip.peers import AllotmentRecall, PoolDemand, TeamDemand
from redwingslip.quota import AllotmentPlanner, Proposed, QuotaSettings, water_fill
from tests import SECOND

POOLS = ("a", "b", "c")


class TestWaterFill(unittest.TestCase):
    """Division of a whole number by water-filling."""

    def test_small_requests_are_met_and_the_rest_is_divided_evenly(self):
        """A request below the even share is met in full; the others share the rest."""
        shares = water_fill(10, {"a": 1, "b": 20, "c": 20})
        self.assertEqual(shares, {"a": 1, "b": 5, "c": 4})

    def test_no_share_exceeds_the_request(self):
        """The part of the total that is not requested stays undivided."""
        self.assertEqual(water_fill(10, {"a": 2, "b": 0}), {"a": 2, "b": 0})


class _Pool:
    """A pool that starts the requested work as far as its allotment permits."""

    def __init__(self, name: str, epoch: int, view: FleetView, n_running: int) -> None:
        self.name = name
        self.epoch = epoch
        self.view = view
        self.n_requested = 0
        self.n_running = n_running
        cfg = DispatchSettings()
        self.allotments = AllotmentManager(pool=name, epoch=epoch, cfg=cfg, view=view)

    def demand(self) -> PoolDemand:
        """Return the pool's demand."""
        n_waiting = max(self.n_requested - self.n_running, 0)
        team = TeamDemand(team="x", n_running=self.n_running, n_waiting=n_waiting)
        return PoolDemand(
            pool=self.name, epoch=self.epoch, teams=(team,), n_slots=20, n_idle=0
        )

    def start(self) -> int:
        """Start as much work as permitted and return how much was started."""
        max_running = self.allotments.max_running("x")
        n_permitted = (
            self.n_requested
            if max_running is None
            else min(self.n_requested, max_running)
        )
        n_started = max(n_permitted - self.n_running, 0)
        self.n_running += n_started
        return n_started


class QuotaMachine(RuleBasedStateMachine):
    """One team in three pools, while messages are lost, delayed or duplicated.

    The tests guard against two failures: more work of the team is started than its
    limit permits, and a pool does not get its share of the limit once the faults have
    ended.
    """

    @initialize(limit=st.sampled_from([None, 5]))
    def set_up(self, limit: int | None) -> None:
        """Set up a team with a limit and three pools with dispatchers."""
        self.now = timedelta(0)
        self.state = FleetState()
        self.index = 0
        self.n_in_force = 0
        self.changes = []
        self.in_flight = []
        self.bound = limit
        # Work of the pools ends only when a rule ends it, which may take any time.
        self.cfg = QuotaSettings(longest_run=timedelta(days=1))
        self.planner = AllotmentPlanner(cfg=self.cfg, view=self.state.view)
        self._apply(RegisterEntry(entry_id="n", incarnation="1", address="n"))
        self._apply(PutResource(name="x", spec=TeamSpec(limit=limit)))
        self.pools: dict[str, _Pool] = {}
        self.n_synced: dict[str, int] = {}
        for name in POOLS:
            self._apply(PutResource(name=name, spec=PoolSpec()))
            self._assign(name, n_running=0)
        self.config_is_in_force()

    def _apply(self, command) -> None:
        self.index += 1
        _, changes = self.state.apply(self.index, command)
        self.changes += changes
        self.planner.view_changed(self.now, changes)
        self._collect()

    def _assign(self, name: str, n_running: int) -> None:
        self._apply(AssignDispatcher(pool=name, entry_id="n", incarnation="1"))
        view = FleetView()
        view.restore(self.state.view.snapshot())
        self.pools[name] = _Pool(name, self.index, view, n_running)
        self.n_synced[name] = len(self.changes)

    def _collect(self) -> None:
        for output in self.planner.take_outputs():
            is_proposed = isinstance(output, Proposed)
            self.in_flight.append(output.command if is_proposed else output.message)

    def _deliver(self, msg) -> None:
        if isinstance(msg, PoolDemand):
            self.planner.handle_demand(msg, self.now)
            self._collect()
        elif isinstance(msg, AllotmentRecall):
            self.pools[msg.pool].allotments.recall(msg, self.now)
            self._shrink(self.pools[msg.pool])
        else:
            self._apply(msg)

    def _shrink(self, pool: _Pool) -> None:
        command = pool.allotments.propose_return("x", pool.n_running, self.now)
        if command is not None:
            self.in_flight.append(command)
        self.in_flight += pool.allotments.take_overdue_returns(self.now)

    def _sync(self, pool: _Pool) -> None:
        changes = self.changes[self.n_synced[pool.name] :]
        self.n_synced[pool.name] = len(self.changes)
        for change in changes:
            pool.view.apply(change)

    @rule(name=st.sampled_from(POOLS), n_requested=st.sampled_from([0, 1, 2, 3, 8, 20]))
    def assign_work(self, name: str, n_requested: int) -> None:
        """Change how much work a pool is requested to run."""
        self.pools[name].n_requested = n_requested

    @rule(
        name=st.sampled_from(POOLS), is_synced=st.booleans(), n_ended=st.integers(0, 4)
    )
    def act_as_pool(self, name: str, is_synced: bool, n_ended: int) -> None:
        """End and start work of a pool and send its demand report."""
        pool = self.pools[name]
        if is_synced:
            self._sync(pool)
        pool.n_running = max(pool.n_running - n_ended, 0)
        self._shrink(pool)
        n_started = pool.start()
        n_running = sum(p.n_running for p in self.pools.values())
        if n_started and self.bound is not None:
            assert n_running <= self.bound, "more work runs than the limit permits"
        self.in_flight.append(pool.demand())

    @rule(
        number=st.integers(0, 50), fate=st.sampled_from(["take"] * 5 + ["lose", "x2"])
    )
    def network(self, number: int, fate: str) -> None:
        """Deliver, lose or duplicate one message in flight, in any order."""
        if not self.in_flight:
            return
        number %= len(self.in_flight)
        msg = self.in_flight[number] if fate == "x2" else self.in_flight.pop(number)
        if fate != "lose":
            self._deliver(msg)

    @rule(name=st.sampled_from(POOLS))
    def replace_dispatcher(self, name: str) -> None:
        """Assign a pool to a new dispatcher, which counts the pool's running work."""
        old = self.pools[name]
        self._apply(ReleaseDispatcher(pool=name, epoch=old.epoch))
        self._assign(name, n_running=old.n_running)

    @rule()
    def replace_leader(self) -> None:
        """Replace the planner by one that knows only the replicated state."""
        self.planner = AllotmentPlanner(cfg=self.cfg, view=self.state.view)
        self.planner.handle_in_force(self.n_in_force, self.now)

    @rule()
    def config_is_in_force(self) -> None:
        """Update every pool's view; from then on a new limit is in force.

        An entry's demand reports and its confirmation of the log arrive in order, so
        older reports are dropped here.
        """
        self.in_flight = [
            msg for msg in self.in_flight if not isinstance(msg, PoolDemand)
        ]
        for pool in self.pools.values():
            self._sync(pool)
        self.n_in_force = self.index
        self.planner.handle_in_force(self.index, self.now)
        self._collect()

    @rule(limit=st.sampled_from([None, 2, 5, 9]))
    def set_limit(self, limit: int | None) -> None:
        """Change the limit; work that runs under the old limit continues."""
        self._apply(PutResource(name="x", spec=TeamSpec(limit=limit)))

    @invariant()
    def bound_follows_the_limit(self) -> None:
        """Work may start up to the limit, or up to allotments of an earlier limit.

        Nothing is bounded before the limit is in force on every entry.
        """
        if not hasattr(self, "state"):
            return
        limit = self.state.view.team("x").limit
        allotted = self.state.view.allotted("x")
        resource = self.state.view.resources["teams"]["x"]
        is_in_force = resource.version <= self.n_in_force
        if limit is None or not is_in_force:
            self.bound = None
        else:
            self.bound = max(limit, allotted)

    @rule(tenths=st.sampled_from([1, 5, 10, 40]))
    def advance(self, tenths: int) -> None:
        """Advance the time and let the planner handle a tick."""
        self.now += timedelta(seconds=tenths / 10)
        self.planner.tick(self.now)
        self._collect()

    def teardown(self) -> None:
        """Check that every pool gets its share of the limit without further faults."""
        if not hasattr(self, "state"):
            return
        self._settle(60)
        limit = self.state.view.team("x").limit
        if limit is None:
            return
        n_requested = sum(p.n_requested for p in self.pools.values())
        n_running = sum(p.n_running for p in self.pools.values())
        assert n_running >= min(n_requested, limit) or n_running > limit
        if n_requested >= limit:
            n_requesting = sum(1 for p in self.pools.values() if p.n_requested)
            for pool in self.pools.values():
                n_share = min(pool.n_requested, limit // n_requesting)
                assert pool.n_running >= n_share, self._describe()
        index = self.index
        self._settle(4)
        assert self.index == index, "allotments change while the demand is constant"

    def _describe(self) -> str:
        rows = [
            f"{p.name}: requested {p.n_requested}, running {p.n_running}, "
            f"allotted {self.state.view.allotment('x', p.name).count}"
            for p in self.pools.values()
        ]
        return "; ".join([f"limit {self.state.view.team('x').limit}", *rows])

    def _settle(self, n_rounds: int) -> None:
        for _ in range(n_rounds):
            self.advance(5)
            for pool in self.pools.values():
                self._sync(pool)
            self.in_flight = [
                msg for msg in self.in_flight if not isinstance(msg, PoolDemand)
            ]
            self.n_in_force = self.index
            self.planner.handle_in_force(self.index, self.now)
            self._collect()
            self.bound_follows_the_limit()
            for pool in self.pools.values():
                must_end_one = self.bound is not None and pool.n_running > 0
                self.act_as_pool(
                    pool.name, is_synced=True, n_ended=1 if must_end_one else 0
                )
            for _ in range(3):
                for _ in range(len(self.in_flight)):
                    self._deliver(self.in_flight.pop(0))
            for pool in self.pools.values():
                self._sync(pool)
                pool.start()


TestQuotaMachine = seed(int(os.environ.get("REDWINGSLIP_FUZZ_SEED", "1")))(
    QuotaMachine
).TestCase


class TestAllotmentPlanner(unittest.TestCase):
    """How fast allotments follow the demand, and how often they change."""

    def test_demand_that_moves_to_another_pool_takes_one_exchange(self):
        """One recall, one return and one grant move an idle allotment."""
        machine = QuotaMachine()
        machine.set_up(5)
        machine.now = 5 * SECOND
        machine.pools["a"].n_requested = 5
        machine._settle(2)
        self.assertEqual(machine.pools["a"].n_running, 5)
        machine.pools["a"].n_requested = 0
        machine.pools["a"].n_running = 0
        machine.pools["b"].n_requested = 5
        index = machine.index
        machine._settle(2)
        self.assertEqual(machine.pools["b"].n_running, 5)
        self.assertLessEqual(machine.index - index, 4)

    def make_with_new_limit(self) -> QuotaMachine:
        """Return a state machine with a new limit of 5 and a pool that runs 20."""
        machine = QuotaMachine()
        machine.set_up(None)
        machine.pools["a"].n_requested = 20
        machine.pools["a"].start()
        machine._apply(PutResource(name="x", spec=TeamSpec(limit=5)))
        machine.pools["b"].n_requested = 5
        return machine

    def report_all(self, machine: QuotaMachine) -> list[str]:
        """Report the demand of every pool and return the pools that get a grant."""
        for pool in machine.pools.values():
            machine.planner.handle_demand(pool.demand(), machine.now)
        outputs = machine.planner.take_outputs()
        return [o.command.pool for o in outputs if isinstance(o, Proposed)]

    def test_new_limit_is_not_divided_before_it_is_in_force(self):
        """A dispatcher that does not know the limit yet may start work beyond it."""
        machine = self.make_with_new_limit()
        machine.pools["a"].n_requested = machine.pools["a"].n_running = 0
        machine.planner.handle_in_force(machine.index - 1, machine.now)
        self.assertEqual(self.report_all(machine), [])
        machine.planner.handle_in_force(machine.index, machine.now)
        self.assertEqual(self.report_all(machine), [])
        self.assertEqual(self._granted_after_tick(machine), ["b"])

    def _granted_after_tick(self, machine: QuotaMachine) -> list[str]:
        machine.now += SECOND
        machine.planner.tick(machine.now)
        outputs = machine.planner.take_outputs()
        return [o.command.pool for o in outputs if isinstance(o, Proposed)]

    def test_work_started_without_a_limit_counts_against_a_new_one(self):
        """Nothing is granted while more work runs than the new limit permits."""
        machine = self.make_with_new_limit()
        machine.planner.handle_in_force(machine.index, machine.now)
        self.assertEqual(self.report_all(machine), [])
        self.assertEqual(self._granted_after_tick(machine), [])
        machine.pools["a"].n_requested = machine.pools["a"].n_running = 0
        self.assertEqual(
            self.report_all(machine) + self._granted_after_tick(machine), ["b"]
        )

    def test_planner_waits_for_an_unresponsive_pool_as_long_as_its_work_may_run(self):
        """A queue's `max_run` counts if it is longer than the setting `longest_run`."""
        machine = self.make_with_new_limit()
        machine.pools["a"].n_requested = machine.pools["a"].n_running = 0
        cfg = QuotaSettings(longest_run=60 * SECOND)
        machine.planner = AllotmentPlanner(cfg=cfg, view=machine.state.view)
        queue = QueueSpec(pool="a", service="s", max_run=3600 * SECOND)
        machine._apply(PutResource(name="long", spec=queue))
        machine.planner.handle_in_force(machine.index, machine.now)
        machine.now += 3000 * SECOND
        machine.planner.handle_demand(machine.pools["b"].demand(), machine.now)
        self.assertEqual(self._granted_after_tick(machine), [])
        machine.now += 700 * SECOND
        machine.planner.handle_demand(machine.pools["b"].demand(), machine.now)
        self.assertEqual(self._granted_after_tick(machine), ["b"])

    def test_return_without_an_outcome_is_proposed_again(self):
        """A lost proposal is repeated, and the return is binding until then."""
        machine = QuotaMachine()
        machine.set_up(5)
        machine.pools["a"].n_requested = 5
        machine._settle(2)
        pool = machine.pools["a"]
        recall = AllotmentRecall(team="x", pool="a", epoch=pool.epoch, count=0)
        pool.allotments.recall(recall, machine.now)
        first = pool.allotments.propose_return("x", 2, machine.now)
        self.assertEqual((first.count, pool.allotments.max_running("x")), (2, 2))
        self.assertEqual(pool.allotments.take_overdue_returns(machine.now), [])
        self.assertEqual(
            pool.allotments.take_overdue_returns(machine.now + SECOND), [first]
        )


if __name__ == "__main__":
    unittest.main()
