"""One link to one other process."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from grpclib.client import Stream as ClientStream
from grpclib.server import Stream as ServerStream

from ..clock import Clock
from ._codec import Frame
from ._messages import Message
from ._settings import PeerSettings
from .exceptions import LinkError

__all__ = ["Link"]


class Link:
    """The messages waiting for a peer, and the stream that carries them.

    Parameters
    ----------
    peer_id : str
        The other process.
    cfg : PeerSettings
        How the link is kept.
    clock : Clock
        Tells a stream opened by both sides at once from a newer one.
    on_message : callable
        Takes each message that arrives, with the peer's id.

    Attributes
    ----------
    address : str
        ``host:port`` of the peer, empty while it is not known.
    n_dropped : int
        Messages given up because too many were waiting.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_dialled_by",
        "_on_message",
        "_opened_at",
        "_outbox",
        "_session",
        "_wake",
        "address",
        "n_dropped",
        "peer_id",
    )

    def __init__(
        self,
        peer_id: str,
        *,
        cfg: PeerSettings,
        clock: Clock,
        on_message: Callable[[str, Message], None],
    ) -> None:
        self.peer_id = peer_id
        self.address = ""
        self.n_dropped = 0
        self._cfg = cfg
        self._clock = clock
        self._dialled_by = ""
        self._opened_at = timedelta(0)
        self._on_message = on_message
        self._outbox: deque[Message] = deque()
        self._wake = asyncio.Event()
        self._session: asyncio.Task | None = None

    @property
    def is_up(self) -> bool:
        """Whether a stream carries the link now."""
        return self._session is not None

    def send(self, message: Message) -> None:
        """Put a message into the next frame."""
        n_kept = self._cfg.max_outbox
        if not self.is_up:
            n_kept = min(n_kept, self._cfg.max_unsent)
        while len(self._outbox) >= n_kept:
            self._outbox.popleft()
            self.n_dropped += 1
        self._outbox.append(message)
        self._wake.set()

    def reset(self) -> None:
        """Drop the stream, so that a new one is opened."""
        if self._session is not None:
            self._session.cancel()

    async def wait_for_work(self) -> None:
        """Wait until a message wants to be sent and nothing carries it."""
        await self._wake.wait()

    async def run(
        self, stream: ClientStream | ServerStream, *, dialled_by: str
    ) -> None:
        """Carry messages over a stream until it fails or falls silent.

        A newer stream takes the place of an older one, which may have gone silent.
        Of two that both sides opened at once, both keep the same one.

        Parameters
        ----------
        stream : Stream
            An open stream of either side.
        dialled_by : str
            The process that opened it.

        Raises
        ------
        LinkError
            The stream failed, or brought nothing for the time of silence.
        """
        if self._is_simultaneous() and self._dialled_by < dialled_by:
            raise LinkError("a stream opened at the same time is kept")
        self.reset()
        session = asyncio.create_task(self._exchange(stream))
        self._session = session
        self._dialled_by = dialled_by
        self._opened_at = self._clock.monotonic()
        try:
            await asyncio.wait([session])
        finally:
            if self._session is session:
                self._session = None
            session.cancel()
            results = await asyncio.gather(session, return_exceptions=True)
        raise _link_error(results[0])

    def _is_simultaneous(self) -> bool:
        age = self._clock.monotonic() - self._opened_at
        return self.is_up and age < self._cfg.connect_timeout

    async def _exchange(self, stream: ClientStream | ServerStream) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._write(stream))
            group.create_task(self._read(stream))

    async def _write(self, stream: ClientStream | ServerStream) -> None:
        heartbeat = self._cfg.heartbeat.total_seconds()
        while True:
            if not self._outbox:
                self._wake.clear()
                try:
                    async with asyncio.timeout(heartbeat):
                        await self._wake.wait()
                except TimeoutError:
                    pass
            await stream.send_message(Frame(self._take_batch()))

    def _take_batch(self) -> tuple[Message, ...]:
        n_messages = min(len(self._outbox), self._cfg.max_batch)
        return tuple(self._outbox.popleft() for _ in range(n_messages))

    async def _read(self, stream: ClientStream | ServerStream) -> None:
        silence = self._cfg.silence.total_seconds()
        while True:
            try:
                async with asyncio.timeout(silence):
                    frame = await stream.recv_message()
            except TimeoutError:
                raise LinkError(
                    f"nothing from {self.peer_id} for {silence} s"
                ) from None
            if frame is None:
                raise LinkError(f"{self.peer_id} closed the stream")
            for message in frame.messages:
                self._on_message(self.peer_id, message)


def _link_error(cause: BaseException) -> LinkError:
    """Return the error that a session's end stands for."""
    if isinstance(cause, asyncio.CancelledError):
        return LinkError("replaced by a newer stream")
    if isinstance(cause, BaseExceptionGroup):
        return _link_error(cause.exceptions[0])
    if isinstance(cause, LinkError):
        return cause
    return LinkError(repr(cause))
