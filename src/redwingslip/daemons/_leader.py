"""The way of an entry to the leader of the replicated log."""

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
)

__all__ = ["LeaderLink"]

RETRY_AFTER = timedelta(milliseconds=400)
BACKGROUND_TIMEOUT = timedelta(seconds=2)
PAUSE_WITHOUT_LEADER = timedelta(milliseconds=50)


class LeaderLink:
    """Knows which replica leads, and has commands committed by it.

    Parameters
    ----------
    replicas : tuple of str
        Ids of the replicas.
    send : callable
        Takes a replica's id and a message, and may lose it.
    reset : callable
        Takes a replica's id and replaces the link to it.
    clock : Clock
        The process's clock.
    """

    __slots__ = (
        "_clock",
        "_heard_at",
        "_leader_id",
        "_number",
        "_open",
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
        self._heard_at = clock.monotonic()
        self._number = 0
        self._tasks: set[asyncio.Task] = set()
        self._open: dict[int, asyncio.Future[Outcome | ReplicasReply | None]] = {}

    @property
    def leader_id(self) -> str:
        """Return the replica that is asked first."""
        return self._leader_id

    def send(self, message: Message) -> None:
        """Send a message to the leader; it may be lost."""
        self._send(self._leader_id, message)

    def heard(self, sender_id: str) -> None:
        """Note that a replica answered as leader."""
        self._leader_id = sender_id
        self._heard_at = self._clock.monotonic()

    def redirect(self, sender_id: str, msg: RedirectToLeader) -> None:
        """Follow a replica that says who leads."""
        if sender_id != self._leader_id:
            return
        if msg.leader_id in self._replicas and msg.leader_id != sender_id:
            self._leader_id = msg.leader_id
        else:
            self._ask_next()

    def check(self, silence: timedelta) -> None:
        """Ask another replica when this one has not answered for `silence`.

        The link is replaced as well, since the old one may be silent for good.
        """
        now = self._clock.monotonic()
        if now - self._heard_at < silence:
            return
        self._heard_at = now
        self._reset(self._leader_id)
        self._ask_next()

    def _ask_next(self) -> None:
        place = self._replicas.index(self._leader_id)
        self._leader_id = self._replicas[(place + 1) % len(self._replicas)]

    def reply(self, msg: ProposalReply) -> None:
        """Take the leader's answer to a proposal."""
        self._resolve(msg.number, msg.outcome)

    def replicas(self, msg: ReplicasReply) -> None:
        """Take the leader's word on the replicas."""
        self._resolve(msg.number, msg)

    def _resolve(self, number: int, value: Outcome | ReplicasReply | None) -> None:
        fut = self._open.get(number)
        if fut is not None and not fut.done():
            fut.set_result(value)

    async def propose(self, command: Command, timeout: timedelta) -> Outcome:
        """Have a command committed; it is sent again until it is answered.

        Every command says by itself whether it was done before.

        Raises
        ------
        NoLeaderError
            No answer in time; the command may yet be done.
        """
        return await self._ask(
            lambda number: Proposal(number=number, command=command), timeout
        )

    def propose_in_background(self, command: Command) -> None:
        """Propose what its author proposes again when it has no effect."""
        task = asyncio.create_task(self._propose_quietly(command))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _propose_quietly(self, command: Command) -> None:
        with contextlib.suppress(NoLeaderError):
            await self.propose(command, BACKGROUND_TIMEOUT)

    async def ask_replicas(self, timeout: timedelta) -> ReplicasReply:
        """Return how the replicas are.

        Raises
        ------
        NoLeaderError
            No answer in time.
        """
        return await self._ask(lambda number: ReplicasRequest(number=number), timeout)

    async def _ask(
        self, new_message: Callable[[int], Message], timeout: timedelta
    ) -> Outcome | ReplicasReply:
        until = self._clock.monotonic() + timeout
        while (left := until - self._clock.monotonic()) > timedelta(0):
            answer = await self._try(new_message, min(left, RETRY_AFTER))
            if answer is not None:
                return answer
            await asyncio.sleep(PAUSE_WITHOUT_LEADER.total_seconds())
        raise NoLeaderError(f"no leader confirmed it within {timeout}")

    async def _try(
        self, new_message: Callable[[int], Message], timeout: timedelta
    ) -> Outcome | ReplicasReply | None:
        self._number += 1
        number = self._number
        fut = asyncio.get_running_loop().create_future()
        self._open[number] = fut
        self.send(new_message(number))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await fut
        except TimeoutError:
            return None
        finally:
            del self._open[number]
