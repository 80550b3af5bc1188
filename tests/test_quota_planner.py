"""Stateful tests of the planner of allotments with the replicated state."""

import os
import unittest
from datetime import timedelta

from hypothesis import seed
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from redwingslip.dispatch import DispatchSettings
from redwingslip.dispatch._limits import AllotmentKeeper
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
    """Dividing a whole number."""

    def test_small_wishes_are_met_and_the_rest_is_even(self):
        """Who asks for less than an even part gets it, the others share the rest."""
        got = water_fill(10, {"a": 1, "b": 20, "c": 20})
        self.assertEqual(got, {"a": 1, "b": 5, "c": 4})

    def test_nothing_is_given_beyond_the_wishes(self):
        """What nobody asks for is left."""
        self.assertEqual(water_fill(10, {"a": 2, "b": 0}), {"a": 2, "b": 0})


class _Pool:
    """A pool that starts what it is asked for as far as it is allowed."""

    def __init__(self, name: str, epoch: int, view: FleetView, n_running: int) -> None:
        self.name = name
        self.epoch = epoch
        self.view = view
        self.n_asked = 0
        self.n_running = n_running
        cfg = DispatchSettings()
        self.keeper = AllotmentKeeper(pool=name, epoch=epoch, cfg=cfg, view=view)

    def demand(self) -> PoolDemand:
        """Return the pool's demand."""
        n_waiting = max(self.n_asked - self.n_running, 0)
        team = TeamDemand(team="x", n_running=self.n_running, n_waiting=n_waiting)
        return PoolDemand(
            pool=self.name, epoch=self.epoch, teams=(team,), n_slots=20, n_idle=0
        )

    def start(self) -> int:
        """Start what may be started; return how many that were."""
        allowed = self.keeper.allowed("x")
        n_wanted = self.n_asked if allowed is None else min(self.n_asked, allowed)
        n_started = max(n_wanted - self.n_running, 0)
        self.n_running += n_started
        return n_started


class QuotaMachine(RuleBasedStateMachine):
    """One team in three pools, while messages are lost, late or doubled."""

    @initialize(limit=st.sampled_from([None, 5]))
    def set_up(self, limit: int | None) -> None:
        """Start three pools."""
        self.now = timedelta(0)
        self.state = FleetState()
        self.index = 0
        self.n_in_force = 0
        self.changes = []
        self.bag = []
        self.bound = limit
        # The pools' work here ends when a rule says so, however long that takes.
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
            self.bag.append(output.command if is_proposed else output.message)

    def _deliver(self, msg) -> None:
        if isinstance(msg, PoolDemand):
            self.planner.handle_demand(msg, self.now)
            self._collect()
        elif isinstance(msg, AllotmentRecall):
            self.pools[msg.pool].keeper.recall(msg, self.now)
            self._shrink(self.pools[msg.pool])
        else:
            self._apply(msg)

    def _shrink(self, pool: _Pool) -> None:
        command = pool.keeper.shrink("x", pool.n_running, self.now)
        if command is not None:
            self.bag.append(command)
        self.bag += pool.keeper.take_due(self.now)

    def _sync(self, pool: _Pool) -> None:
        changes = self.changes[self.n_synced[pool.name] :]
        self.n_synced[pool.name] = len(self.changes)
        for change in changes:
            pool.view.apply(change)

    @rule(name=st.sampled_from(POOLS), n_asked=st.sampled_from([0, 1, 2, 3, 8, 20]))
    def ask(self, name: str, n_asked: int) -> None:
        """Change what a pool is asked for."""
        self.pools[name].n_asked = n_asked

    @rule(
        name=st.sampled_from(POOLS), is_synced=st.booleans(), n_ended=st.integers(0, 4)
    )
    def act(self, name: str, is_synced: bool, n_ended: int) -> None:
        """Let work of a pool end and begin, and let it say its demand."""
        pool = self.pools[name]
        if is_synced:
            self._sync(pool)
        pool.n_running = max(pool.n_running - n_ended, 0)
        self._shrink(pool)
        n_started = pool.start()
        n_running = sum(p.n_running for p in self.pools.values())
        if n_started and self.bound is not None:
            assert n_running <= self.bound, "more running than the limit"
        self.bag.append(pool.demand())

    @rule(
        number=st.integers(0, 50), fate=st.sampled_from(["take"] * 5 + ["lose", "x2"])
    )
    def network(self, number: int, fate: str) -> None:
        """Deliver, lose or double one message, in any order."""
        if not self.bag:
            return
        number %= len(self.bag)
        msg = self.bag[number] if fate == "x2" else self.bag.pop(number)
        if fate != "lose":
            self._deliver(msg)

    @rule(name=st.sampled_from(POOLS))
    def replace_dispatcher(self, name: str) -> None:
        """Give a pool to a new dispatcher, which counts what runs there."""
        old = self.pools[name]
        self._apply(ReleaseDispatcher(pool=name, epoch=old.epoch))
        self._assign(name, n_running=old.n_running)

    @rule()
    def replace_leader(self) -> None:
        """Start a planner that knows the log only."""
        self.planner = AllotmentPlanner(cfg=self.cfg, view=self.state.view)
        self.planner.handle_in_force(self.n_in_force, self.now)

    @rule()
    def config_is_in_force(self) -> None:
        """Bring every pool up to date; from then on a new limit binds.

        An entry's demands and its confirmation of the log come in order.
        """
        self.bag = [msg for msg in self.bag if not isinstance(msg, PoolDemand)]
        for pool in self.pools.values():
            self._sync(pool)
        self.n_in_force = self.index
        self.planner.handle_in_force(self.index, self.now)
        self._collect()

    @rule(limit=st.sampled_from([None, 2, 5, 9]))
    def set_limit(self, limit: int | None) -> None:
        """Change the limit; the work that runs under the old one goes on."""
        self._apply(PutResource(name="x", spec=TeamSpec(limit=limit)))

    @invariant()
    def bound_follows_the_limit(self) -> None:
        """Work begins only below the limit, or below the allotments of an older one."""
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
        """Let time pass on the leader."""
        self.now += timedelta(seconds=tenths / 10)
        self.planner.tick(self.now)
        self._collect()

    def teardown(self) -> None:
        """Without further faults every pool gets its part of the limit."""
        if not hasattr(self, "state"):
            return
        self._calm(60)
        limit = self.state.view.team("x").limit
        if limit is None:
            return
        n_asked = sum(p.n_asked for p in self.pools.values())
        n_running = sum(p.n_running for p in self.pools.values())
        assert n_running >= min(n_asked, limit) or n_running > limit
        if n_asked >= limit:
            n_wanting = sum(1 for p in self.pools.values() if p.n_asked)
            for pool in self.pools.values():
                n_part = min(pool.n_asked, limit // n_wanting)
                assert pool.n_running >= n_part, self._describe()
        index = self.index
        self._calm(4)
        assert self.index == index, "allotments move while demand stands still"

    def _describe(self) -> str:
        rows = [
            f"{p.name}: asked {p.n_asked}, runs {p.n_running}, "
            f"has {self.state.view.allotment('x', p.name).count}"
            for p in self.pools.values()
        ]
        return "; ".join([f"limit {self.state.view.team('x').limit}", *rows])

    def _calm(self, n_rounds: int) -> None:
        for _ in range(n_rounds):
            self.advance(5)
            for pool in self.pools.values():
                self._sync(pool)
            self.bag = [msg for msg in self.bag if not isinstance(msg, PoolDemand)]
            self.n_in_force = self.index
            self.planner.handle_in_force(self.index, self.now)
            self._collect()
            self.bound_follows_the_limit()
            for pool in self.pools.values():
                n_over = self.bound is not None and pool.n_running > 0
                self.act(pool.name, is_synced=True, n_ended=1 if n_over else 0)
            for _ in range(3):
                for _ in range(len(self.bag)):
                    self._deliver(self.bag.pop(0))
            for pool in self.pools.values():
                self._sync(pool)
                pool.start()


TestQuotaMachine = seed(int(os.environ.get("REDWINGSLIP_FUZZ_SEED", "1")))(
    QuotaMachine
).TestCase


class TestAllotmentPlanner(unittest.TestCase):
    """How fast allotments follow, and how often they move."""

    def test_demand_that_moves_to_another_pool_is_followed_in_one_exchange(self):
        """One recall, one return and one grant move an idle allotment."""
        machine = QuotaMachine()
        machine.set_up(5)
        machine.now = 5 * SECOND
        machine.pools["a"].n_asked = 5
        machine._calm(2)
        self.assertEqual(machine.pools["a"].n_running, 5)
        machine.pools["a"].n_asked = 0
        machine.pools["a"].n_running = 0
        machine.pools["b"].n_asked = 5
        index = machine.index
        machine._calm(2)
        self.assertEqual(machine.pools["b"].n_running, 5)
        self.assertLessEqual(machine.index - index, 4)

    def unlimited(self) -> QuotaMachine:
        """Return pools of which one runs 20 requests of a team that gets a limit."""
        machine = QuotaMachine()
        machine.set_up(None)
        machine.pools["a"].n_asked = 20
        machine.pools["a"].start()
        machine._apply(PutResource(name="x", spec=TeamSpec(limit=5)))
        machine.pools["b"].n_asked = 5
        return machine

    def say_all(self, machine: QuotaMachine) -> list[str]:
        """Let every pool say its demand; return which pools are granted something."""
        for pool in machine.pools.values():
            machine.planner.handle_demand(pool.demand(), machine.now)
        outputs = machine.planner.take_outputs()
        return [o.command.pool for o in outputs if isinstance(o, Proposed)]

    def test_new_limit_is_not_divided_before_it_is_in_force(self):
        """A dispatcher that does not know the limit may still start more."""
        machine = self.unlimited()
        machine.pools["a"].n_asked = machine.pools["a"].n_running = 0
        machine.planner.handle_in_force(machine.index - 1, machine.now)
        self.assertEqual(self.say_all(machine), [])
        machine.planner.handle_in_force(machine.index, machine.now)
        self.assertEqual(self.say_all(machine), [])
        self.assertEqual(self._granted_later(machine), ["b"])

    def _granted_later(self, machine: QuotaMachine) -> list[str]:
        machine.now += SECOND
        machine.planner.tick(machine.now)
        outputs = machine.planner.take_outputs()
        return [o.command.pool for o in outputs if isinstance(o, Proposed)]

    def test_work_begun_without_a_limit_counts_against_a_new_one(self):
        """Nothing is granted while more runs than the new limit allows."""
        machine = self.unlimited()
        machine.planner.handle_in_force(machine.index, machine.now)
        self.assertEqual(self.say_all(machine), [])
        self.assertEqual(self._granted_later(machine), [])
        machine.pools["a"].n_asked = machine.pools["a"].n_running = 0
        self.assertEqual(self.say_all(machine) + self._granted_later(machine), ["b"])

    def test_silent_pool_is_awaited_as_long_as_its_work_may_run(self):
        """A queue's longest run counts, however short the setting is."""
        machine = self.unlimited()
        machine.pools["a"].n_asked = machine.pools["a"].n_running = 0
        cfg = QuotaSettings(longest_run=60 * SECOND)
        machine.planner = AllotmentPlanner(cfg=cfg, view=machine.state.view)
        queue = QueueSpec(pool="a", service="s", max_run=3600 * SECOND)
        machine._apply(PutResource(name="long", spec=queue))
        machine.planner.handle_in_force(machine.index, machine.now)
        machine.now += 3000 * SECOND
        machine.planner.handle_demand(machine.pools["b"].demand(), machine.now)
        self.assertEqual(self._granted_later(machine), [])
        machine.now += 700 * SECOND
        machine.planner.handle_demand(machine.pools["b"].demand(), machine.now)
        self.assertEqual(self._granted_later(machine), ["b"])

    def test_return_without_an_outcome_is_proposed_again(self):
        """A proposal that was lost is repeated, and binds meanwhile."""
        machine = QuotaMachine()
        machine.set_up(5)
        machine.pools["a"].n_asked = 5
        machine._calm(2)
        pool = machine.pools["a"]
        recall = AllotmentRecall(team="x", pool="a", epoch=pool.epoch, count=0)
        pool.keeper.recall(recall, machine.now)
        first = pool.keeper.shrink("x", 2, machine.now)
        self.assertEqual((first.count, pool.keeper.allowed("x")), (2, 2))
        self.assertEqual(pool.keeper.take_due(machine.now), [])
        self.assertEqual(pool.keeper.take_due(machine.now + SECOND), [first])


if __name__ == "__main__":
    unittest.main()
