"""Fair turns between the connections whose input a process has to handle.

An event loop hands over the input of all ready connections before anything else gets a
turn. Where 16 KiB take a tenth of a second, 30 such connections would stop the process
for seconds, and a leader would lose its lease.
"""

import asyncio
import logging
from collections import deque
from datetime import timedelta
from typing import Protocol

from ..clock import Clock

__all__ = ["InputTurns", "TurnTaker"]

log = logging.getLogger("uvicorn.error")

# Part of an iteration of the event loop that input may take; a heartbeat of the log
# waits for no longer.
MAX_TURN = timedelta(milliseconds=10)


class TurnTaker(Protocol):
    """A connection with input.

    Attributes
    ----------
    peer : str
        Address of the other side.
    """

    peer: str

    def take_turn(self) -> bool:
        """Process a small part of the input; return whether more can be processed."""

    def abort(self) -> None:
        """Close the connection at once."""


class InputTurns:
    """Gives the addresses with input a turn each, and their connections within them.

    The input of a connection is processed at once while the process has little to do.

    Attributes
    ----------
    clock : Clock
        Measures how long the processing takes.
    """

    __slots__ = ("_is_scheduled", "_queued", "_spent", "_waiting", "clock")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        # The addresses in the order of their turns, with their connections.
        self._waiting: dict[str, deque[TurnTaker]] = {}
        self._queued: set[TurnTaker] = set()
        self._spent = timedelta(0)
        self._is_scheduled = False

    def submit(self, conn: TurnTaker) -> None:
        """Process the input of a connection now, or when it has its turn."""
        if conn in self._queued:
            return
        if not self._waiting and self._spent < MAX_TURN:
            self._process(conn)
        else:
            self._enqueue(conn)
        self._schedule()

    def remove(self, conn: TurnTaker) -> None:
        """Remove a connection that has been closed."""
        if conn not in self._queued:
            return
        self._queued.discard(conn)
        conns = self._waiting[conn.peer]
        conns.remove(conn)
        if not conns:
            del self._waiting[conn.peer]

    def _enqueue(self, conn: TurnTaker) -> None:
        self._queued.add(conn)
        self._waiting.setdefault(conn.peer, deque()).append(conn)

    def _process(self, conn: TurnTaker) -> None:
        began_at = self.clock.monotonic()
        has_more = False
        try:
            has_more = conn.take_turn()
        except Exception:
            # An error with the input of one connection must not hold up the others.
            log.exception("closed a connection from %s", conn.peer)
            conn.abort()
        self._spent += self.clock.monotonic() - began_at
        if has_more and conn not in self._queued:
            self._enqueue(conn)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        """Begin the turns of an iteration of the event loop."""
        self._is_scheduled = False
        self._spent = timedelta(0)
        while self._waiting and self._spent < MAX_TURN:
            peer = next(iter(self._waiting))
            conns = self._waiting.pop(peer)
            conn = conns.popleft()
            if conns:
                # The address has its next turn after all others.
                self._waiting[peer] = conns
            self._queued.discard(conn)
            self._process(conn)
        if self._waiting:
            self._schedule()
