"""The protocol of a connection to a server, with the limits on clients."""

import asyncio
import enum
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import h11
import msgspec
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from ..handshakes import TlsHandshakes
from ._bodies import CLAIM_KEY
from ._body_budget import BodyClaim, RefusalCause
from ._connection_table import Idleness
from ._limits import HttpLimits
from ._problems import NOT_RUN, PROBLEM_TYPE, Problem
from ._server_memory import ServerMemory
from .exceptions import BodyRefusedError

__all__ = ["limited_protocol"]

# Bytes that one read takes, that a request may hold before its handler reads them, and
# that an answer may hold before its memory is counted.
READ_BYTES = 16 << 10
# Bounds of the input that is processed in one turn, and of the time that it should
# take; the size is adapted to it.
MIN_SLICE_BYTES = 256
FIRST_SLICE_BYTES = 1 << 10
MIN_SLICE_TIME = timedelta(microseconds=500)
MAX_SLICE_TIME = timedelta(milliseconds=2)

_BAD_REQUEST_BODY = msgspec.json.encode(
    Problem(
        status=400,
        title="bad request",
        detail="not an HTTP/1.1 request, or its head is too long",
        field="head",
        outcome=NOT_RUN,
    )
)

_BAD_REQUEST = (
    b"HTTP/1.1 400 Bad Request\r\n"
    b"Content-Type: %b\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
    % (PROBLEM_TYPE.encode(), len(_BAD_REQUEST_BODY), _BAD_REQUEST_BODY)
)


class _Phase(enum.Enum):
    """What the server waits for on a connection."""

    HEAD = "head"
    ANSWER = "answer"
    REST_OF_BODY = "rest of body"
    NOTHING = "nothing"


class _InputFlow(FlowControl):
    """Flow control whose reading is paused while received input waits for a turn."""

    def __init__(self, transport: asyncio.Transport, on_resume: Callable) -> None:
        super().__init__(transport)
        self._on_resume = on_resume
        self._is_held = False

    def hold(self) -> None:
        """Pause reading until `release`, whatever the handler asks for."""
        self._is_held = True
        self._transport.pause_reading()

    def release(self) -> None:
        """Resume reading, unless it is paused for another reason."""
        if self._is_held:
            self._is_held = False
            if not self.read_paused:
                self._transport.resume_reading()

    def resume_reading(self) -> None:
        """Resume the processing of input, and reading once none waits."""
        if not self.read_paused:
            return
        self.read_paused = False
        if self._is_held:
            self._on_resume()
        else:
            self._transport.resume_reading()


class _LimitedProtocol(H11Protocol):
    """Closes connections above the limits, and those whose requests are too slow.

    Received input is processed in turns with other connections, a part at a time.

    Each server has its own subclass, whose class attributes hold the limits of the
    server and its number of connections per peer.
    """

    limits: HttpLimits
    n_of_peer: Counter[str]
    memory: ServerMemory
    handshakes: TlsHandshakes | None

    def connection_made(self, transport) -> None:
        """Count the connection; close it if there are too many.

        With TLS, it is counted here once its handshake is complete.
        """
        is_encrypted = transport.get_extra_info("sslcontext") is not None
        if self.handshakes is not None and not is_encrypted:
            self.handshakes.begin(transport, self)
            return
        # The library reads up to 256 KiB at once, which h11 then holds; TLS has buffers
        # of its own.
        if hasattr(transport, "max_size"):
            transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(high=READ_BYTES)
        peer = transport.get_extra_info("peername")
        self.peer = peer[0] if peer else ""
        self.phase = _Phase.NOTHING
        self.timer: asyncio.TimerHandle | None = None
        self.write_timer: asyncio.TimerHandle | None = None
        self.unread_answer: BodyClaim | None = None
        self.is_retiring = False
        self.waiting_input = b""
        self.slice_bytes = FIRST_SLICE_BYTES
        self.is_in_turn = False
        self.is_completing = False
        self.has_events = False
        self.n_of_peer[self.peer] += 1
        super().connection_made(transport)
        self.flow = _InputFlow(transport, self.submit)
        self.set_timer()
        too_many = self.n_of_peer[self.peer] > self.limits.max_connections_per_peer
        if too_many or not self.memory.connections.admit(self):
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """Process received bytes in turns, and update the timer of the phase."""
        self.waiting_input += data
        self.submit()
        if self.waiting_input:
            self.set_timer()

    def submit(self) -> None:
        """Have input processed when the connection has its turn."""
        if self.is_completing:
            return
        self.memory.turns.submit(self)
        if self.waiting_input:
            self.flow.hold()

    def take_turn(self) -> bool:
        """Process a part of the input; return whether more can be processed now.

        Input waits while the handler does not read the body, or a request is answered.
        """
        if self.transport.is_closing():
            self.waiting_input = b""
            return False
        clock = self.memory.turns.clock
        began_at = clock.monotonic()
        self.is_in_turn = True
        try:
            self._process_slice()
        finally:
            self.is_in_turn = False
        self._adapt_slice(clock.monotonic() - began_at)
        if self.waiting_input:
            # The library may have resumed reading.
            self.flow.hold()
        else:
            self.flow.release()
        self.set_timer()
        return bool(self.waiting_input) and not self.flow.read_paused

    def _process_slice(self) -> None:
        if self.has_events:
            self.has_events = False
            super().handle_events()
        elif self.waiting_input and not self.flow.read_paused:
            size = self.slice_bytes
            piece = self.waiting_input[:size]
            self.waiting_input = self.waiting_input[size:]
            super().data_received(piece)
        if self.cycle is not None and len(self.cycle.body) > READ_BYTES:
            self.flow.pause_reading()

    def _adapt_slice(self, duration: timedelta) -> None:
        if duration > MAX_SLICE_TIME:
            self.slice_bytes = max(MIN_SLICE_BYTES, self.slice_bytes // 2)
        elif duration < MIN_SLICE_TIME:
            self.slice_bytes = min(READ_BYTES, self.slice_bytes * 2)

    def handle_events(self) -> None:
        """Process input that the library has received, in a turn of the connection.

        It also calls this after each answer, for requests that were sent meanwhile.
        """
        if self.is_in_turn:
            super().handle_events()
        else:
            self.has_events = bool(self.conn.trailing_data[0])

    def on_response_complete(self) -> None:
        """Start the next request, and update the timer of the phase."""
        # An idle connection must not keep what its last handler didn't read.
        self.cycle.body = bytearray()
        if self.is_retiring:
            self.transport.close()
        # The library resumes reading before the state of the next request is prepared.
        self.is_completing = True
        super().on_response_complete()
        self.is_completing = False
        if self.has_events or self.waiting_input:
            self.submit()
        self.set_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timers, and remove the connection from the counts."""
        for timer in (self.timer, self.write_timer):
            if timer is not None:
                timer.cancel()
        self.release_answer()
        self.waiting_input = b""
        self.memory.turns.remove(self)
        self.memory.connections.remove(self)
        self.n_of_peer[self.peer] -= 1
        if not self.n_of_peer[self.peer]:
            del self.n_of_peer[self.peer]
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """Pause the answer; close the connection if the peer reads nothing in time."""
        super().pause_writing()
        self.write_timer = self.abort_after(self.limits.body_timeout)
        claim = self.memory.bodies.claim()
        claim.drop_cause = RefusalCause.UNREAD_ANSWER
        claim.on_drop = self.transport.abort
        claim.count_unsent = self.transport.get_write_buffer_size
        self.unread_answer = claim
        self.memory.connections.update(self)
        try:
            claim.reserve(
                self.transport.get_write_buffer_size(), RefusalCause.UNREAD_ANSWER
            )
        except BodyRefusedError:
            self.transport.abort()

    def resume_writing(self) -> None:
        """Continue the answer, and cancel the timer."""
        super().resume_writing()
        self.release_answer()
        if self.write_timer is not None:
            self.write_timer.cancel()

    def release_answer(self) -> None:
        """Free the memory of an answer that was sent or given up."""
        if self.unread_answer is not None:
            self.unread_answer.release()
            self.unread_answer = None
            self.memory.connections.update(self)

    def idleness(self) -> Idleness:
        """Return how far the connection can be given up for a new one."""
        match self.current_phase():
            case _Phase.ANSWER if self.cycle.more_body:
                return Idleness.RECEIVING_BODY
            case _Phase.HEAD:
                return Idleness.WAITING_FOR_HEAD
            case _Phase.NOTHING if self.unread_answer is None:
                return Idleness.BETWEEN_REQUESTS
            case _Phase.REST_OF_BODY if self.unread_answer is None:
                return Idleness.REST_OF_BODY
        return Idleness.IN_USE

    def stalls_at(self) -> timedelta | None:
        """Return when the body counts as stalled; None if it can't be dropped."""
        return self.memory.bodies.stalls_at(self.cycle.scope.get(CLAIM_KEY))

    def retire(self) -> None:
        """Close the connection after its answer, or now if the peer reads nothing."""
        self.is_retiring = True
        claim = self.unread_answer
        if claim is not None and self.memory.bodies.is_stalled(claim):
            self.transport.abort()
        elif self.current_phase() is not _Phase.ANSWER:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self.transport.abort()

    def send_400_response(self, msg: str) -> None:
        """Refuse input that is not an HTTP request, then close the connection."""
        self.transport.write(_BAD_REQUEST)
        self.transport.close()

    def set_timer(self) -> None:
        """Start the timer of a new phase, and tell the table of connections.

        Further bytes within the same phase do not extend its timer.
        """
        self.memory.connections.update(self)
        phase = self.current_phase()
        if phase is self.phase or self.transport.is_closing():
            return
        self.phase = phase
        if self.timer is not None:
            self.timer.cancel()
        if phase is _Phase.HEAD:
            self.timer = self.abort_after(self.limits.header_timeout)
        elif phase is _Phase.REST_OF_BODY:
            self.timer = self.abort_after(self.limits.body_timeout)

    def current_phase(self) -> _Phase:
        """Return the phase that the connection is in.

        After an early answer the rest of the request body is read and dropped for up
        to the body timeout. Closing the connection immediately would reset it, and
        the client could lose the answer.
        """
        if self.cycle is not None and not self.cycle.response_complete:
            return _Phase.ANSWER
        if self.conn.their_state is h11.SEND_BODY:
            return _Phase.REST_OF_BODY
        if self.cycle is None or self.conn.trailing_data[0] or self.waiting_input:
            return _Phase.HEAD
        return _Phase.NOTHING

    def abort_after(self, timeout: timedelta) -> asyncio.TimerHandle:
        """Return a timer that closes the connection after `timeout`."""
        return self.loop.call_later(timeout.total_seconds(), self.transport.abort)


def limited_protocol(
    cfg: HttpLimits, memory: ServerMemory, handshakes: TlsHandshakes | None = None
) -> type[H11Protocol]:
    """Return a protocol class with the limits and counts of one server.

    Parameters
    ----------
    cfg : HttpLimits
        The limits.
    memory : ServerMemory
        What the servers of the process share.
    handshakes : TlsHandshakes or None
        Performs the TLS handshakes; None for plain HTTP.
    """
    counts: Counter[str] = Counter()
    namespace = {
        "limits": cfg,
        "n_of_peer": counts,
        "memory": memory,
        "handshakes": handshakes,
    }
    return type("LimitedProtocol", (_LimitedProtocol,), namespace)
