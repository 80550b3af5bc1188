"""Components of every daemon's process: clock, events, metrics and links."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..clock import Clock, SystemClock
from ..observe import Event, EventLog, EventName, EventSink, GcPauses, new_metrics
from ..peers import Message, PeerHub
from ..settings import find_warnings, load_tls
from ._start_faults import listening, read_secret

if TYPE_CHECKING:
    # To save memory, each role loads the modules of its own settings only.
    from ._entry_settings import EntryDaemonSettings
    from ._replica_settings import ReplicaDaemonSettings

__all__ = ["DaemonApp", "ProcessCore"]


class ProcessCore:
    """The components that all daemons share; starts and stops them.

    Parameters
    ----------
    cfg : EntryDaemonSettings or ReplicaDaemonSettings
        Settings of the daemon.
    clock : Clock or None
        The system clock by default.
    events : EventSink or None
        By default the event log that the settings describe.
    on_message : callable
        Called with the sender's id and each message of another process.

    Attributes
    ----------
    clock : Clock
        The process's clock.
    events : EventSink
        Receives the events.
    metrics : Metrics
        Receives the metrics.
    hub : PeerHub
        The links to other processes.
    is_encrypted : bool
        Whether links are encrypted with TLS.
    """

    __slots__ = ("_cfg", "_gc_pauses", "_tls", "clock", "events", "hub", "metrics")

    def __init__(
        self,
        cfg: "EntryDaemonSettings | ReplicaDaemonSettings",
        *,
        clock: Clock | None,
        events: EventSink | None,
        on_message: Callable[[str, Message], None],
    ) -> None:
        name = cfg.process.id
        # Processes that discover each other through seeds identify peers by address.
        peer_id = name if cfg.replicas else cfg.peers.listen
        self._cfg = cfg
        self._tls = load_tls(cfg.tls)
        self.clock = clock or SystemClock()
        self.events = events or EventLog(cfg.logs, process_id=name, clock=self.clock)
        self.metrics = new_metrics(cfg.metrics, process_id=name)
        self._gc_pauses = GcPauses(
            clock=self.clock, events=self.events, metrics=self.metrics
        )
        self.hub = PeerHub(
            process_id=peer_id,
            address=cfg.peers.listen,
            secret=read_secret(cfg.cluster.secret_file),
            cfg=cfg.links,
            clock=self.clock,
            on_message=on_message,
            events=self.events,
            tls_server=None if self._tls is None else self._tls.server,
            tls_client=None if self._tls is None else self._tls.client,
        )

    @property
    def is_encrypted(self) -> bool:
        """Return whether connections are encrypted with TLS."""
        return self._tls is not None

    async def start(self) -> None:
        """Listen for other processes, and set the addresses of the replicas."""
        with listening("peers", "listen", self._cfg.peers.listen):
            await self.hub.start()
        self._gc_pauses.start()
        for replica_id, address in self._cfg.replicas.items():
            self.hub.set_address(replica_id, address)

    def send(self, peer_id: str, message: Message) -> None:
        """Send a message to a process whose id is its address; it may be lost."""
        self.hub.set_address(peer_id, peer_id)
        self.hub.send(peer_id, message)

    def report_start(self, incarnation: str) -> None:
        """Emit that the process has started, and warnings about risky settings."""
        self.emit(EventName.PROCESS_STARTED, detail=incarnation)
        for warning in find_warnings(self._cfg):
            self.emit(EventName.WARNING, detail=warning)

    def reload(self) -> None:
        """Reload certificate and key; new links use them."""
        if self._tls is None:
            return
        cfg = self._cfg.tls
        for context in (self._tls.server, self._tls.client):
            context.load_cert_chain(cfg.certificate, cfg.key)

    async def stop(self) -> None:
        """Close all links and the metrics, and emit that the process has stopped."""
        await self.hub.stop()
        await self._gc_pauses.stop()
        self.metrics.close()
        self.emit(EventName.PROCESS_STOPPED)

    def emit(
        self, name: EventName, *, peer: str = "", index: int = 0, detail: str = ""
    ) -> None:
        """Emit an event of the process."""
        self.events.emit(Event(name=name, peer=peer, index=index, detail=detail))


class DaemonApp:
    """Base class of the daemons' applications.

    Parameters
    ----------
    cfg : EntryDaemonSettings, ReplicaDaemonSettings, or those of another role
        The settings.
    clock : Clock or None
        The system clock by default.
    events : EventSink or None
        By default the event log that the settings describe.
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
        """Create the components without starting any of them."""
        raise NotImplementedError

    def _on_message(self, sender_id: str, msg: Message) -> None:
        """Handle a message of another process."""
        raise NotImplementedError
