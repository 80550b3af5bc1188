"""The link to one other process."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from grpclib.client import Stream as ClientStream
from grpclib.server import Stream as ServerStream

from ..clock import Clock
from ..consensus._messages import Append, InstallSnapshot
from ._codec import Frame
from ._messages import Message
from ._relay_messages import RelayedAnswer, RelayedCall
from ._settings import PeerSettings
from .exceptions import LinkError

__all__ = ["Link"]


class Link:
    """The queue of messages to a peer, and the stream that carries them.

    Parameters
    ----------
    peer_id : str
        Id of the other process.
    cfg : PeerSettings
        Settings of the link.
    clock : Clock
        Measures the age of the open stream. If a second stream opens within
        `PeerSettings.connect_timeout`, both sides are taken to have dialled at the same
        time. A later one is a replacement.
    on_message : callable
        Called with the peer's id and the message for each received message.

    Attributes
    ----------
    address : str
        ``host:port`` of the peer; empty while it is not known.
    n_dropped : int
        Number of messages dropped because the queue was full.
    n_body_bytes : int
        Total size of the bodies of the queued messages.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_dialled_by",
        "_has_messages",
        "_on_message",
        "_opened_at",
        "_outbox",
        "_session",
        "address",
        "n_body_bytes",
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
        self.n_body_bytes = 0
        self._cfg = cfg
        self._clock = clock
        self._dialled_by = ""
        self._opened_at = timedelta(0)
        self._on_message = on_message
        self._outbox: deque[Message] = deque()
        self._has_messages = asyncio.Event()
        self._session: asyncio.Task | None = None

    @property
    def is_up(self) -> bool:
        """Whether a stream is open."""
        return self._session is not None

    def send(self, message: Message) -> None:
        """Queue a message; if the queue is full, the oldest ones are dropped.

        A message whose body would exceed the limit of queued bytes is dropped itself,
        since the oldest ones may be those of the log.
        """
        n_bytes = body_bytes(message)
        is_full = self.n_body_bytes + n_bytes > self._cfg.max_outbox_bytes
        if n_bytes and self.n_body_bytes and is_full:
            self.n_dropped += 1
            return
        max_queued = self._cfg.max_outbox
        if not self.is_up:
            max_queued = min(max_queued, self._cfg.max_unsent)
        while len(self._outbox) >= max_queued:
            self._pop()
            self.n_dropped += 1
        self._outbox.append(message)
        self.n_body_bytes += n_bytes
        self._has_messages.set()

    def reset(self) -> None:
        """Close the stream, if any, so that a new one is opened."""
        if self._session is not None:
            self._session.cancel()

    async def wait_for_messages(self) -> None:
        """Wait until a message has been queued."""
        await self._has_messages.wait()

    async def run(
        self, stream: ClientStream | ServerStream, *, dialled_by: str
    ) -> None:
        """Exchange messages over a stream until it fails or becomes unresponsive.

        A newer stream replaces an older one, which may have become unresponsive. If
        both sides opened a stream at the same time, both keep the one that the process
        with the lower id opened.

        Parameters
        ----------
        stream : Stream
            An open stream, opened by either side.
        dialled_by : str
            Id of the process that opened the stream.

        Raises
        ------
        LinkError
            The stream failed or was replaced, or no frame was received for the time
            `PeerSettings.silence`.
        """
        if self._is_simultaneous() and self._dialled_by < dialled_by:
            raise LinkError("another stream, opened at the same time, is kept")
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
        heartbeat_s = self._cfg.heartbeat.total_seconds()
        while True:
            if not self._outbox:
                self._has_messages.clear()
                try:
                    async with asyncio.timeout(heartbeat_s):
                        await self._has_messages.wait()
                except TimeoutError:
                    pass
            await stream.send_message(Frame(self._take_batch()))

    def _take_batch(self) -> tuple[Message, ...]:
        batch = []
        n_bytes = 0
        while self._outbox and len(batch) < self._cfg.max_batch:
            message = self._pop()
            batch.append(message)
            n_bytes += _payload_bytes(message)
            if n_bytes >= self._cfg.max_frame_bytes:
                break
        return tuple(batch)

    def _pop(self) -> Message:
        message = self._outbox.popleft()
        self.n_body_bytes -= body_bytes(message)
        return message

    async def _read(self, stream: ClientStream | ServerStream) -> None:
        silence_s = self._cfg.silence.total_seconds()
        while True:
            try:
                async with asyncio.timeout(silence_s):
                    frame = await stream.recv_message()
            except TimeoutError:
                raise LinkError(
                    f"no frame from {self.peer_id} for {silence_s} s"
                ) from None
            if frame is None:
                raise LinkError(f"{self.peer_id} closed the stream")
            for message in frame.messages:
                self._on_message(self.peer_id, message)


def body_bytes(message: Message) -> int:
    """Return the size of what a client sent or will receive in a message."""
    if isinstance(message, RelayedCall | RelayedAnswer):
        return len(message.body)
    return 0


def _payload_bytes(message: Message) -> int:
    """Return the size of the variable part of a message."""
    match message:
        case Append():
            return sum(len(entry.data) for entry in message.entries)
        case InstallSnapshot():
            return len(message.data)
    return body_bytes(message)


def _link_error(cause: BaseException) -> LinkError:
    """Return the `LinkError` for the exception that ended a session."""
    if isinstance(cause, asyncio.CancelledError):
        return LinkError("replaced by a newer stream")
    if isinstance(cause, BaseExceptionGroup):
        return _link_error(cause.exceptions[0])
    if isinstance(cause, LinkError):
        return cause
    return LinkError(repr(cause))
