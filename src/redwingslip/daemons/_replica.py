"""The replica daemon: a member of the replicated log, and its leader at times."""

import asyncio
import random
from datetime import timedelta

from ..clock import Clock, SystemClock
from ..consensus import ConsensusMessage, Replica
from ..fleet import Change
from ..observe import Event, EventLog, EventName, EventSink, new_metrics
from ..peers import (
    LeaseRenewal,
    Message,
    PeerHub,
    Proposal,
    ProposalReply,
    RedirectToLeader,
    ReplicasRequest,
)
from ..settings import find_warnings, load_tls
from ._leadership import Leadership
from ._machine import FleetMachine
from ._replica_settings import ReplicaDaemonSettings

__all__ = ["ReplicaApp"]

TICK = timedelta(milliseconds=50)


class ReplicaApp:
    """A replica, from its settings to its end.

    Parameters
    ----------
    cfg : ReplicaDaemonSettings
        Its settings.
    clock : Clock or None
        The machine's by default.
    events : EventSink or None
        By default the log of the settings.
    """

    def __init__(
        self,
        cfg: ReplicaDaemonSettings,
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
        tls = load_tls(cfg.tls)
        self._tls = tls
        self._metrics = new_metrics(cfg.metrics, process_id=self._id)
        self._hub = PeerHub(
            process_id=self._id,
            address=cfg.peers.listen,
            secret=cfg.cluster.secret_file.read_text().strip(),
            cfg=cfg.links,
            clock=self._clock,
            on_message=self._on_message,
            events=self._events,
            tls_server=None if tls is None else tls.server,
            tls_client=None if tls is None else tls.client,
        )
        self.machine = FleetMachine()
        self.replica = Replica(
            cfg=cfg.consensus,
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
        for words in find_warnings(self.cfg):
            self._emit(EventName.WARNING, detail=words)

    def reload(self) -> None:
        """Read certificates and keys again; new links use them."""
        cfg = self.cfg.tls
        if self._tls is None:
            return
        for context in (self._tls.server, self._tls.client):
            context.load_cert_chain(cfg.certificate, cfg.key)

    async def stop(self) -> None:
        """Hand leadership over and stop."""
        await self.replica.stop()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self._hub.stop()
        self._metrics.close()
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
            metrics=self._metrics,
        )

    def _on_applied(self, changes: tuple[Change, ...]) -> None:
        if changes:
            index = changes[-1].index
            event = Event(name=EventName.COMMAND_APPLIED, index=index)
            self._events.emit(event)
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
