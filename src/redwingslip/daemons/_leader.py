"""An entry's connection to the leader of the replicated log."""

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock
from ..fleet import Command, Outcome
from ..operators import NoLeaderError
from ..peers import (
    Message,
    Proposal,
    ProposalReply,
    RedirectToLeader,
    ReplicasReply,
    ReplicasRequest,
    RequestNumbers,
)

__all__ = ["LeaderClient"]

RESEND_AFTER = timedelta(milliseconds=400)
BACKGROUND_TIMEOUT = timedelta(seconds=2)
RETRY_PAUSE = timedelta(milliseconds=50)


class LeaderClient:
    """Tracks which replica leads, and has commands committed by it.

    Parameters
    ----------
    replicas : tuple of str
        Ids of the replicas.
    send : callable
        Called with a replica id and a message; the message may be lost.
    reset : callable
        Called with the id of a replica whose link is to be replaced.
    clock : Clock
        The process's clock.
    """

    __slots__ = (
        "_clock",
        "_last_contact_at",
        "_leader_id",
        "_numbers",
        "_pending",
        "_replicas",
        "_reset",
        "_send",
        "_tasks",
    )

    def __init__(
        self,
        *,
        replicas: tuple[str, ...],
        send: Callable[[str, Message], None],
        reset: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self._replicas = replicas
        self._send = send
        self._reset = reset
        self._clock = clock
        self._leader_id = replicas[0]
        self._last_contact_at = clock.monotonic()
        self._numbers = RequestNumbers()
        self._tasks: set[asyncio.Task] = set()
        self._pending: dict[int, asyncio.Future[Outcome | ReplicasReply | None]] = {}

    @property
    def leader_id(self) -> str:
        """Return the id of the replica that is presumed to lead."""
        return self._leader_id

    def send(self, message: Message) -> None:
        """Send a message to the presumed leader; it may be lost."""
        self._send(self._leader_id, message)

    def record_contact(self, sender_id: str) -> None:
        """Record that a replica answered as leader."""
        self._leader_id = sender_id
        self._last_contact_at = self._clock.monotonic()

    def handle_redirect(self, sender_id: str, msg: RedirectToLeader) -> None:
        """Switch to the leader that a replica names, or else to the next replica."""
        if sender_id != self._leader_id:
            return
        if msg.leader_id in self._replicas and msg.leader_id != sender_id:
            self._leader_id = msg.leader_id
        else:
            self._switch_to_next()

    def check_contact(self, timeout: timedelta) -> None:
        """Switch to another replica if the leader has not answered for `timeout`.

        The link is replaced as well, since the old one may never recover.
        """
        now = self._clock.monotonic()
        if now - self._last_contact_at < timeout:
            return
        self._last_contact_at = now
        self._reset(self._leader_id)
        self._switch_to_next()

    def _switch_to_next(self) -> None:
        index = self._replicas.index(self._leader_id)
        self._leader_id = self._replicas[(index + 1) % len(self._replicas)]

    def handle_proposal_reply(self, msg: ProposalReply) -> None:
        """Handle the leader's answer to a proposal."""
        self._resolve(msg.number, msg.outcome)

    def handle_replicas_reply(self, msg: ReplicasReply) -> None:
        """Handle the leader's report on the replicas."""
        self._resolve(msg.number, msg)

    def _resolve(self, number: int, value: Outcome | ReplicasReply | None) -> None:
        fut = self._pending.get(number)
        if fut is not None and not fut.done():
            fut.set_result(value)

    async def propose(self, command: Command, timeout: timedelta) -> Outcome:
        """Have a command committed; it is resent until it is answered.

        A resend is safe, because the replicated state recognises from the fields of a
        command whether it was applied before.

        Raises
        ------
        NoLeaderError
            No answer arrived in time; the command may still be committed.
        """
        return await self._request(
            lambda number: Proposal(number=number, command=command), timeout
        )

    def propose_in_background(self, command: Command) -> None:
        """Propose a command whose sender repeats it until it takes effect."""
        task = asyncio.create_task(self._propose_best_effort(command))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _propose_best_effort(self, command: Command) -> None:
        with contextlib.suppress(NoLeaderError):
            await self.propose(command, BACKGROUND_TIMEOUT)

    async def request_replicas(self, timeout: timedelta) -> ReplicasReply:
        """Return the status of the replicas, as the leader sees them.

        Raises
        ------
        NoLeaderError
            No answer arrived in time.
        """
        return await self._request(
            lambda number: ReplicasRequest(number=number), timeout
        )

    async def _request(
        self, new_message: Callable[[int], Message], timeout: timedelta
    ) -> Outcome | ReplicasReply:
        """Send a request until it is answered; raise `NoLeaderError` at the timeout."""
        until = self._clock.monotonic() + timeout
        while (remaining := until - self._clock.monotonic()) > timedelta(0):
            answer = await self._request_once(new_message, min(remaining, RESEND_AFTER))
            if answer is not None:
                return answer
            await asyncio.sleep(RETRY_PAUSE.total_seconds())
        raise NoLeaderError(f"no leader answered within {timeout}")

    async def _request_once(
        self, new_message: Callable[[int], Message], timeout: timedelta
    ) -> Outcome | ReplicasReply | None:
        """Send a request once; return None when it timed out or was rejected."""
        number = self._numbers.next()
        fut = asyncio.get_running_loop().create_future()
        self._pending[number] = fut
        self.send(new_message(number))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await fut
        except TimeoutError:
            return None
        finally:
            del self._pending[number]
