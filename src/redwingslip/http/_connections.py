"""Connections to HTTP servers, with bounded establishment and checked answers."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from datetime import timedelta
from urllib.parse import ParseResult

from aiosonic.connection import Connection
from aiosonic.exceptions import (
    ConnectionDisconnected,
    ConnectTimeout,
    HttpParsingError,
)
from aiosonic.timeout import Timeouts

from ._answer_budget import AnswerClaim

__all__ = ["NO_LIBRARY_TIMEOUTS", "BoundedConnection", "WatchedConnection"]

# The library applies its timeouts with `asyncio.wait_for`, which in Python 3.11 drops a
# cancellation that arrives just as the awaited operation ends.
NO_LIBRARY_TIMEOUTS = Timeouts(
    sock_connect=None, sock_read=None, pool_acquire=None, request_timeout=None
)

# Headers of an answer; those of a VM have less than 1 KiB.
MAX_HEAD_BYTES = 64 << 10

# Lingering for 0 seconds, `struct linger` of the socket interface: a close resets the
# connection, and the kernel sends nothing more of what it has buffered.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class BoundedConnection(Connection):
    """A connection that bounds its own establishment.

    Parameters
    ----------
    pool : aiosonic.pools.BasePool
        Pool of the client that the connection belongs to.
    connect_timeout : timedelta
        Longest wait for the establishment of the connection.
    """

    def __init__(self, pool, *, connect_timeout: timedelta) -> None:
        super().__init__(pool)
        self._connect_timeout = connect_timeout

    async def connect(self, *args: object, **options: object) -> None:
        """Establish the connection.

        Raises
        ------
        ConnectTimeout
            The connection was not established in time.
        """
        try:
            async with asyncio.timeout(self._connect_timeout.total_seconds()):
                await super().connect(*args, **options)
        except TimeoutError as exc:
            raise ConnectTimeout("the connection was not established in time") from exc


class WatchedConnection(BoundedConnection):
    """A connection that detects unsolicited input and truncated answers.

    It is established once, and records whether it has sent anything of a request that
    has no complete answer. In that case its close resets it, so that the request isn't
    delivered after it was given up. A line or chunk that is truncated raises an error.
    While the connection is idle, a task reads the first byte of the next answer, so
    that a connection that receives input without a request, or is closed by the server,
    is never used again.

    Parameters
    ----------
    pool, connect_timeout
        Those of `BoundedConnection`.
    claim : AnswerClaim
        Limits the answers; its user releases it after each of them.
    """

    def __init__(self, pool, *, connect_timeout: timedelta, claim: AnswerClaim) -> None:
        super().__init__(pool, connect_timeout=connect_timeout)
        self.claim = claim
        self.has_sent = False
        self._is_in_head = False
        self._n_head_bytes = 0
        self._first_byte: asyncio.Task | None = None
        self._is_watching = False
        self._on_input: Callable[[], None] | None = None
        self.was_connected = False

    async def connect(
        self, urlparsed: ParseResult, dns_info: dict, verify: bool, *args: object
    ) -> None:
        """Establish the connection, at most once.

        Raises
        ------
        ConnectionDisconnected
            The connection was closed; another process may serve the address now.
        """
        if self.was_connected and not self.reuse(urlparsed, verify):
            raise ConnectionDisconnected("the connection was closed before its use")
        await super().connect(urlparsed, dns_info, verify, *args)
        self.was_connected = True

    @property
    def reused(self) -> bool:
        """Return False, since aiosonic resends requests on reused connections."""
        return False

    @reused.setter
    def reused(self, value: bool) -> None:
        pass

    def write(self, data: bytes) -> None:
        """Write data, and record that something was sent."""
        self.has_sent = True
        super().write(data)

    async def readline(self) -> bytes:
        """Read a complete line; within the head, it must be a header."""
        line = await super().readline()
        if not line.endswith(b"\n"):
            raise ConnectionDisconnected("the connection was closed within a line")
        if self._is_in_head:
            self._n_head_bytes += len(line)
            if self._n_head_bytes > MAX_HEAD_BYTES:
                raise HttpParsingError("the head is longer than the limit")
        is_end = line in (b"\r\n", b"\n")
        if self._is_in_head and not is_end and b":" not in line:
            raise HttpParsingError("a line of the head is not a header")
        if is_end:
            self._is_in_head = False
        return line

    async def readexactly(self, size: int) -> bytes:
        """Read a chunk and the end of line that must follow it."""
        self.claim.add(size)
        chunk = await super().readexactly(size)
        if size and not chunk.endswith(b"\r\n"):
            raise HttpParsingError("a chunk is longer than its declared size")
        return chunk

    async def read(self, size: int = -1) -> bytes:
        """Read a part of a body of declared length."""
        data = await super().read(size)
        self.claim.add(len(data))
        return data

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Read the status line, whose first byte the idle watch may have read."""
        self._is_in_head = True
        self._n_head_bytes = 0
        if self._first_byte is None:
            return await super().readuntil(separator)
        first = await self._first_byte
        self._first_byte = None
        if not first:
            raise ConnectionDisconnected("the connection was closed without an answer")
        return first + await super().readuntil(separator)

    def watch(self, on_input: Callable[[], None]) -> None:
        """Start to watch the idle connection.

        Calls `on_input` if the connection receives input, or is closed by the server,
        before `is_clean` ends the watch.
        """
        self.has_sent = False
        self._is_watching = False
        self._on_input = on_input
        self._first_byte = asyncio.create_task(self._read_first_byte())

    async def _read_first_byte(self) -> bytes:
        self._is_watching = True
        try:
            first = await self.reader.read(1)
        except OSError:
            first = b""
        if self._on_input is not None:
            self._on_input()
        return first

    async def is_clean(self) -> bool:
        """End the watch; return whether the connection is open and got no input."""
        if not self._is_watching:
            # Lets the watch start, so that it sees input that has already arrived.
            await asyncio.sleep(0)
        self._on_input = None
        return self.is_connected

    def close(self) -> None:
        """Close the socket immediately; reset it if a request is in flight."""
        if self._first_byte is not None:
            self._first_byte.cancel()
            self._first_byte = None
        if self.has_sent and self.writer is not None:
            sock = self.writer.get_extra_info("socket")
            # It raises an error if the socket is closed already.
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        super().close()
