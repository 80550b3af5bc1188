"""Tests of the asyncio driver, with real files and a link in memory."""

import asyncio
import random
import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

from redwingslip.clock import SystemClock
from redwingslip.consensus import (
    ConsensusSettings,
    NotLeaderError,
    ProposalLostError,
    Replica,
    found_data_folder,
)
from redwingslip.observe._events import NullSink

REPLICA_IDS = ("r1", "r2", "r3")
FAST = ConsensusSettings(
    election_timeout_min=timedelta(milliseconds=100),
    election_timeout_max=timedelta(milliseconds=200),
    heartbeat_interval=timedelta(milliseconds=20),
    snapshot_every=20,
    n_trailing_entries=5,
)


class Journal:
    """A state machine that keeps its commands."""

    def __init__(self):
        self.commands = []

    def apply(self, index, data):
        """Keep a command and return how many there are."""
        self.commands.append(data)
        return len(self.commands)

    def skip(self, index):
        """Do nothing."""

    def snapshot(self):
        """Return all commands."""
        return b"\n".join(self.commands)

    def restore(self, index, data):
        """Take over all commands."""
        self.commands = data.split(b"\n") if data else []


class Cluster:
    """Three replicas in this process; messages pass on the next loop iteration."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.replicas = {}
        self.machines = {}

    def _send(self, sender_id):
        def send(receiver_id, message):
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, sender_id, receiver_id, message)

        return send

    def _deliver(self, sender_id, receiver_id, message):
        if receiver_id in self.replicas and sender_id in self.replicas:
            self.replicas[receiver_id].receive(sender_id, message)

    async def start(self, replica_id, files=None):
        """Start a replica on its folder."""
        self.machines[replica_id] = Journal()
        replica = Replica(
            cfg=FAST,
            data_folder=self.folder / replica_id,
            replica_id=replica_id,
            address=f"{replica_id}:1",
            peers={peer: f"{peer}:1" for peer in REPLICA_IDS},
            machine=self.machines[replica_id],
            send=self._send(replica_id),
            clock=SystemClock(),
            rng=random.Random(replica_id),
            events=NullSink(),
            files=files,
        )
        await replica.start()
        self.replicas[replica_id] = replica
        return replica

    async def found(self):
        """Found all folders and start the replicas."""
        for replica_id in REPLICA_IDS:
            found_data_folder(self.folder / replica_id, replica_id)
            await self.start(replica_id)

    async def stop(self, replica_id):
        """Stop a replica."""
        await self.replicas.pop(replica_id).stop()

    async def stop_all(self):
        """Stop every replica."""
        for replica_id in list(self.replicas):
            await self.stop(replica_id)

    async def until(self, condition):
        """Wait for a condition."""
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)

    async def leader(self):
        """Wait for a leader with a lease."""
        await self.until(lambda: any(r.has_quorum_lease() for r in self._all()))
        return next(r for r in self._all() if r.has_quorum_lease())

    async def propose(self, data):
        """Propose until it is acknowledged."""
        while True:
            leader = await self.leader()
            try:
                return await leader.propose(data)
            except (NotLeaderError, ProposalLostError):
                await asyncio.sleep(0.005)

    def _all(self):
        return list(self.replicas.values())


class ReplicaTestCase(unittest.IsolatedAsyncioTestCase):
    """Base with a cluster that is cleaned up."""

    async def asyncSetUp(self):
        """Found a cluster."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cluster = Cluster(folder.name)
        await self.cluster.found()

    async def asyncTearDown(self):
        """Stop the cluster."""
        await self.cluster.stop_all()


class TestReplica(ReplicaTestCase):
    """Replication by the driver."""

    async def test_commands_are_applied_on_every_member(self):
        """A proposal returns its outcome, and every member applies it."""
        outcome = await self.cluster.propose(b"a")
        self.assertEqual(outcome, 1)
        machines = self.cluster.machines.values()
        await self.cluster.until(lambda: all(m.commands == [b"a"] for m in machines))

    async def test_state_survives_a_restart_of_all_members(self):
        """What was acknowledged is there after every process was restarted."""
        expected = [b"%d" % i for i in range(50)]
        for command in expected:
            await self.cluster.propose(command)
        await self.cluster.stop_all()
        for replica_id in REPLICA_IDS:
            await self.cluster.start(replica_id)
        await self.cluster.propose(b"last")
        machines = self.cluster.machines.values()
        await self.cluster.until(
            lambda: all(m.commands == [*expected, b"last"] for m in machines)
        )


if __name__ == "__main__":
    unittest.main()
