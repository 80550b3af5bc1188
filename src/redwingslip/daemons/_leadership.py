"""The duties of the leader of the replicated log besides replication."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from functools import singledispatchmethod

from ..clock import Clock
from ..consensus import ConsensusError, Replica
from ..fleet import Change, Command, ForgetClaims, Outcome
from ..leases import LeaseGranter
from ..maintenance import MovePlanner, WavePlanner
from ..observe import Event, EventName, EventSink, Metrics
from ..peers import (
    LeaseRenewal,
    Message,
    PoolDemand,
    Proposal,
    ProposalReply,
    RebootDone,
    RebootOrder,
    ReplicasReply,
    ReplicasRequest,
    ReplicaStatus,
    VmDrained,
)
from ..quota import AllotmentPlanner, Proposed, Recalled
from ._machine import FleetMachine, encode_command
from ._replica_settings import ReplicaDaemonSettings

__all__ = ["Leadership"]

PLAN_INTERVAL = timedelta(milliseconds=250)
FORGET_CLAIMS_INTERVAL = timedelta(minutes=1)


class Leadership:
    """Grants leases, answers proposals and plans maintenance during one term.

    Parameters
    ----------
    cfg : ReplicaDaemonSettings
        Settings of the replica.
    replica : Replica
        The replicated log.
    machine : FleetMachine
        The replicated state.
    send : callable
        Called with a process id and a message; the message may be lost.
    set_address : callable
        Called with a process id and the address of that process.
    clock : Clock
        The process's clock.
    events : EventSink
        Receives the events.
    metrics : Metrics
        Receives the durations of commits.
    """

    __slots__ = (
        "_claims_forgotten_at",
        "_clock",
        "_events",
        "_granter",
        "_in_flight",
        "_machine",
        "_metrics",
        "_moves",
        "_planned_at",
        "_quota",
        "_replica",
        "_rng",
        "_send",
        "_set_address",
        "_tasks",
        "_waves",
    )

    def __init__(
        self,
        *,
        cfg: ReplicaDaemonSettings,
        replica: Replica,
        machine: FleetMachine,
        send: Callable[[str, Message], None],
        set_address: Callable[[str, str], None],
        clock: Clock,
        events: EventSink,
        metrics: Metrics,
    ) -> None:
        now = clock.monotonic()
        self._replica = replica
        self._machine = machine
        self._send = send
        self._set_address = set_address
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._rng = random.Random(f"{cfg.process.id}/{replica.term}")
        self._granter = LeaseGranter(
            cfg=cfg.leases,
            view=machine.state.view,
            changes=machine.changes,
            term=replica.term,
            now=now,
            has_quorum=lambda now: replica.has_quorum_lease(),
        )
        self._quota = AllotmentPlanner(cfg=cfg.quota, view=machine.state.view)
        self._waves = WavePlanner(cfg.waves, sink=events)
        self._moves = MovePlanner(cfg.moves)
        self._planned_at = now
        self._claims_forgotten_at = now
        self._in_flight: set[Command] = set()
        self._tasks: set[asyncio.Task] = set()
        for entry in machine.state.view.entries.values():
            set_address(entry.entry_id, entry.address)

    def close(self) -> None:
        """Cancel the proposals in progress."""
        for task in self._tasks:
            task.cancel()

    def tick(self) -> None:
        """Do the time-dependent work; to be called several times a second.

        Leases are checked and changes pushed at each call. Quota and maintenance are
        planned every `PLAN_INTERVAL`, and old claims deleted every
        `FORGET_CLAIMS_INTERVAL`.
        """
        now = self._clock.monotonic()
        view = self._machine.state.view
        for command in self._granter.tick(now):
            self._propose(command)
        self.push_changes()
        if now - self._planned_at < PLAN_INTERVAL:
            return
        self._planned_at = now
        self._quota.handle_in_force(self._granter.in_force_index, now)
        self._quota.tick(now)
        self._flush_quota()
        if not self._replica.has_quorum_lease():
            return
        for command in self._moves.plan(view, now):
            self._propose(command)
        for output in self._waves.plan(view, now):
            if isinstance(output, RebootOrder):
                self._order_reboot(output)
            else:
                self._propose(output)
        if now - self._claims_forgotten_at >= FORGET_CLAIMS_INTERVAL:
            self._claims_forgotten_at = now
            self._propose(ForgetClaims(before=self._clock.utcnow()))

    def handle_applied(self, changes: tuple[Change, ...]) -> None:
        """Update the quota plan after a command has been applied."""
        now = self._clock.monotonic()
        if changes:
            self._quota.view_changed(now, changes)
            self._flush_quota()

    def push_changes(self) -> None:
        """Send the entries the changes committed since the last push."""
        for entry_id, grant in self._granter.take_pushes(self._clock.monotonic()):
            self._send(entry_id, grant)

    def _flush_quota(self) -> None:
        for output in self._quota.take_outputs():
            match output:
                case Proposed():
                    self._propose(output.command)
                case Recalled():
                    self._send(output.entry_id, output.message)

    def _order_reboot(self, order: RebootOrder) -> None:
        """Send a reboot order to a random entry; a resend may go to another one."""
        entry_ids = sorted(self._machine.state.view.entries)
        if entry_ids:
            self._send(self._rng.choice(entry_ids), order)

    # Messages.

    @singledispatchmethod
    def receive(self, msg: Message, sender_id: str) -> None:
        """Handle a message for the leader."""
        detail = f"unexpected {type(msg).__name__} from {sender_id}"
        self._events.emit(Event(name=EventName.WARNING, peer=sender_id, detail=detail))

    @receive.register
    def _(self, msg: LeaseRenewal, sender_id: str) -> None:
        self._set_address(msg.entry_id, msg.address)
        grant, commands = self._granter.handle_renewal(msg, self._clock.monotonic())
        if grant is not None:
            self._send(sender_id, grant)
        for command in commands:
            self._propose(command)

    @receive.register
    def _(self, msg: Proposal, sender_id: str) -> None:
        self._spawn(self._answer_proposal(msg, sender_id))

    @receive.register
    def _(self, msg: ReplicasRequest, sender_id: str) -> None:
        replica = self._replica
        if not replica.has_quorum_lease():
            return
        replicas = tuple(
            ReplicaStatus(
                replica_id=member.replica_id,
                incarnation=member.incarnation,
                address=member.address,
                voting=member.voting,
                repaired=replica.is_repaired(member.replica_id, member.incarnation),
            )
            for member in replica.members
        )
        reply = ReplicasReply(
            number=msg.number,
            leader_id=replica.leader_id,
            term=replica.term,
            replicas=replicas,
        )
        self._send(sender_id, reply)

    @receive.register
    def _(self, msg: PoolDemand, sender_id: str) -> None:
        now = self._clock.monotonic()
        self._moves.handle_demand(msg, now)
        self._quota.handle_demand(msg, now)
        self._flush_quota()

    @receive.register
    def _(self, msg: VmDrained, sender_id: str) -> None:
        now = self._clock.monotonic()
        self._moves.handle_vm_drained(msg, now)
        self._waves.handle_vm_drained(msg, now)

    @receive.register
    def _(self, msg: RebootDone, sender_id: str) -> None:
        self._waves.handle_reboot_done(msg, self._clock.monotonic())

    # Proposals.

    async def _answer_proposal(self, msg: Proposal, sender_id: str) -> None:
        outcome = await self._commit(msg.command)
        # The changes are sent first, so that the proposer's view contains them when the
        # reply arrives.
        self.push_changes()
        self._send(sender_id, ProposalReply(number=msg.number, outcome=outcome))

    def _propose(self, command: Command) -> None:
        """Propose one of the leader's own commands, unless it is already in flight."""
        if command in self._in_flight:
            return
        self._in_flight.add(command)
        self._spawn(self._commit_own(command))

    async def _commit_own(self, command: Command) -> None:
        try:
            await self._commit(command)
        finally:
            self._in_flight.discard(command)
        self.push_changes()

    async def _commit(self, command: Command) -> Outcome | None:
        """Return the outcome of a command; None if the replica can't confirm it."""
        started_at = self._clock.monotonic()
        try:
            outcome = await self._replica.propose(encode_command(command))
        except ConsensusError:
            return None
        self._metrics.record_commit(duration=self._clock.monotonic() - started_at)
        return outcome

    def _spawn(self, coro) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
