"""Measure what a leader of jobs spends: time of a round, bytes of a job and a task.

Nothing is sent: agents and terms are the fakes of the tests, and the deciding parts are
those of the daemons. Each figure is taken at four sizes; the printed slope is that of
the line fitted through them.
"""

import pathlib
import statistics
import sys
import time
from collections.abc import Callable
from datetime import timedelta

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "src")]

from tests.support_scheduling import (  # noqa: E402
    FakeEndpoint,
    FakeTerm,
    make_agent,
    make_job,
    make_state,
    make_vm,
)

from redwingslip.jobs import (  # noqa: E402
    Amounts,
    JobsState,
    RunStart,
    StartRuns,
    SubmitJob,
    TaskKey,
)
from redwingslip.placement import ArrivalTrend  # noqa: E402
from redwingslip.scheduling import LeaderPolicy, MachineRegistry, MoveManager  # noqa: E402
from redwingslip.scheduling._advice import AdviceCache  # noqa: E402
from redwingslip.scheduling._job_index import JobIndex  # noqa: E402
from redwingslip.scheduling._rounds import PlacementRounds  # noqa: E402

N_VMS = (85, 170, 340, 680)
N_JOBS = (500, 1_000, 2_000, 4_000)
RUNS_PER_VM = 8
WAITING = 20
N_REPEATS = 15
CAPACITY = Amounts(32_000, 65_536)


class Leader:
    """A leader's deciding parts over VMs that each run some tasks."""

    def __init__(self, n_vms: int) -> None:
        vms = [make_vm(f"v{i:03}", capacity=CAPACITY) for i in range(n_vms)]
        jobs = [make_job(f"r{i:03}", n_tasks=RUNS_PER_VM) for i in range(n_vms)]
        self.state = make_state(*vms, jobs=jobs)
        for i in range(n_vms):
            starts = tuple(
                RunStart(TaskKey(f"r{i:03}", 0, 0, index), f"v{i:03}", 1)
                for index in range(RUNS_PER_VM)
            )
            self.state.apply(StartRuns(starts=starts, now_ms=1))
        self.state.apply(SubmitJob(spec=make_job("new", n_tasks=WAITING), now_ms=1))
        term = FakeTerm(self.state)
        agents = {}
        for vm in vms:
            agent = make_agent(vm, FakeEndpoint(), term)
            agent._has_renewed_lease = True
            agents[vm.vm_id] = agent
        cfg = LeaderPolicy()
        machines = MachineRegistry(term, agents, takeover_delay=timedelta(0))
        advice = AdviceCache(
            adviser=None,
            candidates=lambda pool: (),
            clock=term.clock,
            events=term.events,
            on_advice=lambda: None,
            cfg=cfg.advice,
        )
        job_index = JobIndex(self.state)
        self.rounds = PlacementRounds(
            term=term, machines=machines, job_index=job_index, advice=advice
        )
        self.moves = MoveManager(
            term=term,
            machines=machines,
            operations=None,
            backlog=self.rounds.backlog,
            cfg=cfg,
            trend=ArrivalTrend(cfg.arrivals),
        )


def milliseconds(work: Callable[[], object]) -> float:
    """Return the median processor time of some work."""
    times = []
    for _ in range(N_REPEATS):
        began_at = time.process_time()
        work()
        times.append((time.process_time() - began_at) * 1e3)
    return statistics.median(times)


def report(name: str, unit: str, sizes: tuple[int, ...], values: list[float]) -> None:
    """Print values at some sizes and the slope of the line through them."""
    line = statistics.linear_regression(sizes, values)
    shown = ", ".join(f"{value:.2f}" for value in values)
    print(
        f"{name}: {shown} {unit} at {sizes}; slope {line.slope:.5f}, "
        f"intercept {line.intercept:.2f}"
    )


def measure_rounds() -> None:
    """Print the time of a round of placement and of a look at the pools."""
    leaders = [Leader(n_vms) for n_vms in N_VMS]
    rounds = [milliseconds(leader.rounds.decide) for leader in leaders]
    report(f"round, {WAITING} tasks waiting", "ms", N_VMS, rounds)
    looks = [milliseconds(leader.moves._plan_moves) for leader in leaders]
    report("look at the pools", "ms", N_VMS, looks)


def measure_state() -> None:
    """Print bytes and time of snapshots with jobs that have ended or not."""
    sizes, takes, restores = [], [], []
    for n_jobs in N_JOBS:
        jobs = [make_job(f"j{i:05}", n_tasks=RUNS_PER_VM) for i in range(n_jobs)]
        state = make_state(jobs=jobs)
        data = state.snapshot()
        sizes.append(len(data) / 1000)
        takes.append(milliseconds(state.snapshot))
        restores.append(milliseconds(lambda data=data: JobsState().restore(data)))
    report(f"snapshot, {RUNS_PER_VM} tasks a job", "kB", N_JOBS, sizes)
    report("taking it", "ms", N_JOBS, takes)
    report("restoring it", "ms", N_JOBS, restores)


def main() -> None:
    """Print the figures."""
    measure_rounds()
    measure_state()


if __name__ == "__main__":
    main()
