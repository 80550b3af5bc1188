"""The way of calls from outside to the leader, wherever it is."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec

from ..clock import Clock
from ..observe import Event, EventName, EventSink
from ..peers import LeaderQuery, LeaderReport, Message, RelayedAnswer, RelayedCall
from ._settings import RelaySettings
from .exceptions import CallOutcomeUnknownError, NoLeaderKnownError

__all__ = ["LeaderRelay"]

UNKNOWN_OUTCOME = 504


class LeaderRelay:
    """Finds the leader and passes calls on to it until one is answered.

    A call is sent again when the leader changes or stays silent: every call is
    idempotent by the id or version that it carries.

    Parameters
    ----------
    cfg : RelaySettings
        The settings.
    seeds : iterable of str
        Replicas to ask first.
    send : callable
        Takes a replica's id and a message, and may lose it.
    clock : Clock
        The time.
    events : EventSink
        Takes the events.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_events",
        "_found",
        "_heard_at",
        "_leader_id",
        "_number",
        "_open",
        "_replicas",
        "_send",
    )

    def __init__(
        self,
        *,
        cfg: RelaySettings,
        seeds: Iterable[str],
        send: Callable[[str, Message], None],
        clock: Clock,
        events: EventSink,
    ) -> None:
        self._cfg = cfg
        self._send = send
        self._clock = clock
        self._events = events
        self._replicas = set(seeds)
        self._leader_id = ""
        self._heard_at = clock.monotonic()
        self._found = asyncio.Event()
        self._number = 0
        self._open: dict[int, asyncio.Future[RelayedAnswer | None]] = {}

    @property
    def has_leader(self) -> bool:
        """Return whether a leader is known and has answered lately."""
        return bool(self._leader_id)

    def add_replicas(self, replica_ids: Iterable[str]) -> None:
        """Take further replicas to ask."""
        self._replicas.update(replica_ids)

    async def run(self) -> None:
        """Look for the leader until cancelled."""
        while True:
            if self._leader_id:
                silence = self._clock.monotonic() - self._heard_at
                if silence > self._cfg.silence:
                    self._lose_leader(f"silent for {silence.total_seconds():.2f} s")
            if self._leader_id:
                self._send(self._leader_id, LeaderQuery())
                await asyncio.sleep(self._cfg.ping_interval.total_seconds())
                continue
            for replica_id in sorted(self._replicas):
                self._send(replica_id, LeaderQuery())
            await asyncio.sleep(self._cfg.query_interval.total_seconds())

    def receive_report(self, sender_id: str, msg: LeaderReport) -> None:
        """Take what a replica says of the leader."""
        self._replicas.update(msg.members)
        if msg.has_lease:
            self._heard_at = self._clock.monotonic()
            if sender_id != self._leader_id:
                self._lose_leader(f"{sender_id} leads")
                self._leader_id = sender_id
                self._found.set()
                self._emit(EventName.LEADER_FOUND, sender_id)
        elif sender_id == self._leader_id:
            self._lose_leader("it says that it does not lead")
            if msg.leader_id:
                self._replicas.add(msg.leader_id)

    def receive_answer(self, sender_id: str, msg: RelayedAnswer) -> None:
        """Take the answer to a call."""
        fut = self._open.get(msg.number)
        if fut is not None and not fut.done():
            fut.set_result(msg)
        if sender_id == self._leader_id and msg.is_taken:
            self._heard_at = self._clock.monotonic()

    async def exchange(self, call: RelayedCall, patience: timedelta) -> RelayedAnswer:
        """Return the leader's answer.

        Raises
        ------
        NoLeaderKnownError
            No leader took the call; it had no effect.
        AnswerUnknownError
            A leader may have taken it.
        """
        until = self._clock.monotonic() + patience
        may_be_taken = False
        while (left := until - self._clock.monotonic()) > timedelta(0):
            if not self._leader_id:
                await self._wait_for_leader(left)
                continue
            answer = await self._attempt(call, min(left, self._cfg.attempt_timeout))
            if answer is None:
                may_be_taken = True
            elif not answer.is_taken:
                self._lose_leader("it did not take a call")
            elif answer.status == UNKNOWN_OUTCOME:
                may_be_taken = True
                await asyncio.sleep(self._cfg.query_interval.total_seconds())
            else:
                return answer
        if may_be_taken:
            raise CallOutcomeUnknownError("the leader did not answer in time")
        raise NoLeaderKnownError("no leader is known")

    async def _attempt(
        self, call: RelayedCall, timeout: timedelta
    ) -> RelayedAnswer | None:
        """Return the leader's answer, None when there is none in time."""
        self._number += 1
        number = self._number
        fut = asyncio.get_running_loop().create_future()
        self._open[number] = fut
        self._send(self._leader_id, msgspec.structs.replace(call, number=number))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await fut
        except TimeoutError:
            return None
        finally:
            del self._open[number]

    async def _wait_for_leader(self, timeout: timedelta) -> None:
        self._found.clear()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._found.wait()
        except TimeoutError:
            return

    def _lose_leader(self, reason: str) -> None:
        """Forget the leader; calls that wait for it are tried again elsewhere."""
        if not self._leader_id:
            return
        self._emit(EventName.LEADER_SILENT, f"{self._leader_id}: {reason}")
        self._leader_id = ""
        for fut in self._open.values():
            if not fut.done():
                fut.set_result(None)

    def _emit(self, name: EventName, detail: str) -> None:
        self._events.emit(Event(name=name, detail=detail))
