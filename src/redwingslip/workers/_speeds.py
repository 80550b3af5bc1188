"""Speeds of machines, learned from the run times and the failures of their runs."""

import math
import statistics
from collections import Counter, deque
from collections.abc import Hashable, Iterable, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from ._speed_types import Excess, MachineSpeed, SpeedChange, SpeedSettings

__all__ = ["SpeedModel"]

# The possible values of a machine's slowness, as logarithms between 1 and 16.
STEPS = tuple(number * math.log(16) / 10 for number in range(11))
# Prior log-probability of each value above 1: one machine in ten is slow.
PRIOR = (0.0, *(math.log(0.01) for _ in STEPS[1:]))
# What earlier results weigh against the next one. About the last seven count.
DECAY = 0.85
# A value that results speak against for long becomes possible again after a few.
MAX_EVIDENCE = 8.0
# Degrees of freedom of Student's t; few make single outliers count little.
FREEDOM = 3
# A run that hangs is one outlier; it never counts as more evidence than this.
MIN_SURVIVAL = 0.03
# A machine is slow from this probability on, and normal again below the other.
SLOW_FROM, NORMAL_BELOW = 0.98, 0.5
# Runs of a job's step on one machine share the error of their estimate. Each further
# one counts this much of the one before.
REPEATED_WEIGHT = 0.25
# Ends of runs from which the failures of a machine are judged, and successes in a row
# after which earlier failures don't count. Half-broken VMs rarely have as many.
N_ENDS = 24
N_SUCCESSES = 6
# Fewer machines than this don't tell whether the work is slower.
MIN_MACHINES = 3
# A machine without a VM is forgotten after this many times the memory.
N_MEMORIES = 5
# Failures that a machine has by chance: this many standard deviations.
N_DEVIATIONS = 3.0


class _End(NamedTuple):
    job: str
    step: Hashable
    queue: str
    has_failed: bool
    at: timedelta


class _Evidence:
    """What the runs of a machine say about it.

    Attributes
    ----------
    weights : list of float
        Log-likelihood of each value of its slowness.
    steps : deque
        The steps of its last results.
    has_kept_pace : bool
        Whether its last run did not fail, and took no longer than on a normal machine.
    """

    __slots__ = (
        "ends",
        "has_kept_pace",
        "is_slow",
        "known_at",
        "n_results",
        "started_at",
        "steps",
        "weights",
    )

    def __init__(self, now: timedelta) -> None:
        self.weights = [0.0] * len(STEPS)
        self.steps: deque[Hashable] = deque(maxlen=8)
        self.ends: deque[_End] = deque(maxlen=N_ENDS)
        self.n_results = 0
        self.known_at = now
        self.started_at: timedelta | None = None
        self.is_slow = False
        self.has_kept_pace = False


class SpeedModel:
    """Learns which machines are slow, or fail more runs than others.

    Parameters
    ----------
    cfg : SpeedSettings
        The settings.
    """

    __slots__ = (
        "_cfg",
        "_evidence",
        "_log_slow",
        "_queue_ends",
        "_speeds",
        "_step_ends",
    )

    def __init__(self, cfg: SpeedSettings) -> None:
        self._cfg = cfg
        self._log_slow = -math.log(cfg.slow_below)
        self._evidence: dict[str, _Evidence] = {}
        self._speeds: dict[str, MachineSpeed] = {}
        # Ends and failures of all machines: by step, and by queue with a decay.
        self._step_ends: dict[Hashable, Counter[tuple[str, bool]]] = {}
        self._queue_ends: dict[str, list[float]] = {}

    def record(self, machine: str, excess: Excess, now: timedelta) -> None:
        """Record the run time of a run that was carried out completely.

        Parameters
        ----------
        machine : str
            The machine of its VM.
        excess : Excess
            The run time against the expected one.
        now : timedelta
            Monotonic time.
        """
        entry = self._entry(machine, now)
        decay = DECAY * self._fading(entry, now)
        share = 1.0
        if excess.is_shared:
            share = REPEATED_WEIGHT ** entry.steps.count(excess.step)
            decay **= share
        variance = FREEDOM * excess.deviation**2
        weights = [
            decay * weight
            - share
            * ((FREEDOM + 1) / 2)
            * math.log1p((excess.log_ratio - step) ** 2 / variance)
            for weight, step in zip(entry.weights, STEPS, strict=True)
        ]
        best = max(weights)
        entry.weights = [max(weight - best, -MAX_EVIDENCE) for weight in weights]
        entry.steps.append(excess.step)
        entry.n_results += 1
        entry.known_at = now
        entry.has_kept_pace = excess.log_ratio < self._log_slow

    def record_end(
        self,
        machine: str,
        step: Hashable,
        *,
        job: str,
        queue: str,
        has_failed: bool,
        now: timedelta,
    ) -> None:
        """Record whether a run has failed or was carried out.

        Parameters
        ----------
        machine : str
            The machine of its VM.
        step : hashable
            The step of the job.
        job, queue : str
            The job and its queue.
        has_failed : bool
            Whether it has failed.
        now : timedelta
            Monotonic time.
        """
        entry = self._entry(machine, now)
        entry.ends.append(_End(job, step, queue, has_failed, now))
        if has_failed:
            entry.has_kept_pace = False
        elif not any(end.has_failed for end in list(entry.ends)[-N_SUCCESSES:]):
            entry.ends = deque(list(entry.ends)[-N_SUCCESSES:], maxlen=N_ENDS)
        self._step_ends.setdefault(step, Counter())[machine, has_failed] += 1
        counts = self._queue_ends.setdefault(queue, [0.0, 0.0])
        for kind in (False, True):
            counts[kind] = 0.99 * counts[kind] + (kind == has_failed)

    def note_start(self, machine: str, now: timedelta) -> None:
        """Record that a run is started on a machine."""
        if machine in self._evidence:
            self._evidence[machine].started_at = now

    def forget_steps(self, is_known: Mapping[str, object]) -> None:
        """Drop the ends of the steps of jobs that are missing in a mapping."""
        for step in [step for step in self._step_ends if step[0] not in is_known]:
            del self._step_ends[step]

    def is_retried(self, machine: str, now: timedelta) -> bool:
        """Return whether a slow machine is to get a run like a normal one."""
        entry = self._evidence.get(machine)
        if entry is None or entry.started_at is None:
            return True
        pause = self._cfg.retry_interval
        if entry.has_kept_pace:
            pause = min(pause, self._cfg.interval)
        return now - entry.started_at >= pause

    def speed(self, machine: str) -> float:
        """Return the speed of a slow machine, and 1 for any other."""
        estimate = self._speeds.get(machine)
        return estimate.speed if estimate is not None and estimate.is_slow else 1.0

    def estimate(self, machine: str) -> MachineSpeed | None:
        """Return what is known of a machine; None if nothing is."""
        return self._speeds.get(machine)

    def update(
        self,
        pools: Mapping[str, Iterable[str]],
        running: Mapping[str, Sequence[Excess]],
        now: timedelta,
    ) -> list[SpeedChange]:
        """Estimate the speeds anew, and return the machines that changed.

        Parameters
        ----------
        pools : mapping of str to iterable of str
            The machines of each pool whose VMs are in contact.
        running : mapping of str to sequence of Excess
            The runs that go on, by machine, with their run times until now.
        now : timedelta
            Monotonic time.
        """
        changes = []
        for machines in pools.values():
            beliefs = {
                machine: self._belief(machine, running.get(machine, ()), now)
                for machine in machines
                if machine in self._evidence or machine in running
            }
            means = [_mean(belief) for belief in beliefs.values()]
            # If most machines are slow, the work is.
            usual = 0.0
            if len(means) >= MIN_MACHINES:
                usual = statistics.median_low(means)
            for machine, belief in beliefs.items():
                if self._judge(machine, belief, usual, now):
                    changes.append(SpeedChange(machine, self._speeds[machine]))
        known = {machine for machines in pools.values() for machine in machines}
        for machine in self._evidence.keys() - known:
            # Without a VM, as between two pools or switched off.
            if self._judge(machine, self._belief(machine, (), now), 0.0, now):
                changes.append(SpeedChange(machine, self._speeds[machine]))
            if now - self._evidence[machine].known_at > N_MEMORIES * self._cfg.memory:
                del self._evidence[machine], self._speeds[machine]
        return changes

    @property
    def n_slow(self) -> int:
        """Return the number of slow machines."""
        return sum(estimate.is_slow for estimate in self._speeds.values())

    def _entry(self, machine: str, now: timedelta) -> _Evidence:
        entry = self._evidence.get(machine)
        if entry is None:
            entry = self._evidence[machine] = _Evidence(now)
        return entry

    def _fading(self, entry: _Evidence, now: timedelta) -> float:
        return math.exp(-((now - entry.known_at) / self._cfg.memory))

    def _belief(
        self, machine: str, running: Sequence[Excess], now: timedelta
    ) -> list[float]:
        """Return the probability of each value of a machine's slowness."""
        entry = self._entry(machine, now)
        fading = self._fading(entry, now)
        logs = [
            prior + fading * weight
            for prior, weight in zip(PRIOR, entry.weights, strict=True)
        ]
        n_by_step: Counter[Hashable] = Counter()
        for excess in running:
            share = 1.0
            if excess.is_shared:
                share = REPEATED_WEIGHT ** n_by_step[excess.step]
                n_by_step[excess.step] += 1
            for number, step in enumerate(STEPS):
                survival = _survival((excess.log_ratio - step) / excess.deviation)
                if survival > 0.99:
                    break
                logs[number] += share * math.log(max(survival, MIN_SURVIVAL))
        best = max(logs)
        shares = [math.exp(value - best) for value in logs]
        total = sum(shares)
        return [share / total for share in shares]

    def _judge(
        self, machine: str, belief: list[float], usual: float, now: timedelta
    ) -> bool:
        """Estimate the speed of a machine; return whether it is slow or normal anew."""
        entry = self._evidence[machine]
        bound = usual + self._log_slow
        chance = sum(p for p, step in zip(belief, STEPS, strict=True) if step >= bound)
        mean = _mean(belief)
        variance = sum(
            p * (step - mean) ** 2 for p, step in zip(belief, STEPS, strict=True)
        )
        while entry.ends and now - entry.ends[0].at > self._cfg.memory:
            entry.ends.popleft()
        success = self._success(machine, entry)
        was_slow = entry.is_slow
        is_failing = success < self._cfg.slow_below
        is_late = chance >= (NORMAL_BELOW if was_slow else SLOW_FROM)
        entry.is_slow = is_failing or is_late
        pace = math.exp(-max(0.0, mean - usual)) if is_late else 1.0
        if entry.is_slow and not was_slow:
            entry.started_at = now
        self._speeds[machine] = MachineSpeed(
            speed=pace * success,
            error=math.sqrt(variance),
            success=success,
            is_slow=entry.is_slow,
            n_results=entry.n_results,
            known_at=entry.known_at,
        )
        return entry.is_slow is not was_slow

    def _success(self, machine: str, entry: _Evidence) -> float:
        """Return how often runs succeed on a machine, against the same steps elsewhere.

        It is 1 unless runs of two jobs have failed there, and significantly more than
        elsewhere.
        """
        if len({end.job for end in entry.ends if end.has_failed}) < 2:
            return 1.0
        expected = variance = 0.0
        for end in entry.ends:
            chance = self._failure_chance(machine, end)
            expected += chance
            variance += chance * (1 - chance)
        n_failed = sum(end.has_failed for end in entry.ends)
        if n_failed <= expected + N_DEVIATIONS * math.sqrt(variance):
            return 1.0
        n_ends = len(entry.ends)
        # One failure more and one less keep single ones from deciding.
        return min(1.0, (n_ends - n_failed + 1) / (n_ends - expected + 1))

    def _failure_chance(self, machine: str, end: _End) -> float:
        """Return how often runs of the same step fail on other machines."""
        n_done, n_failed = self._queue_ends[end.queue]
        # The queue counts as two runs of the step, and never as free of failures.
        chance = max(0.02, n_failed / (n_done + n_failed))
        n_elsewhere, n_failed_elsewhere = 2.0, 2 * chance
        for (other, has_failed), count in self._step_ends.get(end.step, {}).items():
            if other != machine:
                n_elsewhere += count
                n_failed_elsewhere += count * has_failed
        return min(0.98, n_failed_elsewhere / n_elsewhere)


def _mean(belief: Sequence[float]) -> float:
    return sum(p * step for p, step in zip(belief, STEPS, strict=True))


def _survival(deviations: float) -> float:
    """Return the probability that a normal variable is above a value."""
    return math.erfc(deviations / math.sqrt(2)) / 2
