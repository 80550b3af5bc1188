"""Measure the commits a second of three replicas in one process, with real files.

Messages are delivered directly in memory, so that the figures cover consensus, disk
writes and the event loop, but no network. Each case runs for a fixed time after a
warm-up.
"""

import argparse
import asyncio
import random
import tempfile
import time
from pathlib import Path

import msgspec

from redwingslip.clock import SystemClock
from redwingslip.consensus import ConsensusSettings, Replica, bootstrap_data_folder
from redwingslip.observe._events import NullSink

REPLICA_IDS = ("r1", "r2", "r3")
N_PROPOSERS = (1, 16, 128)
COMMAND = bytes(200)
WARM_UP_S = 0.5
MS_PER_SECOND = 1_000


class CountingMachine:
    """A state machine that counts the applied commands."""

    def __init__(self) -> None:
        self.n_commands = 0

    def apply(self, index: int, data: bytes) -> object:
        """Count a command and return the count."""
        self.n_commands += 1
        return self.n_commands

    def skip(self, index: int) -> None:
        """Do nothing."""

    def snapshot(self) -> bytes:
        """Return the count as bytes."""
        return b"%d" % self.n_commands

    def restore(self, index: int, data: bytes) -> None:
        """Set the count to that of a snapshot."""
        self.n_commands = int(data)


class LoadResult(msgspec.Struct, frozen=True):
    """Commits and their latencies in one run under load."""

    n_commits: int
    elapsed_s: float
    latencies_s: list[float]

    def percentile_ms(self, share: float) -> float:
        """Return the latency in ms below which a share of the commits lies."""
        ordered = sorted(self.latencies_s)
        return ordered[int(share * (len(ordered) - 1))] * MS_PER_SECOND


class Cluster:
    """Three replicas that deliver messages to one another in memory."""

    def __init__(self, folder: Path, *, batching: bool) -> None:
        self._folder = folder
        self._cfg = ConsensusSettings(batching=batching)
        self.counts_bytes = False
        self.replicas: dict[str, Replica] = {}
        self.n_bytes_sent = dict.fromkeys(REPLICA_IDS, 0)

    async def start(self) -> None:
        """Initialise the data folders and start all replicas."""
        for replica_id in REPLICA_IDS:
            bootstrap_data_folder(self._folder / replica_id, replica_id)
            self.replicas[replica_id] = self._create_replica(replica_id)
        for replica in self.replicas.values():
            await replica.start()

    async def stop(self) -> None:
        """Stop all replicas, the leader last."""
        for replica in sorted(self.replicas.values(), key=lambda r: r.is_leader):
            await replica.stop()

    async def leader(self) -> Replica:
        """Return the leader once it holds a quorum lease."""
        while True:
            for replica in self.replicas.values():
                if replica.has_quorum_lease():
                    return replica
            await asyncio.sleep(0.01)

    def _create_replica(self, replica_id: str) -> Replica:
        def send(receiver_id: str, message: object) -> None:
            loop = asyncio.get_running_loop()
            receiver = self.replicas[receiver_id]
            if self.counts_bytes:
                self.n_bytes_sent[replica_id] += len(msgspec.msgpack.encode(message))
            loop.call_soon(receiver.receive, replica_id, message)

        return Replica(
            cfg=self._cfg,
            data_folder=self._folder / replica_id,
            replica_id=replica_id,
            address=f"{replica_id}:1",
            peers={peer: f"{peer}:1" for peer in REPLICA_IDS},
            machine=CountingMachine(),
            send=send,
            clock=SystemClock(),
            rng=random.Random(replica_id),
            events=NullSink(),
        )


async def propose_until(replica: Replica, end: float, latencies_s: list[float]) -> None:
    """Propose one command after another until a time; add the latencies to a list."""
    while (begin := time.perf_counter()) < end:
        await replica.propose(COMMAND)
        latencies_s.append(time.perf_counter() - begin)


async def run_load(replica: Replica, n_proposers: int, duration_s: float) -> LoadResult:
    """Propose commands from `n_proposers` tasks for some seconds."""
    latencies_s: list[float] = []
    begin = time.perf_counter()
    end = begin + duration_s
    tasks = [propose_until(replica, end, latencies_s) for _ in range(n_proposers)]
    await asyncio.gather(*tasks)
    return LoadResult(len(latencies_s), time.perf_counter() - begin, latencies_s)


async def measure(folder: Path, n_proposers: int, batching: bool, duration_s: float):
    """Return the result of one case after a warm-up."""
    cluster = Cluster(folder, batching=batching)
    await cluster.start()
    leader = await cluster.leader()
    await run_load(leader, n_proposers, WARM_UP_S)
    result = await run_load(leader, n_proposers, duration_s)
    await cluster.stop()
    return result


async def measure_idle(folder: Path, duration_s: float) -> tuple[float, float, float]:
    """Measure an idle cluster.

    Returns
    -------
    tuple of float
        Bytes a second that the leader sends, bytes a second that a follower sends, and
        the share of a core that the three replicas use together.
    """
    cluster = Cluster(folder, batching=True)
    await cluster.start()
    leader = await cluster.leader()
    await asyncio.sleep(WARM_UP_S)
    cluster.counts_bytes = True
    cpu_begin = time.process_time()
    await asyncio.sleep(duration_s)
    cpu = time.process_time() - cpu_begin
    rates = {}
    for replica_id, replica in cluster.replicas.items():
        rates[replica is leader] = cluster.n_bytes_sent[replica_id] / duration_s
    await cluster.stop()
    return rates[True], rates[False], cpu / duration_s


def main() -> None:
    """Run every case and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration", type=float, default=5, help="seconds per case")
    parser.add_argument("--folder", help="parent of the temporary data folders")
    args = parser.parse_args()
    print("| group commit | proposers | commits/s | p50 ms | p99 ms |")
    print("|---|---|---|---|---|")
    for batching in (True, False):
        for n_proposers in N_PROPOSERS:
            with tempfile.TemporaryDirectory(dir=args.folder) as folder:
                case = measure(Path(folder), n_proposers, batching, args.duration)
                result = asyncio.run(case)
            rate = result.n_commits / result.elapsed_s
            state = "on" if batching else "off"
            p50, p99 = result.percentile_ms(0.5), result.percentile_ms(0.99)
            print(f"| {state} | {n_proposers} | {rate:,.0f} | {p50:.2f} | {p99:.2f} |")
    with tempfile.TemporaryDirectory(dir=args.folder) as folder:
        idle = asyncio.run(measure_idle(Path(folder), args.duration))
    leader_rate, follower_rate, cpu = idle
    print(f"idle: leader sends {leader_rate:,.0f} B/s, a follower {follower_rate:,.0f}")
    print(f"idle: the three replicas use {cpu:.1%} of a core together")


if __name__ == "__main__":
    main()
