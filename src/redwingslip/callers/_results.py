"""Asynchronous requests, whose callers fetch the results later."""

import asyncio
from collections import OrderedDict
from datetime import timedelta

import msgspec

from ..clock import Clock
from ._requests import Answer, WaitingAnswer

__all__ = ["ResultLimits", "ResultStore", "TooManyResultsError"]


class ResultLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the asynchronous requests and results that are kept.

    Attributes
    ----------
    max_age : timedelta
        How long a result is kept after its request has finished.
    max_count : int
        Limit of running requests and kept results together.
    max_bytes : int
        Limit of the total size of the answer bodies of all kept results.
    """

    max_age: timedelta = timedelta(minutes=10)
    max_count: int = 10_000
    max_bytes: int = 67_108_864


class TooManyResultsError(Exception):
    """The limit of asynchronous requests is reached; nothing was started."""


class _Result:
    """An asynchronous request, and its result once it has finished."""

    __slots__ = ("finished_at", "n_bytes", "owner", "task")

    def __init__(self, task: asyncio.Task, owner: str) -> None:
        self.task = task
        self.owner = owner
        self.finished_at: timedelta | None = None
        self.n_bytes = 0


class ResultStore:
    """Runs asynchronous requests and keeps results, within limits.

    Parameters
    ----------
    cfg : ResultLimits
        Limits of count, age and bytes.
    clock : Clock
        Measures the age of results.
    """

    __slots__ = ("_cfg", "_clock", "_n_bytes", "_results")

    def __init__(self, cfg: ResultLimits, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._results: OrderedDict[str, _Result] = OrderedDict()
        self._n_bytes = 0

    def __len__(self) -> int:
        return len(self._results)

    def start(self, request_id: str, owner: str, run) -> None:
        """Start the coroutine `run`; only `owner` can fetch its result.

        Raises
        ------
        TooManyResultsError
            The limit is reached, and no request has finished whose result could be
            dropped.
        """
        self._expire()
        if len(self._results) >= self._cfg.max_count and not self._drop_oldest():
            run.close()
            raise TooManyResultsError
        result = _Result(asyncio.create_task(run), owner)
        self._results[request_id] = result
        result.task.add_done_callback(lambda task: self._finish(result))

    def get(self, request_id: str, owner: str) -> WaitingAnswer | None:
        """Return the state of a request, or None if `owner` has no such request."""
        self._expire()
        result = self._results.get(request_id)
        if result is None or result.owner != owner:
            return None
        if not result.task.done():
            return WaitingAnswer(request_id=request_id)
        if result.task.cancelled():
            return None
        problem = result.task.exception()
        if problem is not None:
            return WaitingAnswer(request_id=request_id, problem=problem)
        return WaitingAnswer(request_id=request_id, answer=result.task.result())

    async def cancel(self, request_id: str, owner: str) -> WaitingAnswer | None:
        """Cancel and drop a request; return its last state.

        Returns None if `owner` has no such request. A request that finishes despite
        the cancellation is returned with its answer or problem.
        """
        waiting = self.get(request_id, owner)
        if waiting is None:
            return None
        result = self._results[request_id]
        result.task.cancel()
        await asyncio.wait({result.task})
        last = self.get(request_id, owner)
        self._drop(request_id)
        return last or waiting

    async def drain(self) -> None:
        """Wait until no request is running."""
        tasks = {result.task for result in self._results.values()}
        if tasks:
            await asyncio.wait(tasks)

    async def close(self) -> None:
        """Cancel all running requests, and drop all results."""
        for result in self._results.values():
            result.task.cancel()
        await self.drain()
        self._results.clear()

    def _finish(self, result: _Result) -> None:
        result.finished_at = self._clock.monotonic()
        if result.task.cancelled() or result.task.exception() is not None:
            return
        answer: Answer = result.task.result()
        result.n_bytes = len(answer.body)
        self._n_bytes += result.n_bytes
        while self._n_bytes > self._cfg.max_bytes and self._drop_oldest():
            pass

    def _expire(self) -> None:
        oldest_kept = self._clock.monotonic() - self._cfg.max_age
        expired_ids = [
            request_id
            for request_id, result in self._results.items()
            if result.finished_at is not None and result.finished_at < oldest_kept
        ]
        for request_id in expired_ids:
            self._drop(request_id)

    def _drop_oldest(self) -> bool:
        """Drop the oldest finished result; return False if there is none.

        The order is that in which their requests were started.
        """
        for request_id, result in self._results.items():
            if result.task.done():
                self._drop(request_id)
                return True
        return False

    def _drop(self, request_id: str) -> None:
        result = self._results.pop(request_id, None)
        if result is not None:
            self._n_bytes -= result.n_bytes
