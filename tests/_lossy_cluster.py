"""A simulated cluster of five voters, whose seeds may found it again by mistake."""

from datetime import timedelta

import msgspec

from redwingslip.consensus import (
    BootstrapRefusedError,
    BootstrapRound,
    DataFolder,
    bootstrap_data_folder,
)
from tests._consensus_cluster import CFG, FOLDER, Cluster, Process, check
from tests._memory_files import MemoryFiles

N_VOTERS = 5
MILLISECOND = timedelta(milliseconds=1)
FINE_STEP = 10 * MILLISECOND
OPEN_CFG = msgspec.structs.replace(CFG, max_voters=N_VOTERS)


class LossyCluster(Cluster):
    """Five replicas, whose seeds may be told to found the cluster again.

    Besides the oracles of `Cluster`, it checks that every acknowledged command precedes
    the first entry of every later leader, and that the cluster is founded only once.

    Attributes
    ----------
    seed_ids : tuple of str
        The founders, or nothing for a cluster that is founded in advance.
    rounds : dict of str to BootstrapRound
        The bootstrap of each founder that does not know the initial members.
    foundings : set of tuple of Member
        The initial members that founders have decided or adopted.
    n_refused : int
        How many founders have found that the cluster exists without them.
    lost_at : dict of str to timedelta
        When each replica last lost its disk.
    n_lost : int
        How many disks were lost.
    replacements : dict of str to str
        The id of each replica that was stopped for good, and of the one in its place.
    """

    def __init__(self, seed, *, cfg, n_seeds=0, has_standby=False):
        n_replicas = N_VOTERS + has_standby
        ids = [f"r{i}" for i in range(n_replicas)]
        self.seed_ids = tuple(ids[:n_seeds])
        self.rounds = {}
        self.foundings = set()
        self.n_refused = 0
        self.lost_at = {}
        self.n_lost = 0
        self.replacements = {}
        self._ack_terms = []
        self._first_indexes = {}
        n_founders = 0 if n_seeds else N_VOTERS
        super().__init__(seed, n_replicas=n_replicas, n_founders=n_founders, cfg=cfg)
        for replica_id in self.seed_ids:
            self.found(self.processes[replica_id])

    def peers_of(self, replica_id):
        """Return the seeds, or all replicas of a cluster that was founded already."""
        return frozenset(self.seed_ids or self.processes) - {replica_id}

    def found(self, process):
        """Start a process on an empty folder, to found the cluster if it is a seed."""
        process.node = None
        process.files = MemoryFiles()
        if process.replica_id in self.seed_ids:
            bootstrap_data_folder(FOLDER, process.replica_id, files=process.files)
        self.start(process)

    def start(self, process):
        """Start a process, with the bootstrap of a founder that knows no members."""
        super().start(process)
        self.rounds.pop(process.replica_id, None)
        identity = DataFolder(FOLDER, process.files).load(process.replica_id).identity
        if identity.founder and not identity.members:
            process.node = None
            self.rounds[process.replica_id] = BootstrapRound(
                cfg=self.cfg,
                identity=identity,
                address=f"{process.replica_id}:1",
                peers={p: f"{p}:1" for p in self.peers_of(process.replica_id)},
                now=self.clock(process),
            )

    def kill(self, process, n_steps=0):
        """Kill a process; a bootstrap in progress starts again later."""
        if self.rounds.pop(process.replica_id, None) is not None:
            process.files.crash(self.rng)
        super().kill(process, n_steps)

    def heal(self):
        """End all faults and start all processes that do not run."""
        rounds, self.rounds = self.rounds, {}
        waiting = {name: self.processes[name] for name in rounds}
        processes = self.processes
        self.processes = {n: p for n, p in processes.items() if n not in waiting}
        try:
            super().heal()
        finally:
            self.processes = processes
            self.rounds = rounds

    def advance(self, duration):
        """Advance the time, also for founders that do not know the members yet."""
        super().advance(duration)
        for name in list(self.rounds):
            self.rounds[name].tick(self.clock(self.processes[name]))
            self._pump_round(name)

    def deliver(self, position):
        """Deliver one message; one to a replaced replica is lost."""
        sender_id, receiver_id, message = self.in_flight[position]
        bootstrap = self.rounds.get(receiver_id)
        if receiver_id not in self.processes:
            self.in_flight.pop(position)
        elif bootstrap is None:
            super().deliver(position)
        else:
            self.in_flight.pop(position)
            try:
                bootstrap.receive(sender_id, message)
            except BootstrapRefusedError:
                # The operator empties the folder, and starts it without founding.
                self.n_refused += 1
                self.lose_disk(self.processes[receiver_id])
                self.start(self.processes[receiver_id])
                return
            self._pump_round(receiver_id)

    def _pump_round(self, name):
        bootstrap = self.rounds[name]
        for receiver_id, message in bootstrap.take_messages():
            if (name, receiver_id) not in self.cuts and self.rng.random() >= self.loss:
                self.in_flight.append((name, receiver_id, message))
        if not bootstrap.members:
            return
        self.foundings.add(bootstrap.members)
        check(len(self.foundings) == 1, "a second cluster was founded")
        process = self.processes[name]
        identity = process.folder.load(name).identity
        process.folder.save_initial_members(identity, bootstrap.members)
        self.start(process)

    def replace(self, process):
        """Stop a replica for good, and start one at a new address in its place."""
        self.kill(process)
        del self.processes[process.replica_id]
        new_id = f"{process.replica_id}x"
        self.processes[new_id] = Process(new_id, process.clock_rate)
        self.replacements[process.replica_id] = new_id
        self.unrepaired_ids.add(new_id)
        self.start(self.processes[new_id])

    def n_unrepaired(self):
        """Return how many members count as lost; a replaced one counts once."""
        pending = set(self.replacements.values())
        return len(self.unrepaired_ids - pending) + len(self.replacements)

    def run_to_acknowledgement(self, max_duration):
        """Run until a command is acknowledged, and stop at that very moment."""
        n_before = len(self.acknowledged)
        end = self.now + max_duration
        while self.now < end:
            self.advance(FINE_STEP)
            for _ in range(3):
                for process in self.processes.values():
                    if not process.is_disk_stalled and self.rng.random() < 0.6:
                        self.finish_save(process)
                        if len(self.acknowledged) > n_before:
                            return True
                for _ in range(len(self.in_flight)):
                    self.deliver(self.rng.randrange(len(self.in_flight)))
                    if len(self.acknowledged) > n_before:
                        return True
        return False

    def finish_save(self, process):
        """Finish the pending save of a process, unless it is cut off from its disk."""
        if process.replica_id not in self.rounds:
            super().finish_save(process)

    def check_recovery(self):
        """Check that a healed cluster is repaired, lost nothing and commits again."""
        self.heal()
        self.run(30_000 * MILLISECOND, until=self.is_repaired)
        check(self.has_lease(), "no leader after all faults ended")
        check(self.is_repaired(), "not all voters are repaired")
        self._note_repaired()
        super().check_recovery()

    def is_repaired(self):
        """Return whether five replicas vote, each repaired on its present disk."""
        leader = self.pick("leader")
        if leader.node is None or not leader.node.has_quorum_lease(self.clock(leader)):
            return False
        voters = [member for member in leader.node.members if member.voting]
        return len(voters) == N_VOTERS and all(
            member.replica_id in self.processes
            and self.processes[member.replica_id].incarnation == member.incarnation
            and leader.node.is_repaired(member.replica_id, member.incarnation)
            for member in voters
        )

    def _note_repaired(self):
        super()._note_repaired()
        if self.is_repaired():
            self.unrepaired_ids.clear()
            self.replacements.clear()

    def _check_leader(self, process):
        super()._check_leader(process)
        node = process.node
        is_current = node.is_leader and len(process.applied) >= node.first_index_of_term
        if is_current and node.term not in self._first_indexes:
            self._first_indexes[node.term] = node.first_index_of_term
            for index, term, data in self._ack_terms:
                self._check_kept(index, term, data)

    def _apply(self, process, entry):
        n_before = len(self.acknowledged)
        super()._apply(process, entry)
        if len(self.acknowledged) > n_before:
            self._ack_terms.append((entry.index, entry.term, entry.data))
            self._check_kept(entry.index, entry.term, entry.data)

    def _check_kept(self, index, ack_term, data):
        """Check that the state of every later leader holds an acknowledged command."""
        check(self.log[index].data == data, f"acknowledged {data} was replaced")
        for term, first_index in self._first_indexes.items():
            is_kept = term <= ack_term or index < first_index
            check(is_kept, f"the leader of term {term} lacks acknowledged {data}")
