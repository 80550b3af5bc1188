"""Detection of the leader, and forwarding of external calls to it."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec

from ..clock import Clock
from ..observe import Event, EventName, EventSink
from ..peers import (
    CallSource,
    LeaderQuery,
    LeaderReport,
    Message,
    RelayedAnswer,
    RelayedCall,
    RequestNumbers,
)
from ._in_flight import InFlight
from ._settings import RelaySettings
from .exceptions import (
    CallOutcomeUnknownError,
    NoLeaderKnownError,
    RelayBusyError,
)

__all__ = ["LeaderRelay"]

OUTCOME_UNKNOWN_STATUS = 504
# Refusals that may end by themselves while the caller waits.
PASSING_STATUSES = frozenset({429, 503})
# A new leader refuses reports of endpoints only until it has heard of their VMs; a job
# is refused for longer.
PASSING_SOURCES = frozenset({CallSource.CONTROL, CallSource.OPERATORS})
SAFE_METHODS = frozenset({"GET", "HEAD"})


class _Attempt:
    """A call that was sent to a replica and is not answered yet."""

    __slots__ = ("fut", "replica_id")

    def __init__(self, replica_id: str) -> None:
        self.replica_id = replica_id
        self.fut: asyncio.Future[RelayedAnswer | None] = (
            asyncio.get_running_loop().create_future()
        )

    def resolve(self, answer: RelayedAnswer | None) -> None:
        """Set the answer, None for none, unless there is one already."""
        if not self.fut.done():
            self.fut.set_result(answer)


class LeaderRelay:
    """Finds the leader and forwards calls to it until each is answered or times out.

    A call is sent again if the leader changes or does not answer. This is safe, since
    every call is idempotent by the id or version that it carries. A refusal of a later
    attempt is passed on only if the leader has ruled out that an earlier one took
    effect.

    Parameters
    ----------
    cfg : RelaySettings
        Settings of the relay.
    seeds : iterable of str
        Ids of the replicas that are queried first.
    send : callable
        Sends a message to the replica with the given id; the message may be lost.
    clock : Clock
        Clock of the process.
    events : EventSink
        Receives the events of the relay.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_events",
        "_in_flight",
        "_last_contact",
        "_leader_found",
        "_leader_id",
        "_leader_term",
        "_numbers",
        "_pending",
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
        self._leader_term = 0
        self._last_contact = clock.monotonic()
        self._leader_found = asyncio.Event()
        self._numbers = RequestNumbers()
        self._pending: dict[int, _Attempt] = {}
        self._in_flight = InFlight(cfg.max_in_flight_bytes)

    @property
    def has_leader(self) -> bool:
        """Return whether a leader is known and has answered recently."""
        return bool(self._leader_id)

    def add_replicas(self, replica_ids: Iterable[str]) -> None:
        """Add replicas to query for the leader."""
        self._replicas.update(replica_ids)

    async def run(self) -> None:
        """Query for the leader, and poll the known leader, until cancelled."""
        while True:
            if self._leader_id:
                since_contact = self._clock.monotonic() - self._last_contact
                if since_contact > self._cfg.silence:
                    self._drop_leader(
                        f"no answer for {since_contact.total_seconds():.2f} s"
                    )
            if self._leader_id:
                self._send(self._leader_id, LeaderQuery())
                await asyncio.sleep(self._cfg.ping_interval.total_seconds())
                continue
            for replica_id in sorted(self._replicas):
                self._send(replica_id, LeaderQuery())
            await asyncio.sleep(self._cfg.query_interval.total_seconds())

    def receive_report(self, sender_id: str, msg: LeaderReport) -> None:
        """Handle a replica's report of the leader that it knows."""
        self._replicas.update(msg.members)
        is_outdated = bool(self._leader_id) and 0 < msg.term < self._leader_term
        if msg.has_lease and not is_outdated:
            self._leader_term = msg.term
            self._last_contact = self._clock.monotonic()
            if sender_id != self._leader_id:
                self._drop_leader(f"{sender_id} has become the leader")
                self._leader_id = sender_id
                self._leader_found.set()
                self._emit(EventName.LEADER_FOUND, sender_id)
        elif sender_id == self._leader_id:
            self._drop_leader("it reported that it does not lead")
            if msg.leader_id:
                self._replicas.add(msg.leader_id)

    def receive_answer(self, sender_id: str, msg: RelayedAnswer) -> None:
        """Handle the answer to a call; only the replica that was asked may answer."""
        attempt = self._pending.get(msg.number)
        if attempt is not None and attempt.replica_id == sender_id:
            attempt.resolve(msg)
        if sender_id == self._leader_id and msg.is_taken:
            self._last_contact = self._clock.monotonic()

    async def exchange(self, call: RelayedCall, max_wait: timedelta) -> RelayedAnswer:
        """Return the leader's answer to a call, sending the call again as needed.

        Parameters
        ----------
        call : RelayedCall
            The call; its number is replaced by a new one for each attempt.
        max_wait : timedelta
            Longest wait for the answer.

        Raises
        ------
        NoLeaderKnownError
            No leader accepted the call; it had no effect.
        RelayBusyError
            Other bodies took all the room on the way to the leader; the call had no
            effect.
        CallOutcomeUnknownError
            A leader may have handled the call.
        """
        deadline = self._clock.monotonic() + max_wait
        may_have_run = False
        refusal: RelayedAnswer | None = None
        number = self._numbers.next()
        call = msgspec.structs.replace(call, call_id=number)
        while (remaining := deadline - self._clock.monotonic()) > timedelta(0):
            if not self._leader_id:
                await self._wait_for_leader(remaining)
                continue
            if not await self._in_flight.enter(
                len(call.body), remaining.total_seconds()
            ):
                if may_have_run:
                    break
                raise RelayBusyError("the way to the leader is busy; retry later")
            try:
                if not self._leader_id:
                    continue
                remaining = deadline - self._clock.monotonic()
                answer = await self._attempt(
                    call, number, min(remaining, self._cfg.attempt_timeout)
                )
            finally:
                self._in_flight.leave(len(call.body))
            number = self._numbers.next()
            refusal = None
            if answer is None:
                may_have_run = True
            elif not answer.is_taken:
                self._drop_leader("it rejected a call because it does not lead")
            elif answer.status == OUTCOME_UNKNOWN_STATUS:
                may_have_run = True
                await asyncio.sleep(self._cfg.query_interval.total_seconds())
            elif not may_have_run:
                return answer
            elif answer.status in PASSING_STATUSES and (
                call.source in PASSING_SOURCES or not answer.is_final
            ):
                refusal = answer if answer.is_final else None
                await asyncio.sleep(self._cfg.query_interval.total_seconds())
            elif _holds_for_call(call, answer):
                return answer
            else:
                raise CallOutcomeUnknownError(
                    "the leader refused a repeated attempt, and can't tell whether an "
                    "earlier one had an effect"
                )
        if refusal is not None:
            return refusal
        if may_have_run:
            raise CallOutcomeUnknownError("the leader did not answer in time")
        raise NoLeaderKnownError("no leader is known")

    async def _attempt(
        self, call: RelayedCall, number: int, timeout: timedelta
    ) -> RelayedAnswer | None:
        """Send a call to the leader once and return the answer.

        None stands for no answer: the attempt timed out, or the leader was dropped.
        """
        attempt = _Attempt(self._leader_id)
        self._pending[number] = attempt
        msg = msgspec.structs.replace(call, number=number, term=self._leader_term)
        self._send(self._leader_id, msg)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await attempt.fut
        except TimeoutError:
            return None
        finally:
            del self._pending[number]

    async def _wait_for_leader(self, timeout: timedelta) -> None:
        self._leader_found.clear()
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._leader_found.wait()
        except TimeoutError:
            return

    def _drop_leader(self, reason: str) -> None:
        """Drop the known leader; the calls pending on it are sent to the next one."""
        if not self._leader_id:
            return
        self._emit(EventName.LEADER_SILENT, f"{self._leader_id}: {reason}")
        self._leader_id = ""
        for attempt in self._pending.values():
            attempt.resolve(None)

    def _emit(self, name: EventName, detail: str) -> None:
        self._events.emit(Event(name=name, detail=detail))


def _holds_for_call(call: RelayedCall, answer: RelayedAnswer) -> bool:
    """Return whether an answer to one attempt holds for the call as a whole.

    A refusal says that the attempt had no effect; another one may have had one.
    """
    is_refusal = 400 <= answer.status < 500 or answer.status in PASSING_STATUSES
    return call.method in SAFE_METHODS or not is_refusal or answer.is_final
