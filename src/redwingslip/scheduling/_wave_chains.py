"""Which machines of a wave have to be cordoned early to finish it in time.

The tasks of a step with a disruption budget leave their machines a few at a time. A
wave over many machines of such a step therefore takes one round after another, no
matter how many machines it may cordon at once.
"""

import math
from collections import Counter
from collections.abc import Container, Iterable
from datetime import timedelta

import msgspec

__all__ = ["StepChain", "critical_machines"]

# Short tasks drain from a cordoned machine while the tasks before them move, so the
# machines of the round after the current one are cordoned as well.
ROUNDS_AHEAD = 2


class StepChain(msgspec.Struct, frozen=True):
    """The tasks of a step that a wave has yet to end or move.

    Attributes
    ----------
    budget : int
        Disruption budget of the step, greater than 0.
    n_tasks : Counter
        Number of its tasks by machine, for the machines that the wave has yet to
        maintain.
    """

    budget: int
    n_tasks: Counter[str]

    def duration(self, round_time: timedelta) -> timedelta:
        """Return the time that the tasks need if `budget` of them move per round."""
        return math.ceil(self.n_tasks.total() / self.budget) * round_time


def critical_machines(
    chains: Iterable[StepChain],
    *,
    cordoned: Container[str],
    remaining: timedelta,
    round_time: timedelta,
    critical_share: float,
) -> list[str]:
    """Return the machines to cordon next, so that no chain of rounds is interrupted.

    Parameters
    ----------
    chains : iterable of StepChain
        The steps with tasks on machines that have yet to be maintained.
    cordoned : container of str
        Machines that are cordoned already.
    remaining : timedelta
        Time until the wave has to be finished.
    round_time : timedelta
        Time from the stop of a task until it is at work on another VM.
    critical_share : float
        A chain is critical if it takes more than this share of the remaining time.

    Returns
    -------
    list of str
        Machines of critical chains, those of the longest chain first. The cordoned
        machines and these have enough tasks of each critical step for
        `ROUNDS_AHEAD` rounds.
    """
    critical = [
        chain
        for chain in chains
        if chain.duration(round_time) > critical_share * remaining
    ]
    critical.sort(key=lambda chain: chain.duration(round_time), reverse=True)
    weights: Counter[str] = sum((chain.n_tasks for chain in critical), Counter())
    chosen: list[str] = []
    for chain in critical:
        n_wanted = ROUNDS_AHEAD * chain.budget
        n_wanted -= sum(
            n
            for machine, n in chain.n_tasks.items()
            if machine in cordoned or machine in chosen
        )
        # A machine with tasks of several critical steps advances all of them.
        for machine in sorted(chain.n_tasks, key=lambda name: (-weights[name], name)):
            if n_wanted <= 0:
                break
            if machine in cordoned or machine in chosen:
                continue
            chosen.append(machine)
            n_wanted -= chain.n_tasks[machine]
    return chosen
