"""HTTP/2 connections between processes, with limits on the other side.

HTTP/2 lets a client open and reset any number of streams, each of which costs a server
far more than the client (CVE-2023-44487). A connection between processes carries a
single stream, so that a second one is an error. See RFC 9113, sections 5.4 and 10.5.
"""

import asyncio
import logging
import ssl
from collections.abc import Callable
from functools import partial

from grpclib.client import Channel
from grpclib.protocol import Buffer, EventsProcessor, H2Protocol, Stream
from grpclib.server import Server
from h2.events import RequestReceived, StreamReset

from ..handshakes import TlsHandshakes
from ._settings import PeerSettings
from .exceptions import LinkError

__all__ = ["GuardedChannel", "GuardedServer"]

log = logging.getLogger("grpclib.server")

# The preface, the settings and the request of a peer have less than 1 KiB.
MAX_REQUEST_BYTES = 16 << 10
# Bytes that one read of an unknown sender takes, and that are processed at once.
READ_BYTES = 16 << 10
SLICE_BYTES = 1 << 10
# Writing pauses above 64 KiB, with TLS above 512 KiB. Answers to control frames are
# written all the same; a peer reads them.
MAX_UNSENT_BYTES = 1 << 20


class GuardedServer(Server):
    """A server that limits what a sender can do before it has proved to be a peer.

    Above the limit of connections without an authenticated stream, the oldest of them
    is closed for a new one. Peers authenticate with their first frames, so theirs are
    the newest.

    Parameters
    ----------
    handlers, options
        Those of `grpclib.server.Server`.
    cfg : PeerSettings
        The limits.
    tls : ssl.SSLContext or None
        TLS context; None for plain connections.
    """

    def __init__(
        self, handlers, *, cfg: PeerSettings, tls: ssl.SSLContext | None, **options
    ) -> None:
        super().__init__(handlers, **options)
        self.cfg = cfg
        self.handshakes: TlsHandshakes | None = None
        if tls is not None:
            self.handshakes = TlsHandshakes(
                tls,
                max_incomplete=cfg.max_unknown,
                timeout=cfg.authentication_timeout,
            )
        # By the address of the other side, oldest first.
        self.unknown: dict[tuple, _ServerProtocol] = {}

    def close(self) -> None:
        """Stop accepting connections, and cancel the requests in progress."""
        if self.handshakes is not None:
            self.handshakes.close()
        super().close()

    def confirm(self, address: tuple) -> None:
        """Keep the connection from an address: its sender is a peer."""
        protocol = self.unknown.pop(address, None)
        if protocol is not None:
            protocol.confirm()

    def add_unknown(self, protocol: "_ServerProtocol") -> None:
        """Add a new connection, and close the oldest one if there are too many."""
        self.unknown[protocol.address] = protocol
        if len(self.unknown) > self.cfg.max_unknown:
            oldest = next(iter(self.unknown))
            self.unknown.pop(oldest).transport.abort()

    def remove_unknown(self, protocol: "_ServerProtocol") -> None:
        """Remove a connection that has been closed."""
        if self.unknown.get(protocol.address) is protocol:
            del self.unknown[protocol.address]

    def _protocol_factory(self) -> H2Protocol:
        inner = super()._protocol_factory()
        return _ServerProtocol(self, inner.handler, inner.config, inner.h2_config)


class GuardedChannel(Channel):
    """A channel that limits the messages which it receives.

    Parameters
    ----------
    args, options
        Those of `grpclib.client.Channel`.
    cfg : PeerSettings
        The limits.
    """

    def __init__(self, *args, cfg: PeerSettings, **options) -> None:
        super().__init__(*args, **options)
        self._limits = cfg

    def _protocol_factory(self) -> H2Protocol:
        inner = super()._protocol_factory()
        return _LimitedProtocol(
            self._limits, inner.handler, inner.config, inner.h2_config
        )


class _LimitedBuffer(Buffer):
    """The received data of a stream; it accepts no message above a size."""

    def __init__(self, ack: Callable[[int], None], max_bytes: int) -> None:
        super().__init__(ack)
        self._max_bytes = max_bytes

    async def read(self, size: int) -> bytes:
        """Read a part of a message.

        Raises
        ------
        LinkError
            The message is too long.
        """
        if size > self._max_bytes:
            raise LinkError(
                f"message of {size} bytes; [links] max_message_bytes is "
                f"{self._max_bytes}"
            )
        return await super().read(size)


class _LimitedProcessor(EventsProcessor):
    """Limits the size of the messages of each stream."""

    def __init__(self, cfg: PeerSettings, *args) -> None:
        super().__init__(*args)
        self._cfg = cfg

    def register(self, stream: Stream) -> Callable[[], None]:
        """Add a stream."""
        ack = partial(self.connection.ack, stream.id)
        stream.buffer = _LimitedBuffer(ack, self._cfg.max_message_bytes)
        return super().register(stream)


class _LimitedProtocol(H2Protocol):
    """A connection that is closed if answers to control frames are not read."""

    def __init__(self, cfg: PeerSettings, *args) -> None:
        super().__init__(*args)
        self._cfg = cfg

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Prepare the connection."""
        super().connection_made(transport)
        self.transport = transport
        self.processor = self._new_processor()

    def _new_processor(self) -> EventsProcessor:
        return _LimitedProcessor(self._cfg, self.handler, self.connection)

    def data_received(self, data: bytes) -> None:
        """Process received bytes."""
        super().data_received(data)
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            log.warning("closed a connection that does not read its answers")
            self.transport.abort()


class _ServerProcessor(_LimitedProcessor):
    """Accepts one stream, and ends the connection with it."""

    def __init__(self, protocol: "_ServerProtocol", *args) -> None:
        super().__init__(*args)
        self._protocol = protocol
        self.has_stream = False

    def process_request_received(self, event: RequestReceived) -> None:
        """Accept the first stream; close the connection at a second one."""
        if self.has_stream:
            self._protocol.refuse("a second stream was opened")
            return
        self.has_stream = True
        super().process_request_received(event)

    def process_stream_reset(self, event: StreamReset) -> None:
        """End the handler of the stream, and close the connection."""
        super().process_stream_reset(event)
        self._protocol.transport.abort()

    def register(self, stream: Stream) -> Callable[[], None]:
        """Add the stream; the connection is closed soon after its release."""
        release = super().register(stream)

        def release_and_close() -> None:
            release()
            self._protocol.close_soon()

        return release_and_close


class _ServerProtocol(_LimitedProtocol):
    """An accepted connection; until its sender is known, it may send one request."""

    def __init__(self, server: GuardedServer, *args) -> None:
        super().__init__(server.cfg, *args)
        self._server = server
        self._is_confirmed = False
        self._n_bytes = 0
        self._held = b""
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Add the connection to those of unknown senders, after its handshake."""
        handshakes = self._server.handshakes
        is_encrypted = transport.get_extra_info("sslcontext") is not None
        if handshakes is not None and not is_encrypted:
            handshakes.begin(transport, self)
            return
        # TLS has buffers of its own.
        if hasattr(transport, "max_size"):
            self._max_size = transport.max_size
            transport.max_size = READ_BYTES
        super().connection_made(transport)
        self.address = transport.get_extra_info("peername")
        self._abort_after(self._cfg.authentication_timeout.total_seconds())
        self._server.add_unknown(self)

    def _new_processor(self) -> EventsProcessor:
        return _ServerProcessor(self, self._cfg, self.handler, self.connection)

    def data_received(self, data: bytes) -> None:
        """Process received bytes; hold those that follow an undecided request."""
        if self._is_confirmed:
            super().data_received(data)
            return
        self._held += data
        while self._held and not self.processor.has_stream:
            piece, self._held = self._held[:SLICE_BYTES], self._held[SLICE_BYTES:]
            self._n_bytes += len(piece)
            if self._n_bytes > MAX_REQUEST_BYTES:
                self.refuse("no request within its first bytes")
            if self.transport.is_closing():
                self._held = b""
                return
            super().data_received(piece)
        if self.processor.has_stream and not self.transport.is_closing():
            self.transport.pause_reading()

    def confirm(self) -> None:
        """Process what follows the request: its sender is a peer."""
        self._is_confirmed = True
        self._timer.cancel()
        asyncio.get_running_loop().call_soon(self._continue)

    def _continue(self) -> None:
        if self.transport.is_closing():
            return
        if hasattr(self.transport, "max_size"):
            self.transport.max_size = self._max_size
        held, self._held = self._held, b""
        if held:
            self.data_received(held)
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def refuse(self, reason: str) -> None:
        """Close the connection at once."""
        log.warning("closed a connection from %s: %s", self.address, reason)
        self.transport.abort()

    def close_soon(self) -> None:
        """Close the connection once the client has had time to read the outcome."""
        if not self.transport.is_closing():
            self._abort_after(self._cfg.connect_timeout.total_seconds())

    def _abort_after(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self.transport.abort)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection."""
        self._timer.cancel()
        self._held = b""
        self._server.remove_unknown(self)
        super().connection_lost(exc)
