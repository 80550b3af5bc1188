"""Simulated replicas on lossy links in simulated time, checked by simple oracles."""

import random
from contextlib import suppress
from datetime import timedelta
from pathlib import Path

from redwingslip.consensus import (
    ConsensusSettings,
    DataFolder,
    EntryKind,
    Identity,
    Member,
    NotLeaderError,
    RaftNode,
)
from tests._memory_files import CrashError, MemoryFiles

CFG = ConsensusSettings(
    snapshot_every=6,
    n_trailing_entries=2,
    max_batch_entries=3,
    max_inflight_entries=8,
    snapshot_chunk_bytes=150,
)
FOLDER = Path("/data")
STEP = timedelta(milliseconds=50)
MAX_CLOCK_RATE_ERROR = 0.02


def check(condition, message):
    """Raise `AssertionError` unless a condition holds."""
    if not condition:
        raise AssertionError(message)


class Process:
    """A replica's disk, and its node while the process runs."""

    def __init__(self, replica_id, clock_rate):
        self.replica_id = replica_id
        self.clock_rate = clock_rate
        self.files = MemoryFiles()
        self.folder = None
        self.node = None
        self.incarnation = ""
        self.pending_ready = None
        self.applied = []
        self.last_snapshot_index = 0
        self.is_frozen = False
        self.is_disk_stalled = False

    @property
    def is_running(self):
        """Return whether the process runs and is not frozen."""
        return self.node is not None and not self.is_frozen


class Cluster:
    """Three or more processes and all messages in flight between them.

    The oracles check that a term has one leader, that all replicas apply the same
    entry at an index, and that no newer leader exists beside a lease holder.

    Attributes
    ----------
    in_flight : list of tuple
        Sender id, receiver id and message of each message in flight.
    cuts : set of tuple of str
        Pairs of sender id and receiver id between which messages are lost.
    loss : float
        Probability that a message is lost.
    log : dict of int to LogEntry
        The applied entries by index.
    proposed : dict of bytes to tuple of int
        Index and term of each proposed command.
    acknowledged : list of tuple
        Index and command of each entry that its leader applied.
    leaders : dict of int to str
        The leader's id by term.
    unrepaired_ids : set of str
        Replicas whose disk was lost or new and that no leader has reported repaired.
    """

    def __init__(self, seed=0, n_replicas=3, n_founders=3, cfg=CFG):
        self.cfg = cfg
        self.rng = random.Random(seed)
        self.now = timedelta(seconds=1)
        ids = [f"r{i}" for i in range(n_replicas)]
        self.processes = {
            replica_id: Process(
                replica_id,
                1 + self.rng.uniform(-MAX_CLOCK_RATE_ERROR, MAX_CLOCK_RATE_ERROR),
            )
            for replica_id in ids
        }
        self.in_flight = []
        self.cuts = set()
        self.loss = 0.0
        self.log = {}
        self.proposed = {}
        self.acknowledged = []
        self.leaders = {}
        self.unrepaired_ids = set()
        self._start_initial_members(ids[:n_founders])
        for replica_id in ids[n_founders:]:
            self.unrepaired_ids.add(replica_id)
            self.start(self.processes[replica_id])

    def _start_initial_members(self, ids):
        """Start processes on data folders that hold the same initial members."""
        members = tuple(
            Member(replica_id=i, incarnation=f"{i}.0", address=f"{i}:1") for i in ids
        )
        for replica_id in ids:
            process = self.processes[replica_id]
            folder = DataFolder(FOLDER, process.files)
            folder.load(process.replica_id)
            identity = Identity(
                replica_id=process.replica_id,
                incarnation=f"{process.replica_id}.0",
                founder=True,
            )
            folder.save_initial_members(identity, members)
            self.start(process)

    def pick(self, who):
        """Return the leader of the newest term, or another process by position."""
        processes = list(self.processes.values())
        leading = [p for p in processes if p.node is not None and p.node.is_leader]
        leader = max(leading, key=lambda p: p.node.term, default=processes[0])
        if who == "leader":
            return leader
        return [p for p in processes if p is not leader][who]

    def clock(self, process):
        """Return the monotonic time of a process, whose clock has a rate error."""
        return self.now * process.clock_rate

    def peers_of(self, replica_id):
        """Return the ids of the replicas that a replica knows from its settings."""
        return frozenset(self.processes) - {replica_id}

    def start(self, process):
        """Start a process from the content of its disk."""
        process.folder = DataFolder(FOLDER, process.files)
        stored = process.folder.load(process.replica_id)
        process.incarnation = stored.identity.incarnation
        process.pending_ready = None
        process.is_frozen = False
        process.applied = []
        if stored.snapshot is not None:
            self._restore(process, stored.snapshot)
        process.last_snapshot_index = len(process.applied)
        process.node = RaftNode(
            cfg=self.cfg,
            stored=stored,
            address=f"{process.replica_id}:1",
            peers=self.peers_of(process.replica_id),
            rng=random.Random(self.rng.random()),
            now=self.clock(process),
        )

    def kill(self, process, n_steps=0):
        """Kill a process after `n_steps` file operations of its pending save."""
        if process.node is None:
            return
        if process.pending_ready is not None:
            process.files.steps_left = n_steps
            with suppress(CrashError):
                process.folder.save(
                    process.pending_ready.save, process.pending_ready.snapshot
                )
        process.files.crash(self.rng)
        process.node = None
        process.pending_ready = None

    def isolate(self, process):
        """Cut all links of a process, in both directions."""
        for other in self.processes:
            self.cuts.add((process.replica_id, other))
            self.cuts.add((other, process.replica_id))

    def may_lose_disk(self, process):
        """Return whether no other disk is still unrepaired.

        The safety guarantee covers one lost disk at a time.
        """
        return not (self.unrepaired_ids - {process.replica_id})

    def lose_disk(self, process):
        """Kill a process and erase its disk."""
        self.kill(process)
        process.files = MemoryFiles()
        self.unrepaired_ids.add(process.replica_id)

    def propose(self, process):
        """Propose a new command if the process believes that it leads."""
        if not process.is_running:
            return
        data = b"%d" % len(self.proposed)
        try:
            entry = process.node.propose(data)
        except NotLeaderError:
            return
        self.proposed[data] = (entry.index, entry.term)
        self.pump(process)

    def pump(self, process):
        """Carry out a node's outputs, but leave its save pending."""
        ready = process.node.take_ready(self.clock(process))
        for receiver_id, message in ready.messages:
            if (process.replica_id, receiver_id) in self.cuts:
                continue
            if self.rng.random() >= self.loss:
                self.in_flight.append((process.replica_id, receiver_id, message))
        for entry in ready.committed:
            self._apply(process, entry)
        if ready.save is not None:
            process.pending_ready = ready
        elif process.pending_ready is None:
            self._take_snapshot(process)
        self._check_leader(process)

    def finish_save(self, process):
        """Finish the pending save of a process, and report it to the node."""
        ready = process.pending_ready
        if ready is None or not process.is_running:
            return
        process.folder.save(ready.save, ready.snapshot)
        process.pending_ready = None
        process.node.mark_saved(self.clock(process))
        if ready.is_installed:
            self._restore(process, ready.snapshot)
        self.pump(process)

    def deliver(self, position):
        """Deliver one message; it waits for a frozen process, a killed one loses it."""
        sender_id, receiver_id, message = self.in_flight.pop(position)
        process = self.processes[receiver_id]
        if process.is_frozen:
            self.in_flight.append((sender_id, receiver_id, message))
        elif process.is_running:
            process.node.receive(sender_id, message, self.clock(process))
            self.pump(process)

    def advance(self, duration):
        """Advance the time without delivering messages."""
        self.now += duration
        for process in self.processes.values():
            if process.is_running:
                process.node.tick(self.clock(process))
                self.pump(process)
        self.check_leases()

    def run(self, duration, until=None):
        """Advance the time, delivering messages in random order and finishing saves."""
        end = self.now + duration
        while self.now < end and not (until is not None and until()):
            self.advance(STEP)
            for _ in range(3):
                for process in self.processes.values():
                    if not process.is_disk_stalled and self.rng.random() < 0.6:
                        self.finish_save(process)
                n_in_flight = len(self.in_flight)
                for _ in range(n_in_flight):
                    self.deliver(self.rng.randrange(len(self.in_flight)))
            self.check_leases()
            self._note_repaired()

    def check_leases(self):
        """Check that no newer leader exists beside a lease holder."""
        leaders = [
            process
            for process in self.processes.values()
            if process.node is not None and process.node.is_leader
        ]
        holders = [
            process
            for process in leaders
            if process.node.has_quorum_lease(self.clock(process))
        ]
        check(len(holders) <= 1, "two replicas hold the quorum lease")
        for holder in holders:
            newest = max(process.node.term for process in leaders)
            check(
                holder.node.term == newest,
                "a newer leader exists beside the lease holder",
            )

    def heal(self):
        """End all faults and start all processes; the disks' content stays."""
        self.cuts.clear()
        self.loss = 0.0
        for process in self.processes.values():
            process.is_frozen = False
            process.is_disk_stalled = False
            if process.node is None:
                self.start(process)

    def check_recovery(self):
        """Check that a healed cluster is repaired, lost nothing and commits again."""
        self.heal()
        n_before = len(self.acknowledged)
        max_duration = timedelta(seconds=30)
        self.run(
            max_duration, until=lambda: not self.unrepaired_ids and self.has_lease()
        )
        check(self.has_lease(), "no leader after all faults ended")
        check(not self.unrepaired_ids, f"not repaired: {self.unrepaired_ids}")
        deadline = self.now + max_duration
        while len(self.acknowledged) == n_before and self.now < deadline:
            for process in self.processes.values():
                self.propose(process)
            self.run(timedelta(seconds=1))
        check(len(self.acknowledged) > n_before, "no command can be committed")
        self.run(timedelta(seconds=3))
        expected = [self.log[index] for index in sorted(self.log)]
        check(
            sorted(self.log) == list(range(1, len(self.log) + 1)),
            "the applied log has a gap",
        )
        for process in self.processes.values():
            check(
                process.applied == expected,
                f"{process.replica_id} has not applied every entry",
            )
        for index, data in self.acknowledged:
            check(self.log[index].data == data, f"acknowledged {data} was lost")

    def has_lease(self):
        return any(
            process.node is not None
            and process.node.has_quorum_lease(self.clock(process))
            for process in self.processes.values()
        )

    def _note_repaired(self):
        for process in self.processes.values():
            if not process.is_running or not process.node.is_leader:
                continue
            self.unrepaired_ids = {
                replica_id
                for replica_id in self.unrepaired_ids
                if not process.node.is_repaired(
                    replica_id, self.processes[replica_id].incarnation
                )
            }

    def _check_leader(self, process):
        node = process.node
        if not node.is_leader:
            return
        if node.term not in self.leaders:
            self.leaders[node.term] = process.replica_id
            self.check_leases()
        leader = self.leaders[node.term]
        check(leader == process.replica_id, f"two leaders in term {node.term}")

    def _apply(self, process, entry):
        check(entry.index == len(process.applied) + 1, "an entry was skipped")
        agreed = self.log.setdefault(entry.index, entry)
        check(
            agreed == entry,
            f"{process.replica_id} applies a different entry {entry.index}",
        )
        process.applied.append(entry)
        if entry.kind is not EntryKind.COMMAND or not process.node.is_leader:
            return
        if self.proposed[entry.data] == (entry.index, entry.term):
            self.acknowledged.append((entry.index, entry.data))

    def _take_snapshot(self, process):
        n_applied = len(process.applied)
        if n_applied < process.last_snapshot_index + self.cfg.snapshot_every:
            return
        process.last_snapshot_index = n_applied
        # The state is the list of applied entries; a snapshot holds their digest.
        process.node.compact(n_applied, _digest(process.applied))
        self.pump(process)

    def _restore(self, process, snapshot):
        process.applied = [self.log[i] for i in range(1, snapshot.index + 1)]
        check(
            snapshot.data == _digest(process.applied),
            "a snapshot differs from the applied log",
        )
        process.last_snapshot_index = snapshot.index


def _digest(entries):
    """Return a snapshot of the state, with a part of every entry."""
    return b" ".join(entry.data[:8] + b"/%d" % entry.term for entry in entries)
