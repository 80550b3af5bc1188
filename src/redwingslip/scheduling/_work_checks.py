"""Checks whether tasks are at work, right before another of their step is ended."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from ._agent import VmAgent
from ._order_sender import RunId
from ._term import Term

__all__ = ["WorkChecks"]

# An answer counts for this long after the question, or until the next round if rounds
# are slower.
MAX_AGE = timedelta(milliseconds=250)
# It counts longer while other VMs are still being asked, since slow answers would never
# come together. Longer than a call and a round take.
MAX_OPEN_TIME = timedelta(seconds=1)


class _Answer(msgspec.Struct, frozen=True):
    """The runs that a VM listed at work, and when it was asked."""

    born_ms: int
    at_work: frozenset[RunId]
    asked_at: timedelta


class WorkChecks:
    """Asks VMs which of their runs are at work.

    A poll waits at its VM for news. Its last answer may therefore be as old as the
    contact timeout before the leader knows that the VM has ended.

    Parameters
    ----------
    term : Term
        The term of this leader.
    """

    __slots__ = ("_answers", "_asking_since", "_began_at", "_tasks", "_term")

    def __init__(self, term: Term) -> None:
        self._term = term
        self._answers: dict[str, _Answer] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._began_at = term.clock.monotonic()
        self._asking_since: timedelta | None = None

    def begin_round(self) -> None:
        """Forget the answers that are too old to act on."""
        now = self._term.clock.monotonic()
        since = min(self._began_at, now - MAX_AGE)
        if self._asking_since is not None:
            since = min(since, max(self._asking_since, now - MAX_OPEN_TIME))
            if not self._tasks:
                self._asking_since = None
        self._began_at = now
        for vm_id, answer in tuple(self._answers.items()):
            if answer.asked_at < since:
                del self._answers[vm_id]

    def is_confirmed(self, agent: VmAgent, run_id: RunId) -> bool:
        """Return whether a VM has just listed a run at work."""
        answer = self._answers.get(agent.vm.vm_id)
        if answer is None or answer.born_ms != agent.vm.born_ms:
            return False
        return run_id in answer.at_work

    def request(self, agents: Iterable[VmAgent]) -> None:
        """Ask VMs, each by one call at a time."""
        if not self._tasks:
            self._asking_since = self._term.clock.monotonic()
        for agent in agents:
            vm_id = agent.vm.vm_id
            if vm_id not in self._tasks:
                name = f"work check of {vm_id}"
                task = asyncio.create_task(self._ask(agent), name=name)
                self._tasks[vm_id] = task
                task.add_done_callback(lambda _, vm_id=vm_id: self._tasks.pop(vm_id))

    @property
    def is_asking(self) -> bool:
        """Return whether an answer is outstanding."""
        return bool(self._tasks)

    async def wait(self, timeout: timedelta) -> None:
        """Wait until all VMs that were asked have answered, for a time at most."""
        if self._tasks:
            await asyncio.wait(
                tuple(self._tasks.values()), timeout=timeout.total_seconds()
            )

    def close(self) -> None:
        """Give up the calls in progress."""
        for task in tuple(self._tasks.values()):
            task.cancel()

    async def _ask(self, agent: VmAgent) -> None:
        asked_at = self._term.clock.monotonic()
        runs = await agent.look()
        if runs is not None:
            self._answers[agent.vm.vm_id] = _Answer(
                agent.vm.born_ms,
                frozenset((run.key, run.number) for run in runs if run.is_at_work),
                asked_at,
            )
