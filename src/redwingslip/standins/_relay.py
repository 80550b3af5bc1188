"""A TCP relay that simulates network faults: aborts, freezes and one-way losses."""

import asyncio
import contextlib
import enum

__all__ = ["RelayMode", "TcpRelay"]

CHUNK_BYTES = 65_536


class RelayMode(enum.StrEnum):
    """Treatment of a connection's bytes: forward, hold or discard one direction."""

    FORWARD = "forward"
    FREEZE = "freeze"
    SWALLOW_REQUESTS = "swallow-requests"
    SWALLOW_ANSWERS = "swallow-answers"


class _RelayedConnection:
    """One connection through the relay, with a task for each direction."""

    __slots__ = ("_client", "_server", "mode")

    def __init__(self, client, server, mode: RelayMode) -> None:
        self._client = client
        self._server = server
        self.mode = mode

    async def run(self) -> None:
        """Relay bytes in both directions until either side closes."""
        to_server = self._pump(self._client, self._server, RelayMode.SWALLOW_REQUESTS)
        to_client = self._pump(self._server, self._client, RelayMode.SWALLOW_ANSWERS)
        tasks = [asyncio.create_task(to_server), asyncio.create_task(to_client)]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            self.abort()

    def abort(self) -> None:
        """Abort the connections to both sides."""
        self._client[1].transport.abort()
        self._server[1].transport.abort()

    async def _pump(self, source, sink, swallow_mode: RelayMode) -> None:
        """Forward one direction; discard its bytes while the mode is `swallow_mode`.

        A frozen connection stays open and is never read again.
        """
        reader, writer = source[0], sink[1]
        with contextlib.suppress(ConnectionError):
            while True:
                data = await reader.read(CHUNK_BYTES)
                if self.mode is RelayMode.FREEZE:
                    await asyncio.Event().wait()
                if not data:
                    return
                if self.mode is not swallow_mode:
                    writer.write(data)
                    await writer.drain()


class TcpRelay:
    """Relays TCP connections to a target.

    Parameters
    ----------
    target : str
        Host and port of the target.
    host : str
        IP address to listen on.
    port : int
        0 for any free port.

    Attributes
    ----------
    mode : RelayMode
        Mode of new connections.
    n_accepted : int
        Number of connections accepted.
    """

    __slots__ = ("_host", "_open", "_port", "_server", "_target", "mode", "n_accepted")

    def __init__(self, target: str, *, host: str = "127.0.0.1", port: int = 0) -> None:
        target_host, _, target_port = target.rpartition(":")
        self._target = (target_host.strip("[]"), int(target_port))
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None
        self._open: dict[asyncio.Task, _RelayedConnection] = {}
        self.mode = RelayMode.FORWARD
        self.n_accepted = 0

    @property
    def address(self) -> str:
        """Return the host and port that the relay listens on."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Refuse new connections and abort the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        await self.abort_connections()

    async def abort_connections(self) -> None:
        """Abort every open connection."""
        tasks = list(self._open)
        for task in tasks:
            self._open[task].abort()
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def set_mode_of_open(self, mode: RelayMode) -> None:
        """Set the mode of the open connections, not of new ones."""
        for connection in self._open.values():
            connection.mode = mode

    def set_mode_of_all(self, mode: RelayMode) -> None:
        """Set the mode of the open connections and of new ones."""
        self.mode = mode
        self.set_mode_of_open(mode)

    async def _serve(self, reader, writer) -> None:
        """Relay an accepted connection; abort it if the target can't be reached."""
        self.n_accepted += 1
        try:
            server = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        connection = _RelayedConnection((reader, writer), server, self.mode)
        task = asyncio.current_task()
        self._open[task] = connection
        try:
            with contextlib.suppress(asyncio.CancelledError):
                await connection.run()
        finally:
            del self._open[task]
