"""Runs the load of an experiment against entries."""

import asyncio
import glob
import random
from datetime import timedelta
from functools import partial
from pathlib import Path

import msgspec

from ..clock import Clock, SystemClock
from ._caller import Caller, initial_outcome
from ._outcomes import CallOutcome, OutcomeKind
from ._report import LoadReport, make_report
from ._schedule import Arrival, Cancellation, schedule
from ._settings import LoadSettings
from ._shares import PoolLoad, share_report
from ._verdict import RunEvent, check_outcomes, read_runs

__all__ = ["run_load"]

RECORD_SETTLE_TIME = timedelta(seconds=1)


async def run_load(cfg: LoadSettings, *, clock: Clock | None = None) -> LoadReport:
    """Run the load of an experiment against its entries and return the report.

    Arrivals do not wait for answers. The settings limit the number of requests, the
    number of open requests and the duration.
    """
    load_run = _LoadRun(cfg, clock or SystemClock())
    try:
        await load_run.send_requests()
    finally:
        await load_run.close()
    if cfg.load.records:
        await asyncio.sleep(RECORD_SETTLE_TIME.total_seconds())
    return load_run.report()


class _LoadRun:
    """One load, with its open requests and the outcomes of the others."""

    __slots__ = (
        "_arrivals",
        "_began_at",
        "_caller",
        "_cancellations",
        "_cfg",
        "_clock",
        "_customers",
        "_errors",
        "_keys",
        "_open",
        "_outcomes",
        "_start",
    )

    def __init__(self, cfg: LoadSettings, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self._customers = cfg.read_customers()
        self._keys = {customer.team: customer.key for customer in self._customers}
        self._arrivals, self._cancellations = schedule(
            cfg.load, cfg.queues, self._customers
        )
        self._caller = Caller(list(cfg.entries.values()), cfg.load.deadline, clock)
        self._open: dict[int, asyncio.Task] = {}
        self._outcomes: dict[int, CallOutcome] = {}
        self._errors: list[Exception] = []
        self._start = clock.monotonic()
        self._began_at = clock.utcnow()

    async def send_requests(self) -> None:
        """Send requests and cancellations on schedule, then await all outcomes.

        Raises
        ------
        ExceptionGroup
            Requests failed in a way that is no outcome.
        """
        self._start = self._clock.monotonic()
        self._began_at = self._clock.utcnow()
        steps = [*self._arrivals, *self._cancellations]
        for step in sorted(steps, key=lambda step: step.at):
            await self._sleep_until(step.at)
            if isinstance(step, Cancellation):
                self._cancel(step)
            else:
                self._submit(step)
        while self._open:
            await asyncio.wait(list(self._open.values()))
        if self._errors:
            raise ExceptionGroup("requests failed unexpectedly", self._errors)

    async def close(self) -> None:
        """Cancel the open requests and close the connections."""
        for task in self._open.values():
            task.cancel()
        await asyncio.gather(*self._open.values(), return_exceptions=True)
        await self._caller.close()

    def report(self) -> LoadReport:
        """Return the report of the load."""
        cfg = self._cfg.load
        outcomes = [
            self._outcomes.get(arrival.number, initial_outcome(arrival, cfg.seed))
            for arrival in self._arrivals
        ]
        runs = read_runs(Path(path) for path in sorted(glob.glob(cfg.records)))
        shares = share_report(
            self._pool_loads(outcomes, runs),
            self._customers,
            self._began_at,
            cfg.duration,
        )
        verdict = check_outcomes(outcomes, runs) if cfg.records else None
        return make_report(
            cfg.seed, self._began_at, cfg.duration, outcomes, shares, verdict
        )

    def _pool_loads(
        self, outcomes: list[CallOutcome], runs: list[RunEvent]
    ) -> list[PoolLoad]:
        """Return the load of each pool whose number of slots the experiment gives."""
        pool_of_body = {
            call.body_sha256: self._pool_of_queue(call.queue) for call in outcomes
        }
        loads = {
            pool: PoolLoad(n_slots=n_slots, runs=[], asked=[])
            for pool, n_slots in self._cfg.slots.items()
        }
        for run in runs:
            load = loads.get(pool_of_body.get(run.body_sha256, ""))
            if load is not None:
                load.runs.append(run)
        for call in outcomes:
            load = loads.get(self._pool_of_queue(call.queue))
            if load is not None:
                begin = call.began_at.total_seconds()
                end = begin + call.took.total_seconds()
                load.asked.append((call.team, begin, end))
        return list(loads.values())

    def _pool_of_queue(self, queue: str) -> str:
        """Return the pool of a queue; an unlisted queue is its own pool."""
        return self._cfg.pools.get(queue, queue)

    async def _sleep_until(self, at: timedelta) -> None:
        remaining = self._start + at - self._clock.monotonic()
        await asyncio.sleep(max(0.0, remaining.total_seconds()))

    def _submit(self, arrival: Arrival) -> None:
        """Send a request in a task of its own, unless too many requests are open."""
        seed = self._cfg.load.seed
        if len(self._open) >= self._cfg.load.max_open:
            outcome = initial_outcome(arrival, seed, OutcomeKind.NOT_ASKED)
            self._outcomes[arrival.number] = outcome
            return
        key = self._keys[arrival.team]
        task = asyncio.create_task(self._caller.call(arrival, key, seed))
        self._open[arrival.number] = task
        task.add_done_callback(partial(self._store_outcome, arrival))

    def _store_outcome(self, arrival: Arrival, task: asyncio.Task) -> None:
        """Store the outcome of a request whose task has ended."""
        del self._open[arrival.number]
        if task.cancelled():
            seed = self._cfg.load.seed
            outcome = initial_outcome(arrival, seed, OutcomeKind.CANCELLED)
            took = self._clock.monotonic() - self._start - arrival.at
            self._outcomes[arrival.number] = msgspec.structs.replace(outcome, took=took)
        elif task.exception() is not None:
            self._errors.append(task.exception())
        else:
            self._outcomes[arrival.number] = task.result()

    def _cancel(self, wave: Cancellation) -> None:
        """Cancel a random fraction of the open requests."""
        numbers = sorted(self._open)
        n_cancelled = int(len(numbers) * self._cfg.load.cancelled)
        for number in random.Random(wave.seed).sample(numbers, n_cancelled):
            self._open[number].cancel()
