"""The limit on connections whose sender has not proved to be a peer."""

from grpclib.protocol import H2Protocol
from grpclib.server import Server

__all__ = ["GuardedServer"]


class GuardedServer(Server):
    """A server that keeps few connections without an authenticated stream.

    Above the limit, the oldest of them is closed for a new one. Peers authenticate
    with their first frames, so theirs are the newest.

    Parameters
    ----------
    handlers, options
        Those of `grpclib.server.Server`.
    max_unknown : int
        Limit of the connections without an authenticated stream.
    """

    def __init__(self, handlers, *, max_unknown: int, **options) -> None:
        super().__init__(handlers, **options)
        self._max_unknown = max_unknown
        # By the address of the other side, oldest first.
        self.unknown: dict[tuple, _GuardedProtocol] = {}

    def confirm(self, address: tuple) -> None:
        """Keep the connection from an address: its sender is a peer."""
        self.unknown.pop(address, None)

    def add_unknown(self, protocol: "_GuardedProtocol") -> None:
        """Add a new connection, and close the oldest one if there are too many."""
        self.unknown[protocol.address] = protocol
        if len(self.unknown) > self._max_unknown:
            oldest = next(iter(self.unknown))
            self.unknown.pop(oldest).transport.abort()

    def _protocol_factory(self) -> H2Protocol:
        inner = super()._protocol_factory()
        return _GuardedProtocol(self, inner.handler, inner.config, inner.h2_config)


class _GuardedProtocol(H2Protocol):
    """A connection that reports its beginning and its end to the server."""

    def __init__(self, server: GuardedServer, *args) -> None:
        super().__init__(*args)
        self._server = server

    def connection_made(self, transport) -> None:
        """Add the connection to those of unknown senders."""
        super().connection_made(transport)
        self.transport = transport
        self.address = transport.get_extra_info("peername")
        self._server.add_unknown(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Remove the connection."""
        if self._server.unknown.get(self.address) is self:
            self._server.confirm(self.address)
        super().connection_lost(exc)
