"""Stateful fuzzing of the safety guarantees, checked by the cluster's oracles."""

import itertools
import unittest
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from tests._consensus_cluster import Cluster

WHO = st.sampled_from(["leader", 0, 1])
PAIRS = list(itertools.permutations(["leader", 0, 1], 2))
MILLISECOND = timedelta(milliseconds=1)


class ClusterMachine(RuleBasedStateMachine):
    """Faults in any order, after which no acknowledged command may be lost."""

    cluster = None

    @initialize(seed=st.integers(0, 2**16))
    def set_up(self, seed):
        """Start a cluster; for most seeds, wait until it has a leader."""
        self.cluster = Cluster(seed)
        if seed % 8:
            self.cluster.run(timedelta(seconds=3), until=self.cluster.has_lease)

    @rule(
        ms=st.sampled_from([50, 300, 700, 1500, 3000]),
        loss=st.sampled_from([0, 0, 0.2]),
        n_proposals=st.integers(0, 12),
    )
    def work(self, ms, loss, n_proposals):
        """Run the cluster for a while, with proposals at regular intervals."""
        self.cluster.loss = loss
        for _ in range(n_proposals):
            self.propose(1)
            self.cluster.run(ms * MILLISECOND / n_proposals)
        self.cluster.run(ms * MILLISECOND / 2)

    @rule(ms=st.sampled_from([10, 200, 650, 1300]))
    def delay(self, ms):
        """Advance the time while no message is delivered."""
        self.cluster.advance(ms * MILLISECOND)

    @rule(count=st.integers(1, 8))
    def propose(self, count):
        """Propose commands to every process that believes that it leads."""
        for _ in range(count):
            for process in self.cluster.processes.values():
                self.cluster.propose(process)

    @precondition(lambda self: self.cluster.in_flight)
    @rule(data=st.data(), how=st.sampled_from(["deliver", "drop", "duplicate"]))
    def disturb(self, data, how):
        """Deliver, drop or duplicate one message."""
        in_flight = self.cluster.in_flight
        position = data.draw(st.integers(0, len(in_flight) - 1))
        if how == "drop":
            in_flight.pop(position)
        elif how == "duplicate":
            in_flight.append(in_flight[position])
        else:
            self.cluster.deliver(position)

    @rule(pair=st.sampled_from(PAIRS))
    def cut(self, pair):
        """Cut one direction of a link."""
        sender, receiver = (self.cluster.pick(who).replica_id for who in pair)
        self.cluster.cuts.add((sender, receiver))

    @rule(who=WHO)
    def isolate(self, who):
        """Cut all links of a replica."""
        self.cluster.isolate(self.cluster.pick(who))

    @rule()
    def heal_links(self):
        """Restore all links."""
        self.cluster.cuts.clear()

    @rule(ms=st.sampled_from([700, 2500]))
    def heal(self, ms):
        """End all faults and run for a while."""
        self.cluster.heal()
        self.cluster.run(ms * MILLISECOND)

    @rule(who=WHO, n_steps=st.integers(0, 9), stay_down=st.booleans())
    def kill(self, who, n_steps, stay_down):
        """Kill a process at any point of its save."""
        process = self.cluster.pick(who)
        self.cluster.kill(process, n_steps)
        if not stay_down:
            self.cluster.start(process)

    @rule(ms=st.integers(400, 700), restart=st.booleans())
    def hide_leader(self, ms, restart):
        """Cut the leader's link to one member, and to the other after its restart.

        The restarted member must not vote while the leader still relies on it.
        """
        leader, cut_off, voter = (self.cluster.pick(who) for who in ["leader", 0, 1])
        self.cluster.cuts.add((leader.replica_id, cut_off.replica_id))
        self.cluster.run(ms * MILLISECOND)
        if restart:
            self.cluster.kill(voter)
            self.cluster.start(voter)
            self.cluster.cuts.add((leader.replica_id, voter.replica_id))
        self.cluster.run(1500 * MILLISECOND)

    @rule(n_proposals=st.integers(0, 3), n_steps=st.integers(0, 9), apart=st.booleans())
    def power_cut(self, n_proposals, n_steps, apart):
        """Kill and restart all processes; isolate the old leader if `apart`."""
        leader = self.cluster.pick("leader")
        self.propose(n_proposals)
        self.cluster.run(50 * MILLISECOND)
        for process in self.cluster.processes.values():
            self.cluster.kill(process, n_steps)
        for process in self.cluster.processes.values():
            self.cluster.start(process)
        if apart:
            self.cluster.isolate(leader)
            self.cluster.run(2500 * MILLISECOND)

    @rule(who=WHO)
    def lose_disk(self, who):
        """Erase a disk, unless another one is still unrepaired."""
        process = self.cluster.pick(who)
        if self.cluster.may_lose_disk(process):
            self.cluster.lose_disk(process)
            self.cluster.start(process)

    @rule(first=WHO, second=WHO, n_proposals=st.integers(0, 5))
    def lose_two_disks(self, first, second, n_proposals):
        """Erase a disk, and another one immediately after the first is repaired."""
        for who in (first, second):
            self.propose(n_proposals)
            self.lose_disk(who)
            self.cluster.heal()
            max_duration = timedelta(seconds=20)
            self.cluster.run(
                max_duration, until=lambda: not self.cluster.unrepaired_ids
            )

    @rule(who=WHO)
    def freeze(self, who):
        """Freeze a process, or let it continue."""
        process = self.cluster.pick(who)
        if process.node is not None:
            process.is_frozen = not process.is_frozen

    @rule(who=WHO)
    def stall_disk(self, who):
        """Stall a disk, or let it continue."""
        process = self.cluster.pick(who)
        process.is_disk_stalled = not process.is_disk_stalled

    @rule(who=WHO)
    def transfer(self, who):
        """Transfer the leadership of a process if it leads."""
        process = self.cluster.pick(who)
        if process.is_running:
            process.node.transfer_leadership(self.cluster.clock(process))
            self.cluster.pump(process)

    def teardown(self):
        """Check that the cluster recovers and has lost no acknowledged command."""
        if self.cluster is not None:
            self.cluster.check_recovery()


class TestClusterMachine(ClusterMachine.TestCase):
    """Stateful fuzzing of three replicas."""

    settings = settings(max_examples=3 * settings().max_examples)


class TestGrowth(unittest.TestCase):
    """Replicas that are added to the settings."""

    def test_new_replicas_become_voters_one_by_one(self):
        """A cluster grows from three to five members, which survive two lost disks."""
        cluster = Cluster(seed=1, n_replicas=5)
        cluster.check_recovery()
        names = [m.replica_id for m in cluster.pick("leader").node.members if m.voting]
        self.assertEqual(names, list(cluster.processes))
        lost = [cluster.pick("leader"), cluster.pick(0)]
        for process in lost:
            cluster.lose_disk(process)
        cluster.check_recovery()


if __name__ == "__main__":
    unittest.main()
