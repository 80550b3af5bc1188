"""When VMs will have room for a task, from the runs on them and places booked ahead."""

import math
from collections.abc import Iterable, Iterator, Sequence
from operator import attrgetter, itemgetter
from statistics import NormalDist
from typing import NamedTuple

from ..jobs import NO_AMOUNTS, Amounts

__all__ = [
    "Opening",
    "Release",
    "VmRoom",
    "book",
    "first_opening",
    "first_gang_opening",
    "remaining_ms",
]

# Probability that a run ends later than its late estimate: one standard deviation.
LATE_PROBABILITY = 0.16
# Run times that deviate less are known exactly for the purposes of placement.
MIN_DEVIATION = 0.05
# A run that has taken longer than all but this share of its kind is expected to take as
# long again, since the distribution says nothing so far out.
MIN_SURVIVAL = 1e-6
_NORMAL = NormalDist()


class Release(NamedTuple):
    """Capacity that becomes free, in ms from now.

    Attributes
    ----------
    at_ms, late_ms : float
        Expected time, and the time that is exceeded with `LATE_PROBABILITY`.
    amounts : Amounts
        The capacity.
    """

    at_ms: float
    late_ms: float
    amounts: Amounts


class Opening(NamedTuple):
    """The first time at which VMs have room for some tasks, in ms from now.

    Attributes
    ----------
    at_ms, late_ms : float
        As in `Release`.
    rooms : tuple of tuple of VmRoom, int
        The VMs, and the number of tasks that each takes.
    """

    at_ms: float
    late_ms: float
    rooms: tuple[tuple["VmRoom", int], ...]


def remaining_ms(
    run_ms: float, deviation: float, elapsed_ms: float
) -> tuple[float, float]:
    """Return for how long a run goes on, given how long it has taken.

    Run times are taken as log-normal.

    Parameters
    ----------
    run_ms : float
        Median of the run time, greater than 0.
    deviation : float
        Standard deviation of the logarithm of the run time.
    elapsed_ms : float
        Time since the start of the run.

    Returns
    -------
    tuple of float, float
        The expected time, and the time that is exceeded with `LATE_PROBABILITY`.
    """
    mean_log = math.log(run_ms)
    deviation = max(MIN_DEVIATION, deviation)
    elapsed_ms = max(1.0, elapsed_ms)
    position = (mean_log - math.log(elapsed_ms)) / deviation
    survival = _NORMAL.cdf(position)
    if survival < MIN_SURVIVAL:
        return elapsed_ms, 2 * elapsed_ms
    mean = math.exp(mean_log + deviation**2 / 2)
    expected = mean * _NORMAL.cdf(position + deviation) / survival
    late_log = mean_log - deviation * _NORMAL.inv_cdf(LATE_PROBABILITY * survival)
    return max(0.0, expected - elapsed_ms), max(0.0, math.exp(late_log) - elapsed_ms)


class VmRoom:
    """The free capacity of a VM over time.

    Places are booked in the order in which they begin: a place that is booked ends the
    use of all capacity before it.

    Parameters
    ----------
    labels : tuple of str
        Labels of the VM.
    free : Amounts
        Its free capacity from `at_ms` on.
    releases : iterable of Release
        Capacity that becomes free later.
    at_ms, late_ms : float
        When the VM serves, in ms from now, as in `Release`.
    """

    __slots__ = ("_at_ms", "_free", "_late_ms", "_releases", "labels")

    def __init__(
        self,
        *,
        labels: tuple[str, ...],
        free: Amounts,
        releases: Iterable[Release] = (),
        at_ms: float = 0.0,
        late_ms: float = 0.0,
    ) -> None:
        self.labels = labels
        self._free = free
        self._at_ms = at_ms
        self._late_ms = late_ms
        self._releases = sorted(releases, key=attrgetter("at_ms"))

    def opening(self, need: Amounts) -> Opening | None:
        """Return when the VM first has room for a task; None if that isn't known."""
        free, late_ms = self._free, self._late_ms
        if need.fits(free):
            return Opening(self._at_ms, late_ms, ((self, 1),))
        for release in self._releases:
            free = free + release.amounts
            late_ms = max(late_ms, release.late_ms)
            if need.fits(free):
                at_ms = max(self._at_ms, release.at_ms)
                return Opening(at_ms, late_ms, ((self, 1),))
        return None

    def growth(self) -> Iterator[tuple[float, Amounts]]:
        """Yield by how much its free capacity grows, and when in ms from now."""
        yield self._at_ms, self._free
        for release in self._releases:
            yield max(self._at_ms, release.at_ms), release.amounts

    def late_ms(self, at_ms: float) -> float:
        """Return the late estimate of the capacity that is free from `at_ms` on."""
        late_ms = [r.late_ms for r in self._releases if r.at_ms <= at_ms]
        return max(self._late_ms, *late_ms) if late_ms else self._late_ms

    def reserve(self, need: Amounts, release: Release | None) -> None:
        """Take capacity that a run has taken, up to the release if that is known."""
        self._free = self._free - need
        if release is not None:
            self._releases = sorted([*self._releases, release], key=attrgetter("at_ms"))

    def book(
        self, need: Amounts, opening: Opening, releases: Iterable[Release]
    ) -> None:
        """Take capacity from the time of an opening on, up to the releases."""
        for release in self._releases:
            if release.at_ms <= opening.at_ms:
                self._free = self._free + release.amounts
        later = [r for r in self._releases if r.at_ms > opening.at_ms]
        self._free = self._free - need
        self._at_ms, self._late_ms = opening.at_ms, opening.late_ms
        self._releases = sorted([*later, *releases], key=attrgetter("at_ms"))


def first_opening(rooms: Iterable[VmRoom], need: Amounts) -> Opening | None:
    """Return the first opening for one task on any of some VMs, or None."""
    openings = [room.opening(need) for room in rooms]
    known = [opening for opening in openings if opening is not None]
    return min(known, key=lambda opening: opening[:2], default=None)


def first_gang_opening(
    rooms: Sequence[VmRoom], need: Amounts, n_tasks: int, *, max_per_vm: int = 0
) -> Opening | None:
    """Return the first opening for all tasks of a gang at the same time, or None.

    Parameters
    ----------
    rooms : sequence of VmRoom
        The VMs that may take tasks of the gang.
    need : Amounts
        What each task needs.
    n_tasks : int
        Number of tasks.
    max_per_vm : int
        Maximum number of tasks on one VM; 0 for no limit.
    """
    limit = max_per_vm or n_tasks
    events = [
        (at_ms, index, amounts)
        for index, room in enumerate(rooms)
        for at_ms, amounts in room.growth()
    ]
    events.sort(key=itemgetter(0))
    free = [NO_AMOUNTS] * len(rooms)
    n_fitting = [0] * len(rooms)
    for at_ms, index, amounts in events:
        free[index] = free[index] + amounts
        n_fitting[index] = min(limit, free[index].n_fitting(need))
        if sum(n_fitting) >= n_tasks:
            chosen = _take(rooms, n_fitting, n_tasks)
            late_ms = max(room.late_ms(at_ms) for room, _ in chosen)
            return Opening(at_ms, max(at_ms, late_ms), chosen)
    return None


def _take(
    rooms: Sequence[VmRoom], n_fitting: Sequence[int], n_tasks: int
) -> tuple[tuple[VmRoom, int], ...]:
    """Return the VMs that take tasks, and how many each takes."""
    chosen = []
    for room, n_here in zip(rooms, n_fitting, strict=True):
        if n_here and n_tasks:
            chosen.append((room, min(n_here, n_tasks)))
            n_tasks -= chosen[-1][1]
    return tuple(chosen)


def book(opening: Opening, need: Amounts, run_ms: float, deviation: float) -> None:
    """Book the places of an opening for tasks with a run time, see `remaining_ms`."""
    expected_ms, late_ms = remaining_ms(run_ms, deviation, 0.0)
    for room, n_here in opening.rooms:
        taken = need.times(n_here)
        release = Release(opening.at_ms + expected_ms, opening.late_ms + late_ms, taken)
        room.book(taken, opening, (release,))
