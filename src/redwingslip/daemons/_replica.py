"""The replica daemon: a member of the replicated log, which may be its leader."""

import asyncio
import random
from datetime import timedelta

from ..consensus import ConsensusMessage, Replica
from ..fleet import Change
from ..observe import Event, EventName
from ..peers import (
    LeaseRenewal,
    Message,
    Proposal,
    ProposalReply,
    RedirectToLeader,
    ReplicasRequest,
)
from ._leadership import Leadership
from ._machine import FleetMachine
from ._process import DaemonApp
from ._replica_settings import ReplicaDaemonSettings

__all__ = ["ReplicaApp"]

TICK_INTERVAL = timedelta(milliseconds=50)


class ReplicaApp(DaemonApp):
    """A replica; see `DaemonApp`."""

    cfg: ReplicaDaemonSettings

    def _build(self) -> None:
        cfg = self.cfg
        self._replica_id = cfg.process.id
        self._leadership: Leadership | None = None
        self._tick_task: asyncio.Task | None = None
        self.machine = FleetMachine()
        self.replica = Replica(
            cfg=cfg.consensus,
            data_folder=cfg.replica.data_folder,
            replica_id=self._replica_id,
            address=cfg.peers.listen,
            peers=cfg.replicas,
            machine=self.machine,
            send=self._hub.send,
            clock=self._clock,
            rng=random.Random(),
            events=self._events,
        )
        self.replica.on_leadership = self._on_leadership
        self.machine.on_applied = self._on_applied

    async def start(self) -> None:
        """Start to listen, and join the replicated log.

        Raises
        ------
        ReplicaFailedError
            If the data folder can't be read.
        """
        await self._core.start()
        await self.replica.start()
        self._tick_task = asyncio.create_task(self._tick_forever(), name="tick")
        self._core.report_start(self.replica.incarnation)

    def reload(self) -> None:
        """Reload certificate and key; new links use them."""
        self._core.reload()

    async def stop(self) -> None:
        """Hand leadership over if this replica leads, and stop."""
        await self.replica.stop()
        self._tick_task.cancel()
        await asyncio.gather(self._tick_task, return_exceptions=True)
        await self._core.stop()

    async def wait_failed(self) -> None:
        """Wait until the replica stops by itself, and raise its error if it failed."""
        await self.replica.wait_closed()

    def _on_leadership(self, is_leader: bool) -> None:
        """Create a `Leadership` when a term as leader begins; close it at its end."""
        if self._leadership is not None:
            self._leadership.close()
            self._leadership = None
        if not is_leader:
            return
        self._leadership = Leadership(
            cfg=self.cfg,
            replica=self.replica,
            machine=self.machine,
            send=self._hub.send,
            set_address=self._hub.set_address,
            clock=self._clock,
            events=self._events,
            metrics=self._core.metrics,
        )

    def _on_applied(self, changes: tuple[Change, ...]) -> None:
        if changes:
            index = changes[-1].index
            event = Event(name=EventName.COMMAND_APPLIED, index=index)
            self._events.emit(event)
        if self._leadership is not None:
            self._leadership.handle_applied(changes)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL.total_seconds())
            if self._leadership is not None:
                self._leadership.tick()

    def _on_message(self, sender_id: str, msg: Message) -> None:
        if isinstance(msg, ConsensusMessage):
            self.replica.receive(sender_id, msg)
        elif self._leadership is not None:
            self._leadership.receive(msg, sender_id)
        else:
            self._redirect(msg, sender_id)

    def _redirect(self, msg: Message, sender_id: str) -> None:
        """Send the leader's id to a process that expects an answer from the leader."""
        if isinstance(msg, Proposal):
            self._hub.send(sender_id, ProposalReply(number=msg.number, outcome=None))
        if isinstance(msg, LeaseRenewal | Proposal | ReplicasRequest):
            leader_id = self.replica.leader_id
            address = self.cfg.replicas.get(leader_id, "")
            self._hub.send(
                sender_id, RedirectToLeader(leader_id=leader_id, address=address)
            )
