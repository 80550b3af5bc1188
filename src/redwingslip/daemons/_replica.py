"""The replica daemon: a member of the replicated log, and its leader at times."""

import asyncio
import random
from datetime import timedelta

from ..clock import Clock, SystemClock
from ..consensus import ConsensusMessage, ConsensusSettings, Replica
from ..fleet import Change
from ..observe import Event, EventLog, EventName, EventSink
from ..peers import (
    LeaseRenewal,
    Message,
    PeerHub,
    PeerSettings,
    Proposal,
    ProposalReply,
    RedirectToLeader,
    ReplicasRequest,
)
from ..settings import ReplicaSettings
from ._leadership import Leadership
from ._machine import FleetMachine

__all__ = ["ReplicaApp"]

TICK = timedelta(milliseconds=50)


class ReplicaApp:
    """A replica, from its settings to its end.

    Parameters
    ----------
    cfg : ReplicaSettings
        Its settings.
    clock : Clock or None
        The machine's by default.
    events : EventSink or None
        By default the log of the settings.
    """

    def __init__(
        self,
        cfg: ReplicaSettings,
        *,
        clock: Clock | None = None,
        events: EventSink | None = None,
    ) -> None:
        self.cfg = cfg
        self._id = cfg.process.id
        self._clock = clock or SystemClock()
        self._events = events or EventLog(
            cfg.logs, process_id=self._id, clock=self._clock
        )
        self._leadership: Leadership | None = None
        self._task: asyncio.Task | None = None
        self._hub = PeerHub(
            process_id=self._id,
            address=cfg.peers.listen,
            secret=cfg.cluster.secret_file.read_text().strip(),
            cfg=PeerSettings(),
            clock=self._clock,
            on_message=self._on_message,
            events=self._events,
        )
        self.machine = FleetMachine()
        self.replica = Replica(
            cfg=ConsensusSettings(),
            data_folder=cfg.replica.data_folder,
            replica_id=self._id,
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
        """Listen and take part in the log.

        Raises
        ------
        ReplicaFailedError
            If the data folder can't be read.
        """
        await self._hub.start()
        for replica_id, address in self.cfg.replicas.items():
            self._hub.set_address(replica_id, address)
        await self.replica.start()
        self._task = asyncio.create_task(self._tick_forever(), name="tick")
        self._emit(EventName.PROCESS_STARTED, detail=self.replica.incarnation)

    async def stop(self) -> None:
        """Hand leadership over and stop."""
        await self.replica.stop()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._hub.stop()
        self._emit(EventName.PROCESS_STOPPED)

    async def wait_failed(self) -> None:
        """Return or raise once the replica has stopped by itself."""
        await self.replica.wait_closed()

    def _on_leadership(self, is_leader: bool) -> None:
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
        )

    def _on_applied(self, changes: tuple[Change, ...]) -> None:
        if self._leadership is not None:
            self._leadership.applied(changes)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK.total_seconds())
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
        """Tell who leads to those who wait for an answer."""
        if isinstance(msg, Proposal):
            self._hub.send(sender_id, ProposalReply(number=msg.number, outcome=None))
        if isinstance(msg, LeaseRenewal | Proposal | ReplicasRequest):
            leader_id = self.replica.leader_id
            address = self.cfg.replicas.get(leader_id, "")
            self._hub.send(
                sender_id, RedirectToLeader(leader_id=leader_id, address=address)
            )

    def _emit(self, name: EventName, *, detail: str = "") -> None:
        self._events.emit(Event(name=name, detail=detail))
