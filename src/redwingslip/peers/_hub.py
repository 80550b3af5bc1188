"""All the links of a process, over one grpclib server and a channel for each peer."""

import asyncio
import hmac
import ssl
from collections.abc import Callable

from grpclib.client import Channel, StreamStreamMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server
from grpclib.server import Stream as ServerStream

from ..clock import Clock
from ..observe import Event, EventName, EventSink
from ._codec import Frame, FrameCodec
from ._link import Link
from ._messages import Message
from ._settings import PeerSettings
from .exceptions import LinkError

__all__ = ["PeerHub"]

_PATH = "/redwingslip.Peers/Exchange"
_SENDER = "redwingslip-sender"
_ADDRESS = "redwingslip-address"
_SECRET = "redwingslip-secret"


class PeerHub:
    """Sends messages to other processes and takes theirs.

    Delivery is at most once and in order on one stream; messages are lost when a
    link breaks.

    Parameters
    ----------
    process_id : str
        This process.
    address : str
        ``host:port`` to listen on; port 0 takes a free one.
    secret : str
        What the processes of a cluster prove to each other.
    cfg : PeerSettings
        How links are kept.
    clock : Clock
        The process's clock.
    on_message : callable
        Takes each message that arrives, with the sender's id.
    events : EventSink
        Takes the events of the links.
    tls_server, tls_client : ssl.SSLContext or None
        Contexts of both sides; None for plain connections.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_diallers",
        "_down",
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
        self._down: set[str] = set()
        self._diallers: dict[str, asyncio.Task] = {}
        self._server: Server | None = None

    @property
    def address(self) -> str:
        """Return ``host:port``, with the port that was taken."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Listen for other processes."""
        self._server = Server([self], codec=FrameCodec())
        await self._server.start(self._host, self._port, ssl=self._tls_server)
        sockets = self._server._server.sockets
        self._port = sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close every link."""
        for task in self._diallers.values():
            task.cancel()
        await asyncio.gather(*self._diallers.values(), return_exceptions=True)
        for link in self._links.values():
            link.reset()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def set_address(self, peer_id: str, address: str) -> None:
        """Say where a peer is reached; a changed address drops the old link."""
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

    def forget(self, peer_id: str) -> None:
        """Drop a peer that is gone for good."""
        dialler = self._diallers.pop(peer_id, None)
        if dialler is not None:
            dialler.cancel()
        link = self._links.pop(peer_id, None)
        if link is not None:
            link.reset()

    def send(self, peer_id: str, message: Message) -> None:
        """Send a message, at most once; it may be lost."""
        if peer_id == self._process_id:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._deliver, peer_id, message)
            return
        self._link(peer_id).send(message)

    def reset(self, peer_id: str) -> None:
        """Replace the link to a peer that does not answer."""
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
            await link.wait_for_work()
            if not link.is_up:
                try:
                    await self._dial(link)
                except (LinkError, OSError, TimeoutError, GRPCError) as exc:
                    self._report_down(link.peer_id, exc)
            await asyncio.sleep(self._cfg.retry_delay.total_seconds())

    async def _dial(self, link: Link) -> None:
        host, _, port = link.address.rpartition(":")
        channel = Channel(host, int(port), codec=FrameCodec(), ssl=self._tls_client)
        metadata = {
            _SENDER: self._process_id,
            _ADDRESS: self.address,
            _SECRET: self._secret,
        }
        method = StreamStreamMethod(channel, _PATH, Frame, Frame)
        try:
            stream = method.open(metadata=metadata)
            async with asyncio.timeout(self._cfg.connect_timeout.total_seconds()):
                await stream.__aenter__()
                await stream.send_request()
            self._report_up(link.peer_id)
            await link.run(stream, dialled_by=self._process_id)
        finally:
            channel.close()

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods that the server offers, as grpclib asks for them."""
        handler = Handler(self._accept, Cardinality.STREAM_STREAM, Frame, Frame)
        return {_PATH: handler}

    async def _accept(self, stream: ServerStream) -> None:
        metadata = stream.metadata
        peer_id = str(metadata.get(_SENDER, ""))
        secret = str(metadata.get(_SECRET, ""))
        is_member = hmac.compare_digest(secret.encode(), self._secret.encode())
        if not peer_id or not is_member:
            raise GRPCError(Status.UNAUTHENTICATED, "not a process of this cluster")
        link = self._link(peer_id)
        if not link.address:
            self.set_address(peer_id, str(metadata.get(_ADDRESS, "")))
        self._report_up(peer_id)
        try:
            await link.run(stream, dialled_by=peer_id)
        except LinkError as exc:
            self._report_down(peer_id, exc)
            raise GRPCError(Status.UNAVAILABLE, str(exc)) from exc

    def _deliver(self, peer_id: str, message: Message) -> None:
        """Hand a message over; one that can't be handled costs no other its link."""
        try:
            self._on_message(peer_id, message)
        except Exception as exc:
            detail = f"{type(message).__name__} not handled: {exc!r}"
            event = Event(name=EventName.WARNING, peer=peer_id, detail=detail)
            self._events.emit(event)

    def _report_up(self, peer_id: str) -> None:
        self._down.discard(peer_id)
        self._events.emit(Event(name=EventName.LINK_UP, peer=peer_id))

    def _report_down(self, peer_id: str, exc: Exception) -> None:
        if peer_id in self._down:
            return
        self._down.add(peer_id)
        detail = repr(exc)
        self._events.emit(Event(name=EventName.LINK_DOWN, peer=peer_id, detail=detail))
