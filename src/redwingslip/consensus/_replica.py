"""The asyncio driver of a `RaftNode`: its clock, disk and state machine."""

import asyncio
import random
from collections.abc import Callable, Iterable
from datetime import timedelta
from pathlib import Path

import msgspec

from ..clock import Clock
from ..observe._events import EventSink
from ..storage import FileSystem, StorageError
from ._bootstrap import BootstrapRound
from ._disk import Disk
from ._folder import DataFolder
from ._machine import StateMachine
from ._messages import ConsensusMessage, EntryKind, LogEntry, Member
from ._node import RaftNode
from ._proposals import Proposals
from ._ready import Ready
from ._records import StoredState
from ._reporter import Reporter
from ._settings import ConsensusSettings
from ._transfer import LeadershipTransfer
from .exceptions import ConsensusError, NotLeaderError, ReplicaFailedError

__all__ = ["Replica"]

N_TICKS_PER_HEARTBEAT = 3


class Replica:
    """A replica of the log, with its data folder and its state machine.

    Parameters
    ----------
    cfg : ConsensusSettings
        The settings.
    data_folder : Path
        Holds its log. It is empty at first or created by `bootstrap_data_folder`.
    replica_id : str
        Id of this replica.
    address : str
        ``host:port`` of this replica.
    peers : dict of str to str
        Addresses of the other replicas by replica id.
    machine : StateMachine
        The replicated state machine.
    send : callable
        Sends a message to a replica id; messages may be lost.
    clock : Clock
        The clock.
    rng : random.Random
        Random source for election timeouts and join challenges.
    events : EventSink
        Receives the events.
    files : FileSystem or None
        The data folder's file system, that of the operating system by default.

    Attributes
    ----------
    applied_index : int
        Index of the last entry applied to the state machine.
    """

    __slots__ = (
        "_address",
        "_bootstrap",
        "_cfg",
        "_clock",
        "_disk",
        "_failure",
        "_is_stopping",
        "_last_snapshot_index",
        "_machine",
        "_n_applied_bytes",
        "_node",
        "_peers",
        "_proposals",
        "_replica_id",
        "_reporter",
        "_rng",
        "_send",
        "_stored",
        "_task",
        "_transfer",
        "_wake",
        "applied_index",
    )

    def __init__(
        self,
        *,
        cfg: ConsensusSettings,
        data_folder: Path,
        replica_id: str,
        address: str,
        peers: dict[str, str],
        machine: StateMachine,
        send: Callable[[str, ConsensusMessage], None],
        clock: Clock,
        rng: random.Random,
        events: EventSink,
        files: FileSystem | None = None,
    ) -> None:
        self._cfg = cfg
        self._disk = Disk(DataFolder(data_folder, files))
        self._replica_id = replica_id
        self._address = address
        self._peers = {name: at for name, at in peers.items() if name != replica_id}
        self._machine = machine
        self._send = send
        self._clock = clock
        self._rng = rng
        self._reporter = Reporter(replica_id, events)
        self._bootstrap: BootstrapRound | None = None
        self._node: RaftNode | None = None
        self._stored: StoredState | None = None
        self._proposals = Proposals()
        self._last_snapshot_index = 0
        # Bytes of the entries applied since the last snapshot.
        self._n_applied_bytes = 0
        self._is_stopping = False
        self._failure: Exception | None = None
        self._task: asyncio.Task | None = None
        self._wake = asyncio.Event()
        self._transfer = LeadershipTransfer(
            self._begin_transfer, cfg.election_timeout_max
        )
        self.applied_index = 0

    @property
    def on_leadership(self) -> Callable[[bool], None] | None:
        """Return the callback for the start (True) and end (False) of leadership.

        The start is reported once the state machine holds everything committed before.
        """
        return self._reporter.on_leadership

    @on_leadership.setter
    def on_leadership(self, callback: Callable[[bool], None] | None) -> None:
        self._reporter.on_leadership = callback

    @property
    def is_leader(self) -> bool:
        """Return whether this replica believes that it is the leader."""
        return self._node is not None and self._node.is_leader

    @property
    def leader_id(self) -> str:
        """Return the id of the leader, empty when unknown."""
        return self._node.leader_id if self._node else ""

    @property
    def term(self) -> int:
        """Return the current term."""
        return self._node.term if self._node else 0

    @property
    def commit_index(self) -> int:
        """Return the highest log index known to be committed."""
        return self._node.commit_index if self._node else 0

    @property
    def members(self) -> tuple[Member, ...]:
        """Return the members according to the latest membership entry in the log."""
        return self._node.members if self._node else ()

    @property
    def incarnation(self) -> str:
        """Return the incarnation id of the data folder, empty before the start."""
        return self._stored.identity.incarnation if self._stored else ""

    def has_quorum_lease(self) -> bool:
        """Return whether this replica leads and no other leader can exist."""
        if self._node is None:
            return False
        return self._node.has_quorum_lease(self._clock.monotonic())

    def lease_remaining(self) -> timedelta:
        """Return for how much longer this replica leads and no other leader can exist.

        It is zero on a replica that does not lead.
        """
        if self._node is None:
            return timedelta(0)
        return self._node.lease_remaining(self._clock.monotonic())

    def is_repaired(self, replica_id: str, incarnation: str) -> bool:
        """Return, on a leader with a lease, whether a replica is fully repaired.

        A repaired incarnation is a voter and has on its disk everything that was
        committed until it became a voter. Losing another member's disk immediately
        afterwards then loses no committed entry.
        """
        if not self.has_quorum_lease():
            return False
        return self._node.is_repaired(replica_id, incarnation)

    async def start(self) -> None:
        """Load the data folder and start the replica's task.

        Raises
        ------
        ReplicaFailedError
            If the data folder can't be loaded.
        """
        try:
            self._stored = await self._disk.load(self._replica_id)
        except (StorageError, ConsensusError, OSError) as exc:
            self._disk.shutdown(wait=False)
            raise ReplicaFailedError(f"can't start: {exc}") from exc
        identity = self._stored.identity
        if identity.founder and not identity.members:
            self._bootstrap = BootstrapRound(
                cfg=self._cfg,
                identity=identity,
                address=self._address,
                peers=self._peers,
                now=self._clock.monotonic(),
            )
        else:
            self._create_node()
        self._task = asyncio.create_task(
            self._run(), name=f"replica {self._replica_id}"
        )

    async def stop(self) -> None:
        """Transfer the leadership if this replica leads, then stop.

        The transfer takes at most `election_timeout_max`, after which the other members
        elect a leader anyway.
        """
        await self._transfer.run()
        self._is_stopping = True
        self._wake.set()
        if self._task is not None:
            await asyncio.wait([self._task])
        self._disk.shutdown(wait=True)

    async def wait_closed(self) -> None:
        """Wait until the replica has stopped.

        Raises
        ------
        ReplicaFailedError
            If it stopped because of an error, such as a failed storage write.
        """
        await asyncio.wait([self._task])
        if self._failure is not None:
            raise ReplicaFailedError(str(self._failure)) from self._failure

    def receive(self, sender_id: str, message: ConsensusMessage) -> None:
        """Handle a message from another replica."""
        if self._failure is not None or self._is_stopping:
            return
        try:
            if self._bootstrap is not None:
                self._bootstrap.receive(sender_id, message)
            elif self._node is not None:
                self._node.receive(sender_id, message, self._clock.monotonic())
        except ConsensusError as exc:
            self._fail(exc)
        self._wake.set()

    def add_peers(self, replica_ids: Iterable[str]) -> None:
        """Add replicas that are sent join requests."""
        if self._node is not None:
            self._node.add_peers(replica_ids)
            self._wake.set()

    async def propose(self, data: bytes) -> object:
        """Commit a command and return the outcome of applying it on this replica.

        Raises
        ------
        NotLeaderError
            If this replica does not lead; the command was not added to the log.
        ProposalOutcomeUnknownError
            If leadership ended first; the command may be committed or not.
        """
        if self._node is None or self._is_stopping:
            raise NotLeaderError("")
        fut = self._proposals.add(self._node.propose(data))
        self._wake.set()
        return await fut

    def _begin_transfer(self) -> bool:
        if self._node is None:
            return False
        self._wake.set()
        return self._node.transfer_leadership(self._clock.monotonic())

    def _create_node(self) -> None:
        stored = self._stored
        self._node = RaftNode(
            cfg=self._cfg,
            stored=stored,
            address=self._address,
            peers=frozenset(self._peers),
            rng=self._rng,
            now=self._clock.monotonic(),
        )
        if stored.snapshot is not None:
            self._restore(stored.snapshot.index, stored.snapshot.data)

    async def _run(self) -> None:
        """Run steps until the replica stops or fails."""
        try:
            while not self._is_stopping and self._failure is None:
                self._wake.clear()
                await self._step()
                await self._wait_for_input()
        except Exception as exc:
            self._fail(exc)
        finally:
            await self._close()

    async def _step(self) -> None:
        """Pass time and finished saves to the node, and carry out its outputs."""
        now = self._clock.monotonic()
        if self._bootstrap is not None:
            await self._run_bootstrap(now)
            return
        self._node.tick(now)
        finished_save = self._disk.take_finished()
        if finished_save is not None:
            self._handle_saved(finished_save)
        ready = self._node.take_ready(now)
        self._send_all(ready.messages)
        for entry in ready.committed:
            self._apply(entry)
        if self._reporter.has_leadership_ended(self._node):
            self._end_leadership()
        self._reporter.report_leadership(self._node, self.applied_index)
        if not self._node.is_transferring:
            self._transfer.note_end()
        if ready.save is not None:
            self._disk.begin_save(ready, self._wake.set)
        elif self._is_snapshot_due():
            self._take_snapshot()

    async def _wait_for_input(self) -> None:
        """Wait for the next input or the next tick."""
        loop = asyncio.get_running_loop()
        tick = self._cfg.heartbeat_interval / N_TICKS_PER_HEARTBEAT
        handle = loop.call_later(tick.total_seconds(), self._wake.set)
        try:
            await self._wake.wait()
        finally:
            handle.cancel()

    async def _run_bootstrap(self, now: timedelta) -> None:
        """Run the bootstrap; create the node once the initial members are known."""
        self._bootstrap.tick(now)
        self._send_all(self._bootstrap.take_messages())
        members = self._bootstrap.members
        if not members:
            return
        identity = await self._disk.save_initial_members(self._stored.identity, members)
        self._stored = msgspec.structs.replace(self._stored, identity=identity)
        self._create_node()
        self._bootstrap = None
        self._wake.set()

    def _send_all(self, envelopes: tuple) -> None:
        for receiver_id, message in envelopes:
            self._send(receiver_id, message)

    def _handle_saved(self, ready: Ready) -> None:
        """Tell the node that a save is durable, and restore an installed snapshot."""
        self._node.mark_saved(self._clock.monotonic())
        if ready.is_installed:
            self._restore(ready.snapshot.index, ready.snapshot.data)
        self._wake.set()

    def _is_snapshot_due(self) -> bool:
        n_entries = self.applied_index - self._last_snapshot_index
        return (
            n_entries >= self._cfg.snapshot_every
            or self._n_applied_bytes >= self._cfg.max_log_bytes
        )

    def _take_snapshot(self) -> None:
        self._last_snapshot_index = self.applied_index
        self._n_applied_bytes = 0
        self._node.compact(self.applied_index, self._machine.snapshot())
        self._wake.set()

    def _restore(self, index: int, data: bytes) -> None:
        self._machine.restore(index, data)
        self.applied_index = index
        self._last_snapshot_index = index
        self._n_applied_bytes = 0

    def _apply(self, entry: LogEntry) -> None:
        if entry.kind is EntryKind.COMMAND:
            outcome = self._machine.apply(entry.index, entry.data)
        else:
            self._machine.skip(entry.index)
            outcome = None
            if entry.kind is EntryKind.MEMBERSHIP:
                self._reporter.report_member_change(entry.index)
        self.applied_index = entry.index
        self._n_applied_bytes += len(entry.data)
        self._proposals.resolve(entry, outcome)

    def _end_leadership(self) -> None:
        self._proposals.fail_all()
        self._reporter.report_leadership_end()

    def _fail(self, exc: Exception) -> None:
        """Stop permanently. Nothing is sent or acknowledged afterwards."""
        if self._failure is None:
            self._failure = exc
            self._reporter.report_failure(exc)
        self._node = None
        self._wake.set()

    async def _close(self) -> None:
        await self._disk.wait()
        self._node = None
        try:
            self._end_leadership()
        except Exception as exc:
            self._fail(exc)
        self._transfer.note_end()
        self._disk.close()
