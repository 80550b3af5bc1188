"""Tests of the leases of entries, on the leader's and on the entry's side."""

import unittest
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from redwingslip.fleet import (
    FleetState,
    FleetView,
    PoolSpec,
    PutResource,
    ViewSnapshot,
)
from redwingslip.leases import ChangeLog, LeaseGranter, LeaseHolder, LeaseSettings
from redwingslip.peers import LeaseGrant, LeaseRenewal

CFG = LeaseSettings()
ENTRY_IDS = ("entry-1", "entry-2")


class Holder:
    """An incarnation of an entry with its lease."""

    def __init__(self, entry_id, incarnation):
        self.newest_index = 0
        self.lease = LeaseHolder(
            cfg=CFG,
            entry_id=entry_id,
            incarnation=f"{entry_id}.{incarnation}",
            address="127.0.0.1:1",
            data_centre="a",
            view=FleetView(),
        )


def rows_of(view):
    """Return the set of a view's rows."""
    return set(view.snapshot().rows)


class LeaseMachine(RuleBasedStateMachine):
    """Leaders change, messages are late or lost, entries freeze and restart.

    The invariants guard against two failures. An entry holds a valid lease with a view
    older than the index that was reported to be in force. Two entries with valid leases
    both take themselves for the dispatcher of a pool.
    """

    def __init__(self):
        super().__init__()
        self.now = timedelta(0)
        self.state = FleetState()
        self.changes = ChangeLog(max_changes=6)
        self.index = 0
        self.term = 0
        self.in_force = 0
        self.history = {0: set()}
        self.in_flight = []
        self.last_incarnation = 0
        self.holders = {}
        self.frozen = []

    @initialize()
    def start(self):
        for entry_id in ENTRY_IDS:
            self.restart(entry_id)
        self.elect()
        self.write()

    def in_flight_of(self, kind):
        """Return the indexes of the messages in flight that have the given type."""
        return [i for i, (_, m) in enumerate(self.in_flight) if isinstance(m, kind)]

    def commit(self, commands):
        """Commit and apply the commands that the leader proposes."""
        for command in commands:
            self.index += 1
            _, changes = self.state.apply(self.index, command)
            self.changes.add(changes)
            self.history[self.index] = rows_of(self.state.view)

    @rule()
    def elect(self):
        """Elect a new leader; the previous one can't grant leases any more."""
        self.term += 1
        self.granter = LeaseGranter(
            cfg=CFG,
            view=self.state.view,
            changes=self.changes,
            term=self.term,
            now=self.now,
            has_quorum=lambda now: True,
        )

    @rule()
    def write(self):
        self.commit([PutResource(name=f"p{self.index % 3}", spec=PoolSpec())])

    @rule(entry_id=st.sampled_from(ENTRY_IDS))
    def restart(self, entry_id):
        """Start a new incarnation; the old process may still exist, but frozen."""
        self.last_incarnation += 1
        if entry_id in self.holders:
            self.frozen.append(self.holders[entry_id])
        self.holders[entry_id] = Holder(entry_id, self.last_incarnation)

    @rule(
        entry_id=st.sampled_from(ENTRY_IDS),
        leaving=st.sampled_from([False] * 9 + [True]),
    )
    def renew(self, entry_id, leaving):
        holder = self.holders[entry_id]
        self.in_flight.append(
            (holder, holder.lease.next_renewal(self.now, leaving=leaving))
        )
        if leaving:
            self.restart(entry_id)

    @precondition(lambda self: self.in_flight_of(LeaseRenewal))
    @rule(data=st.data(), copies=st.integers(0, 2))
    def deliver(self, data, copies):
        """Deliver a renewal to the leader once or twice, or lose it."""
        i = data.draw(st.sampled_from(self.in_flight_of(LeaseRenewal)))
        holder, msg = self.in_flight.pop(i)
        for _ in range(copies):
            grant, commands = self.granter.handle_renewal(msg, self.now)
            self.commit(commands)
            self.in_flight.append((holder, grant))

    @precondition(lambda self: self.in_flight_of(LeaseGrant))
    @rule(data=st.data())
    def receive(self, data):
        """Deliver a grant to its entry; grants may arrive in any order."""
        i = data.draw(st.sampled_from(self.in_flight_of(LeaseGrant)))
        holder, msg = self.in_flight.pop(i)
        holder.lease.apply_grant(msg)

    @rule()
    def exchange(self):
        """Renew the lease of every live entry and deliver all pushed changes."""
        for holder in self.holders.values():
            grant, commands = self.granter.handle_renewal(
                holder.lease.next_renewal(self.now), self.now
            )
            self.commit(commands)
            holder.lease.apply_grant(grant)
        for entry_id, push in self.granter.take_pushes(self.now):
            self.holders[entry_id].lease.apply_grant(push)

    @rule()
    def push(self):
        """Push changes to the entries; they may arrive late or never."""
        for entry_id, push in self.granter.take_pushes(self.now):
            self.in_flight.append((self.holders[entry_id], push))

    @rule(ms=st.sampled_from([10, 100, 300, 800, 1_600, 2_000]))
    def wait(self, ms):
        self.now += timedelta(milliseconds=ms)

    @rule()
    def tick(self):
        self.commit(self.granter.tick(self.now))
        self.in_force = max(self.in_force, self.granter.in_force_index)

    def valid_leases(self):
        all_holders = [*self.holders.values(), *self.frozen]
        return [h.lease for h in all_holders if h.lease.is_valid(self.now)]

    @invariant()
    def no_valid_lease_with_an_outdated_view(self):
        for lease in self.valid_leases():
            assert lease.view.index >= self.in_force, (lease.view.index, self.in_force)

    @invariant()
    def views_are_prefixes_of_the_log(self):
        for holder in self.holders.values():
            view = holder.lease.view
            assert rows_of(view) == self.history[view.index]
            assert view.index >= holder.newest_index
            holder.newest_index = view.index

    @invariant()
    def one_dispatcher_for_each_pool(self):
        owners = [
            (record.pool, record.incarnation)
            for lease in self.valid_leases()
            for record in lease.view.dispatchers.values()
            if record.incarnation == lease._incarnation
        ]
        pools = [pool for pool, _ in owners]
        assert len(pools) == len(set(pools)), owners


class TestLeases(LeaseMachine.TestCase):
    """Leases under lost, late and duplicated messages, restarts and new leaders."""

    settings = settings(max_examples=5 * settings().max_examples)


def grant_of(*, index, from_index=0, snapshot=None):
    """Return a grant without a lease."""
    return LeaseGrant(
        number=0,
        incarnation="entry-1.1",
        term=1,
        duration=timedelta(0),
        from_index=from_index,
        index=index,
        snapshot=snapshot,
    )


class TestLeaseHolder(unittest.TestCase):
    """The entry's side of a lease."""

    def test_lease_counts_from_the_time_of_the_renewal(self):
        """A grant that arrives after the duration of its lease gives no valid lease."""
        granter_state = FleetState()
        granter = LeaseGranter(
            cfg=CFG,
            view=granter_state.view,
            changes=ChangeLog(),
            term=1,
            now=timedelta(0),
            has_quorum=lambda now: True,
        )
        holder = Holder("entry-1", 1).lease
        _, commands = granter.handle_renewal(
            holder.next_renewal(timedelta(0)), timedelta(0)
        )
        granter_state.apply(1, commands[0])
        grant, _ = granter.handle_renewal(
            holder.next_renewal(timedelta(0)), timedelta(0)
        )
        holder.apply_grant(grant)
        self.assertTrue(holder.is_valid(timedelta(seconds=1)))
        self.assertFalse(holder.is_valid(CFG.duration))

    def test_grant_that_leaves_a_gap_is_ignored(self):
        """Changes that do not continue the view are not applied."""
        holder = Holder("entry-1", 1).lease
        holder.apply_grant(grant_of(from_index=3, index=4))
        self.assertEqual(holder.view.index, 0)

    def test_older_snapshot_is_not_restored(self):
        """A snapshot that arrives late does not replace a newer view."""
        holder = Holder("entry-1", 1).lease
        holder.apply_grant(grant_of(snapshot=ViewSnapshot(index=7, rows=()), index=7))
        holder.apply_grant(grant_of(snapshot=ViewSnapshot(index=5, rows=()), index=5))
        self.assertEqual(holder.view.index, 7)


if __name__ == "__main__":
    unittest.main()
