"""TLS handshakes of a server, within limits.

asyncio's servers have no limit on handshakes: each may take a minute, and no limit of a
server counts its connection before it is complete. What a failed one used stays in
reference cycles of its exception until the garbage collector runs.
"""

import asyncio
import ssl
import traceback
from asyncio.sslproto import SSLProtocol
from datetime import timedelta

__all__ = ["TlsHandshakes"]

# A record of TLS has at most 16 KiB; asyncio allocates 256 KiB for each connection.
TLS_BUFFER_BYTES = 32 << 10


class _EarlyData(asyncio.Protocol):
    """Holds what arrives between the end of a handshake and the use of its connection.

    Attributes
    ----------
    data : bytes
        The data.
    is_lost : bool
        Whether the connection has been closed.
    """

    def __init__(self) -> None:
        self.data = b""
        self.is_lost = False

    def data_received(self, data: bytes) -> None:
        """Hold data, at most what one read takes."""
        self.data += data

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is closed."""
        self.is_lost = True


class TlsHandshakes:
    """Performs the handshakes of the connections that a server has accepted.

    The server listens without TLS. Its protocol hands each plain connection over, and
    is given the encrypted one.

    Parameters
    ----------
    context : ssl.SSLContext
        TLS context of the server.
    max_incomplete : int
        Number of incomplete handshakes; beyond it, the oldest connection is closed.
    timeout : timedelta
        Longest duration of a handshake.
    """

    __slots__ = ("_incomplete", "_max_incomplete", "_timeout", "context")

    def __init__(
        self, context: ssl.SSLContext, *, max_incomplete: int, timeout: timedelta
    ) -> None:
        self.context = context
        self._max_incomplete = max_incomplete
        self._timeout = timeout
        # Oldest first.
        self._incomplete: dict[asyncio.Transport, asyncio.Task] = {}
        # The class has no other option for it; the limit holds for the whole process.
        SSLProtocol.max_size = TLS_BUFFER_BYTES

    def begin(self, transport: asyncio.Transport, protocol: asyncio.Protocol) -> None:
        """Begin a handshake; `protocol` gets the encrypted connection after it."""
        transport.pause_reading()
        early = _EarlyData()
        transport.set_protocol(early)
        if len(self._incomplete) >= self._max_incomplete:
            oldest = next(iter(self._incomplete))
            self._incomplete.pop(oldest)
            oldest.abort()
        self._incomplete[transport] = asyncio.create_task(
            self._perform(transport, protocol, early), name="TLS handshake"
        )

    def close(self) -> None:
        """Close the connections whose handshakes are incomplete."""
        for transport, task in self._incomplete.items():
            transport.abort()
            task.cancel()
        self._incomplete.clear()

    async def _perform(
        self,
        transport: asyncio.Transport,
        protocol: asyncio.Protocol,
        early: _EarlyData,
    ) -> None:
        try:
            if transport.is_closing():
                return
            encrypted = await asyncio.get_running_loop().start_tls(
                transport,
                early,
                self.context,
                server_side=True,
                ssl_handshake_timeout=self._timeout.total_seconds(),
            )
        except OSError as exc:
            transport.abort()
            # Frees the buffers that the frames of the exception refer to.
            traceback.clear_frames(exc.__traceback__)
        else:
            if not early.is_lost:
                encrypted.set_protocol(protocol)
                protocol.connection_made(encrypted)
                if early.data:
                    protocol.data_received(early.data)
        finally:
            self._incomplete.pop(transport, None)
