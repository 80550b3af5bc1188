"""Tests that the log in memory is bounded by bytes."""

import asyncio

import msgspec

from tests.test_consensus_replica import FAST, ReplicaTestCase

ENTRY_BYTES = 1_000
MAX_LOG_BYTES = 8 * ENTRY_BYTES
TIMEOUT_S = 20


class TestLogBytes(ReplicaTestCase):
    """A cluster whose entries are few and large."""

    cfg = msgspec.structs.replace(
        FAST,
        snapshot_every=1_000,
        n_trailing_entries=500,
        max_log_bytes=MAX_LOG_BYTES,
    )

    async def test_log_of_large_entries_is_compacted(self):
        """Guards against large entries that are kept until there are many of them."""
        for _ in range(20):
            await self.cluster.propose(b"x" * ENTRY_BYTES)
        for replica_id, replica in self.cluster.replicas.items():
            log = replica._node._core.log
            with self.subTest(replica_id):
                async with asyncio.timeout(TIMEOUT_S):
                    await self.cluster.wait_until(lambda log=log: log.start.index > 0)
                kept = log.entries_between(log.start.index + 1, log.last_index)
                n_bytes = sum(len(entry.data) for entry in kept)
                self.assertLess(n_bytes, 2 * MAX_LOG_BYTES)
        # Members that lack compacted entries get a snapshot.
        await self.cluster.stop("r1")
        for _ in range(20):
            await self.cluster.propose(b"y" * ENTRY_BYTES)
        replica = await self.cluster.start("r1")
        async with asyncio.timeout(TIMEOUT_S):
            await self.cluster.wait_until(lambda: replica.applied_index > 40)
        last = self.cluster.machines["r1"].commands[-20:]
        self.assertEqual(last, [b"y" * ENTRY_BYTES] * 20)
        # The leader keeps no copy of the snapshot that it has sent.
        leader = await self.cluster.leader()
        async with asyncio.timeout(TIMEOUT_S):
            await self.cluster.wait_until(
                lambda: not leader._node._leadership._snapshot_bytes
            )
