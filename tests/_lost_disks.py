"""Histories of five simulated replicas that lose up to two disks at once."""

import random
from contextlib import suppress

from tests._consensus_cluster import CFG, check
from tests._lossy_cluster import MILLISECOND, OPEN_CFG, LossyCluster
from tests._memory_files import CrashError

MAX_LOST = 2


class History:
    """A random sequence of faults, the same for the same seed.

    Parameters
    ----------
    seed : int
        The seed.
    are_oldest_lost : bool
        Whether it is always the disks that have lasted longest that are lost.
    are_elections_hit : bool
        Whether replicas also lose power in the middle of elections.

    Attributes
    ----------
    steps : list of str
        What was done, with the virtual time.
    """

    def __init__(self, seed, *, are_oldest_lost=False, are_elections_hit=False):
        self.are_oldest_lost = are_oldest_lost
        self.are_elections_hit = are_elections_hit
        self.rng = rng = random.Random(f"lost disks {seed}")
        self.is_open = rng.random() < 0.7
        self.n_seeds = rng.choice([0, 0, 3, 5]) if self.is_open else 0
        self.is_founding_again = self.n_seeds > 0 and rng.random() < 0.5
        cfg = OPEN_CFG if self.is_open else CFG
        self.has_standby = self.is_open and rng.random() < 0.3
        self.cluster = LossyCluster(
            seed, cfg=cfg, n_seeds=self.n_seeds, has_standby=self.has_standby
        )
        self.steps = []

    def play(self):
        """Play the history, and check that the cluster recovers and lost nothing."""
        rng, cluster = self.rng, self.cluster
        cluster.run(20_000 * MILLISECOND, until=cluster.is_repaired)
        check(cluster.is_repaired(), "the cluster was not formed")
        troubles = [
            self.work,
            self.end_day,
            self.end_day,
            self.end_day,
            self.miss_changes,
            self.miss_changes,
            self.freeze_leader,
            self.restart_one,
            self.stall_disk,
            self.replace,
            self.lossy_links,
            self.transfer,
            self.wait_repaired,
        ]
        if self.are_elections_hit:
            troubles += 8 * [self.hit_election]
        for _ in range(rng.randint(3, 8)):
            trouble = rng.choice(troubles)
            self._note(trouble.__name__)
            trouble()
        self._note("recovery")
        cluster.check_recovery()

    def work(self):
        """Propose commands at regular intervals; snapshots are taken in between."""
        for _ in range(self.rng.randint(1, 12)):
            self._propose(self.rng.randint(1, 3))
            self.cluster.run(self.rng.choice([50, 100, 200]) * MILLISECOND)

    def end_day(self):
        """Lose disks up to 400 ms after an acknowledgement, and all other power."""
        rng, cluster = self.rng, self.cluster
        self._propose(rng.randint(1, 4))
        is_acknowledged = cluster.run_to_acknowledgement(4_000 * MILLISECOND)
        delay_ms = rng.choice([0, 0, 10, 50, 100, 200, 400])
        cluster.run(delay_ms * MILLISECOND)
        victims = self._victims()
        self._note(
            f"acknowledged={is_acknowledged} {delay_ms} ms later loses "
            f"{[p.replica_id for p in victims]}"
        )
        self._lose_and_darken(victims)

    def miss_changes(self):
        """Lose a disk while a minority lacks changes; the cut heals in the dark."""
        rng, cluster = self.rng, self.cluster
        others = [p for p in cluster.processes.values() if p is not self._leader()]
        minority = rng.sample(others, rng.randint(1, 2))
        for process in minority:
            cluster.isolate(process)
        self._note(f"isolated {[p.replica_id for p in minority]}")
        for _ in range(rng.randint(1, 10)):
            self._propose(1)
            cluster.run(100 * MILLISECOND)
        if rng.random() < 0.5:
            cluster.run(rng.choice([700, 2_000, 4_000]) * MILLISECOND)
        self._propose(1)
        cluster.run_to_acknowledgement(2_000 * MILLISECOND)
        victims = [p for p in self._victims() if p not in minority]
        self._note(f"loses {[p.replica_id for p in victims]}")
        if rng.random() < 0.5:
            cluster.cuts.clear()
        self._lose_and_darken(victims, lit=rng.choice([(), minority]))
        cluster.cuts.clear()
        cluster.run(rng.choice([0, 1_000, 3_000]) * MILLISECOND)

    def freeze_leader(self):
        """Freeze the leader for a while, with commands that only it has."""
        leader = self._leader()
        self._propose(self.rng.randint(0, 2))
        leader.is_frozen = True
        self.cluster.run(self.rng.choice([300, 700, 1_500, 4_000]) * MILLISECOND)
        self._propose(1)
        if self.rng.random() < 0.5:
            self.end_day()
        leader.is_frozen = False

    def restart_one(self):
        """Kill a replica at any point of its save, and start it again."""
        process = self.rng.choice(list(self.cluster.processes.values()))
        self._propose(2)
        self.cluster.run(20 * MILLISECOND)
        self.cluster.kill(process, self.rng.randint(0, 9))
        self.cluster.run(self.rng.choice([0, 500, 4_000]) * MILLISECOND)
        if process.node is None and process.replica_id not in self.cluster.rounds:
            self.cluster.start(process)

    def stall_disk(self):
        """Stall up to two disks, so that commits rest on the others."""
        stalled = self.rng.sample(list(self.cluster.processes.values()), 2)
        for process in stalled:
            process.is_disk_stalled = True
        self.work()
        self.end_day()
        for process in stalled:
            process.is_disk_stalled = False

    def replace(self):
        """Replace a replica by one at a new address, and sometimes wait for it."""
        cluster = self.cluster
        candidates = [
            p for n, p in cluster.processes.items() if n not in self.cluster.seed_ids
        ]
        if not self.is_open or cluster.n_unrepaired() or not candidates:
            return
        cluster.replace(self.rng.choice(candidates))
        cluster.run(self.rng.choice([0, 1_000, 3_500, 5_000]) * MILLISECOND)

    def lossy_links(self):
        """Lose a fifth of the messages for a while."""
        self.cluster.loss = 0.2
        self.work()
        self.cluster.loss = 0.0

    def transfer(self):
        """Transfer the leadership, and lose disks at the hand-over."""
        leader = self._leader()
        if leader.is_running:
            leader.node.transfer_leadership(self.cluster.clock(leader))
            self.cluster.pump(leader)
        self.cluster.run(self.rng.choice([0, 50, 300]) * MILLISECOND)

    def hit_election(self):
        """Let several replicas be candidates, and cut the power of some in between."""
        rng, cluster = self.rng, self.cluster
        self._propose(1)
        leader = self._leader()
        others = [p for p in cluster.processes.values() if p is not leader]
        how = rng.choice(["isolate", "hide", "delay"])
        if how == "isolate":
            cluster.isolate(leader)
        elif how == "hide":
            cluster.cuts |= {(leader.replica_id, p.replica_id) for p in others[:2]}
        cluster.advance(rng.choice([300, 700, 1_300]) * MILLISECOND)
        for _ in range(rng.randint(10, 40)):
            cluster.advance(rng.choice([10, 10, 50]) * MILLISECOND)
            processes = list(cluster.processes.values())
            for process in processes:
                if rng.random() < 0.4:
                    cluster.finish_save(process)
            for _ in range(rng.randint(0, 2 * len(cluster.in_flight))):
                if cluster.in_flight:
                    cluster.deliver(rng.randrange(len(cluster.in_flight)))
            if rng.random() < 0.1:
                process = rng.choice(processes)
                if process.node is not None:
                    cluster.kill(process)
                    cluster.start(process)
                    cluster.cuts |= {(leader.replica_id, process.replica_id)}
        if rng.random() < 0.5:
            cluster.cuts.clear()

    def wait_repaired(self):
        """Run until all lost disks are repaired, so that others may be lost."""
        cluster = self.cluster
        cluster.heal()
        cluster.run(20_000 * MILLISECOND, until=lambda: not cluster.n_unrepaired())

    def _lose_and_darken(self, victims, lit=()):
        """Empty disks; all others lose power, and come back one after the other."""
        rng, cluster = self.rng, self.cluster
        dark = [
            process
            for process in cluster.processes.values()
            if process not in victims and process not in lit
        ]
        for process in dark:
            cluster.kill(process, rng.randint(0, 9))
        for process in victims:
            cluster.lose_disk(process)
            cluster.lost_at[process.replica_id] = cluster.now
            cluster.n_lost += 1
        for process in victims:
            with suppress(CrashError):
                (cluster.found if self.is_founding_again else cluster.start)(process)
        spread_ms = rng.choice([0, 500, 4_000])
        cluster.run(rng.choice([0, 300, 2_000, 6_000]) * MILLISECOND)
        rng.shuffle(dark)
        for process in dark:
            if process.node is None and process.replica_id not in cluster.rounds:
                cluster.start(process)
            cluster.run(rng.random() * spread_ms * MILLISECOND)
        cluster.run(rng.choice([0, 500, 2_000, 8_000]) * MILLISECOND)

    def _victims(self):
        """Return the replicas that lose their disks: at most two may be unrepaired."""
        rng, cluster = self.rng, self.cluster
        n_free = MAX_LOST - cluster.n_unrepaired()
        leader = self._leader()
        others = [p for p in cluster.processes.values() if p is not leader]
        repaired_first = sorted(
            others, key=lambda p: p.replica_id in cluster.unrepaired_ids
        )
        order = rng.choice(
            [
                [leader, *rng.sample(others, len(others))],
                [leader, *repaired_first],
                repaired_first,
                rng.sample(others, len(others)),
            ]
        )
        if self.are_oldest_lost:
            order.sort(key=lambda p: cluster.lost_at.get(p.replica_id, cluster.now * 0))
        pending = set(cluster.replacements.values())
        order = [p for p in order if p.replica_id not in pending]
        n_victims = rng.choice([1, 2, 2])
        victims = []
        for process in order[:n_victims]:
            is_counted = process.replica_id in cluster.unrepaired_ids
            if is_counted or n_free > 0:
                victims.append(process)
                n_free -= not is_counted
        return victims

    def _leader(self):
        return self.cluster.pick("leader")

    def _propose(self, count):
        for _ in range(count):
            for process in list(self.cluster.processes.values()):
                self.cluster.propose(process)

    def _note(self, what):
        self.steps.append(f"{self.cluster.now.total_seconds():.2f} {what}")
