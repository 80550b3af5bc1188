"""Stateful fuzzing of allotments.

The sum of a team's allotments must not exceed its limit when an allotment is granted,
and only the current dispatcher may return an allotment.
"""

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
    """Compares grants, returns and expired entries with a dict of granted counts."""

    @initialize()
    def start(self):
        """Declare three pools and two teams."""
        self.fleet = FleetDriver()
        self.granted = {}
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
        """Grant an allotment with the current or an outdated version."""
        version = self.versions.get((team, pool), 0) - (not is_current)
        command = GrantAllotment(team=team, pool=pool, count=count, if_version=version)
        if isinstance(self.fleet.apply(command), Accepted):
            assert is_current
            self.granted[team, pool] = count
            self.versions[team, pool] = self.fleet.index
            total = sum(n for key, n in self.granted.items() if key[0] == team)
            assert total <= self.limits[team]

    @rule(team=teams, pool=pools, count=counts, is_current=st.booleans())
    def give_back(self, team, pool, count, is_current):
        """Return part of an allotment as the current or as a former dispatcher."""
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
            assert count < self.granted[team, pool]
            self.granted[team, pool] = count
            self.versions[team, pool] = self.fleet.index

    @rule(pool=pools)
    def replace_entry(self, pool):
        """Expire the entry; its next incarnation becomes dispatcher of one pool."""
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
        """Continue with a state restored from a snapshot."""
        self.fleet.replace_leader()

    @invariant()
    def sums_are_those_of_the_grants(self):
        """The total of a team is the sum of the accepted grants and returns."""
        for team in ("s", "t"):
            total = sum(n for key, n in self.granted.items() if key[0] == team)
            assert self.fleet.view.allotted(team) == total


TestAllotmentMachine = AllotmentMachine.TestCase


if __name__ == "__main__":
    unittest.main()
