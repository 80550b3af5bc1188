"""What every daemon's process has: clock, events, metrics and links."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..clock import Clock, SystemClock
from ..observe import Event, EventLog, EventName, EventSink, new_metrics
from ..peers import Message, PeerHub
from ..settings import find_warnings, load_tls

if TYPE_CHECKING:
    # Each role loads its own settings only, for memory.
    from ._entry_settings import EntryDaemonSettings
    from ._replica_settings import ReplicaDaemonSettings

__all__ = ["DaemonApp", "ProcessCore"]


class ProcessCore:
    """The common parts of a daemon, from the start of its links to their end.

    Parameters
    ----------
    cfg : EntryDaemonSettings or ReplicaDaemonSettings
        Settings of the daemon.
    clock : Clock or None
        The machine's by default.
    events : EventSink or None
        By default the log of the settings.
    on_message : callable
        Takes each message of another process, with its id.

    Attributes
    ----------
    clock : Clock
        The process's clock.
    events : EventSink
        Takes events.
    metrics : Metrics
        Takes metrics.
    hub : PeerHub
        The links to other processes.
    is_encrypted : bool
        Whether links are under TLS.
    """

    __slots__ = ("_cfg", "_tls", "clock", "events", "hub", "metrics")

    def __init__(
        self,
        cfg: "EntryDaemonSettings | ReplicaDaemonSettings",
        *,
        clock: Clock | None,
        events: EventSink | None,
        on_message: Callable[[str, Message], None],
    ) -> None:
        name = cfg.process.id
        # Where processes find each other, addresses are what they know of each other.
        peer_id = name if cfg.replicas else cfg.peers.listen
        self._cfg = cfg
        self._tls = load_tls(cfg.tls)
        self.clock = clock or SystemClock()
        self.events = events or EventLog(cfg.logs, process_id=name, clock=self.clock)
        self.metrics = new_metrics(cfg.metrics, process_id=name)
        self.hub = PeerHub(
            process_id=peer_id,
            address=cfg.peers.listen,
            secret=cfg.cluster.secret_file.read_text().strip(),
            cfg=cfg.links,
            clock=self.clock,
            on_message=on_message,
            events=self.events,
            tls_server=None if self._tls is None else self._tls.server,
            tls_client=None if self._tls is None else self._tls.client,
        )

    @property
    def is_encrypted(self) -> bool:
        """Return whether connections are under TLS."""
        return self._tls is not None

    async def start(self) -> None:
        """Listen for other processes, and say where the replicas are."""
        await self.hub.start()
        for replica_id, address in self._cfg.replicas.items():
            self.hub.set_address(replica_id, address)

    def send(self, peer_id: str, message: Message) -> None:
        """Send a message to a process whose id is its address; it may be lost."""
        self.hub.set_address(peer_id, peer_id)
        self.hub.send(peer_id, message)

    def report_start(self, incarnation: str) -> None:
        """Write that the process has started, and what its settings risk."""
        self.emit(EventName.PROCESS_STARTED, detail=incarnation)
        for words in find_warnings(self._cfg):
            self.emit(EventName.WARNING, detail=words)

    def reload(self) -> None:
        """Read certificate and key again; new links use them."""
        if self._tls is None:
            return
        cfg = self._cfg.tls
        for context in (self._tls.server, self._tls.client):
            context.load_cert_chain(cfg.certificate, cfg.key)

    async def stop(self) -> None:
        """Close every link."""
        await self.hub.stop()
        self.metrics.close()
        self.emit(EventName.PROCESS_STOPPED)

    def emit(
        self, name: EventName, *, peer: str = "", index: int = 0, detail: str = ""
    ) -> None:
        """Write an event of the process."""
        self.events.emit(Event(name=name, peer=peer, index=index, detail=detail))


class DaemonApp:
    """Base of the daemons' applications, from the settings to the end of a process.

    Parameters
    ----------
    cfg : EntryDaemonSettings, ReplicaDaemonSettings, or those of another role
        The settings.
    clock : Clock or None
        The machine's by default.
    events : EventSink or None
        By default the log of the settings.
    """

    def __init__(
        self, cfg: Any, *, clock: Clock | None = None, events: EventSink | None = None
    ) -> None:
        self.cfg = cfg
        self._core = ProcessCore(
            cfg, clock=clock, events=events, on_message=self._on_message
        )
        self._clock = self._core.clock
        self._events = self._core.events
        self._hub = self._core.hub
        self._build()

    def _build(self) -> None:
        """Make the parts, none of which begins anything yet."""
        raise NotImplementedError

    def _on_message(self, sender_id: str, msg: Message) -> None:
        """Take a message of another process."""
        raise NotImplementedError
