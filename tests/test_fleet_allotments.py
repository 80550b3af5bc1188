"""Stateful fuzzing of allotments against plain sums."""

import os
import unittest

from hypothesis import seed
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from redwingslip.fleet import (
    Accepted,
    AssignDispatcher,
    ExpireEntry,
    GrantAllotment,
    RegisterEntry,
    ReturnAllotment,
    TeamSpec,
)

from .fleet_driver import FleetDriver

FUZZ_SEED = int(os.environ.get("REDWINGSLIP_FUZZ_SEED", "0"))

teams = st.sampled_from(["s", "t"])
pools = st.sampled_from(["a", "b", "c"])
counts = st.integers(0, 12)


@seed(FUZZ_SEED)
class AllotmentMachine(RuleBasedStateMachine):
    """Limits, grants, returns and lost entries, against a dict of grants."""

    @initialize()
    def start(self):
        """Declare three pools and two teams."""
        self.fleet = FleetDriver()
        self.held = {}
        self.versions = {}
        self.limits = {}
        self.incarnation = 1
        for pool in ("a", "b", "c"):
            self.fleet.add_pool(pool)

    @rule(team=teams, limit=st.none() | st.integers(0, 20))
    def declare_team(self, team, limit):
        """Set a team's limit."""
        self.fleet.put(team, TeamSpec(limit=limit))
        self.limits[team] = limit

    @rule(team=teams, pool=pools, count=counts, is_current=st.booleans())
    def grant(self, team, pool, count, is_current):
        """Grant an allotment on the present or an old version."""
        version = self.versions.get((team, pool), 0) - (not is_current)
        command = GrantAllotment(team=team, pool=pool, count=count, if_version=version)
        if isinstance(self.fleet.apply(command), Accepted):
            assert is_current
            self.held[team, pool] = count
            self.versions[team, pool] = self.fleet.index
            total = sum(n for key, n in self.held.items() if key[0] == team)
            assert total <= self.limits[team]

    @rule(team=teams, pool=pools, count=counts, is_current=st.booleans())
    def give_back(self, team, pool, count, is_current):
        """Return a part, as the present or as a former dispatcher."""
        lease = self.fleet.view.dispatchers.get(pool)
        epoch = 0 if lease is None else lease.epoch
        command = ReturnAllotment(
            team=team,
            pool=pool,
            epoch=epoch - (not is_current),
            count=count,
            if_version=self.versions.get((team, pool), 0),
        )
        if isinstance(self.fleet.apply(command), Accepted):
            assert is_current and lease is not None
            assert count < self.held[team, pool]
            self.held[team, pool] = count
            self.versions[team, pool] = self.fleet.index

    @rule(pool=pools)
    def replace_entry(self, pool):
        """Lose the entry; the next incarnation takes one pool over."""
        self.fleet.apply(ExpireEntry(entry_id="e", incarnation=str(self.incarnation)))
        self.incarnation += 1
        incarnation = str(self.incarnation)
        self.fleet.apply(
            RegisterEntry(entry_id="e", incarnation=incarnation, address="here")
        )
        self.fleet.apply(
            AssignDispatcher(pool=pool, entry_id="e", incarnation=incarnation)
        )

    @rule()
    def restart(self):
        """Go on from a snapshot."""
        self.fleet.replace_leader()

    @invariant()
    def sums_are_those_of_the_grants(self):
        """Only accepted grants and returns change what a team has allotted."""
        for team in ("s", "t"):
            total = sum(n for key, n in self.held.items() if key[0] == team)
            assert self.fleet.view.allotted(team) == total


TestAllotmentMachine = AllotmentMachine.TestCase


if __name__ == "__main__":
    unittest.main()
