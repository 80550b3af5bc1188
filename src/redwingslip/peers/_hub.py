"""The links of a process, over one grpclib server and a grpclib channel per peer."""

import asyncio
import hmac
import ssl
from collections.abc import Callable

from grpclib.client import StreamStreamMethod
from grpclib.config import Configuration
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream as ServerStream

from ..clock import Clock
from ..observe import Event, EventName, EventSink
from ._codec import Frame, FrameCodec
from ._guard import GuardedChannel, GuardedServer
from ._link import Link
from ._messages import Message
from ._settings import PeerSettings
from .exceptions import LinkError

__all__ = ["PeerHub"]

_METHOD_PATH = "/redwingslip.Peers/Exchange"
_SENDER_HEADER = "redwingslip-sender"
_ADDRESS_HEADER = "redwingslip-address"
_SECRET_HEADER = "redwingslip-secret"


class PeerHub:
    """Sends messages to other processes and receives theirs.

    Each message is delivered at most once, and in order within one stream. Messages
    are lost when a link breaks.

    Parameters
    ----------
    process_id : str
        Id of this process.
    address : str
        ``host:port`` to listen on; port 0 stands for any free port.
    secret : str
        Shared secret by which the processes of a system authenticate to each other.
    cfg : PeerSettings
        Settings of the links.
    clock : Clock
        Clock of the process.
    on_message : callable
        Called with the sender's id and the message for each received message.
    events : EventSink
        Receives the events of the links.
    tls_server, tls_client : ssl.SSLContext or None
        TLS contexts of the server and of the clients; None for plain connections.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_diallers",
        "_down_peers",
        "_events",
        "_host",
        "_links",
        "_on_message",
        "_port",
        "_process_id",
        "_secret",
        "_server",
        "_tls_client",
        "_tls_server",
    )

    def __init__(
        self,
        *,
        process_id: str,
        address: str,
        secret: str,
        cfg: PeerSettings,
        clock: Clock,
        on_message: Callable[[str, Message], None],
        events: EventSink,
        tls_server: ssl.SSLContext | None = None,
        tls_client: ssl.SSLContext | None = None,
    ) -> None:
        self._process_id = process_id
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._secret = secret
        self._cfg = cfg
        self._clock = clock
        self._on_message = on_message
        self._events = events
        self._tls_server = tls_server
        self._tls_client = tls_client
        self._links: dict[str, Link] = {}
        self._down_peers: set[str] = set()
        self._diallers: dict[str, asyncio.Task] = {}
        self._server: GuardedServer | None = None

    @property
    def address(self) -> str:
        """Return ``host:port``; after `start`, the port is the one listened on."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Start to listen for connections of other processes."""
        self._server = GuardedServer(
            [self],
            cfg=self._cfg,
            tls=self._tls_server,
            codec=FrameCodec(),
            config=self._configuration(),
        )
        await self._server.start(self._host, self._port)
        sockets = self._server._server.sockets
        self._port = sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close all links and stop listening."""
        for task in self._diallers.values():
            task.cancel()
        await asyncio.gather(*self._diallers.values(), return_exceptions=True)
        for link in self._links.values():
            link.reset()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def set_address(self, peer_id: str, address: str) -> None:
        """Set the address of a peer; if it has changed, an open stream is closed."""
        if peer_id == self._process_id:
            return
        link = self._link(peer_id)
        if link.address == address:
            return
        link.address = address
        link.reset()
        if peer_id not in self._diallers:
            self._diallers[peer_id] = asyncio.create_task(
                self._dial_forever(link), name=f"link to {peer_id}"
            )

    def remove_peer(self, peer_id: str) -> None:
        """Remove a peer that has left permanently, with the messages queued for it."""
        dialler = self._diallers.pop(peer_id, None)
        if dialler is not None:
            dialler.cancel()
        link = self._links.pop(peer_id, None)
        if link is not None:
            link.reset()

    def send(self, peer_id: str, message: Message) -> None:
        """Queue a message for a peer; it is delivered at most once and may be lost."""
        if peer_id == self._process_id:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, peer_id, message)
            return
        self._link(peer_id).send(message)

    def reset(self, peer_id: str) -> None:
        """Close the stream to an unresponsive peer, so that a new one is opened."""
        link = self._links.get(peer_id)
        if link is not None:
            link.reset()

    def _link(self, peer_id: str) -> Link:
        link = self._links.get(peer_id)
        if link is None:
            link = Link(
                peer_id,
                cfg=self._cfg,
                clock=self._clock,
                on_message=self._deliver,
            )
            self._links[peer_id] = link
        return link

    async def _dial_forever(self, link: Link) -> None:
        while True:
            await link.wait_for_messages()
            if not link.is_up:
                try:
                    await self._dial(link)
                except (LinkError, OSError, TimeoutError, GRPCError) as exc:
                    self._report_down(link.peer_id, exc)
            await asyncio.sleep(self._cfg.retry_delay.total_seconds())

    async def _dial(self, link: Link) -> None:
        host, _, port = link.address.rpartition(":")
        channel = GuardedChannel(
            host,
            int(port),
            cfg=self._cfg,
            codec=FrameCodec(),
            ssl=self._tls_client,
            config=self._configuration(),
        )
        metadata = {
            _SENDER_HEADER: self._process_id,
            _ADDRESS_HEADER: self.address,
            _SECRET_HEADER: self._secret,
        }
        method = StreamStreamMethod(channel, _METHOD_PATH, Frame, Frame)
        try:
            stream = method.open(metadata=metadata)
            async with asyncio.timeout(self._cfg.connect_timeout.total_seconds()):
                await stream.__aenter__()
                await stream.send_request()
            self._report_up(link.peer_id)
            await link.run(stream, dialled_by=self._process_id)
        finally:
            channel.close()

    def _configuration(self) -> Configuration:
        """Return the limits on what a peer may send before it is read."""
        return Configuration(
            http2_connection_window_size=self._cfg.window_bytes,
            http2_stream_window_size=self._cfg.window_bytes,
        )

    def __mapping__(self) -> dict[str, Handler]:
        """Return the RPC methods of the server; grpclib calls this."""
        handler = Handler(self._accept, Cardinality.STREAM_STREAM, Frame, Frame)
        return {_METHOD_PATH: handler}

    async def _accept(self, stream: ServerStream) -> None:
        metadata = stream.metadata
        peer_id = str(metadata.get(_SENDER_HEADER, ""))
        secret = str(metadata.get(_SECRET_HEADER, ""))
        is_member = hmac.compare_digest(secret.encode(), self._secret.encode())
        if not peer_id or not is_member:
            raise GRPCError(Status.UNAUTHENTICATED, "not a process of this cluster")
        self._server.confirm(stream.peer.addr())
        link = self._link(peer_id)
        if not link.address:
            self.set_address(peer_id, str(metadata.get(_ADDRESS_HEADER, "")))
        self._report_up(peer_id)
        try:
            await link.run(stream, dialled_by=peer_id)
        except LinkError as exc:
            self._report_down(peer_id, exc)
            raise GRPCError(Status.UNAVAILABLE, str(exc)) from exc

    def _deliver(self, peer_id: str, message: Message) -> None:
        """Pass a message to `on_message`; a failure there must not break the link."""
        try:
            self._on_message(peer_id, message)
        except Exception as exc:
            detail = f"{type(message).__name__} could not be handled: {exc!r}"
            event = Event(name=EventName.WARNING, peer=peer_id, detail=detail)
            self._events.emit(event)

    def _report_up(self, peer_id: str) -> None:
        self._down_peers.discard(peer_id)
        self._events.emit(Event(name=EventName.LINK_UP, peer=peer_id))

    def _report_down(self, peer_id: str, exc: Exception) -> None:
        if peer_id in self._down_peers:
            return
        self._down_peers.add(peer_id)
        detail = repr(exc)
        self._events.emit(Event(name=EventName.LINK_DOWN, peer=peer_id, detail=detail))
