"""Measure the leader's costs of jobs: time of a placement round, size of snapshots.

Nothing is sent: agents and terms are the test doubles of the test suite, while the
decision logic is that of the daemons. Each quantity is measured at four sizes; the
printed slope is that of the least-squares line.
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
N_RUNS_PER_VM = 8
N_WAITING = 20
N_REPEATS = 15
CAPACITY = Amounts(32_000, 65_536)


class Leader:
    """A leader's decision logic over VMs that each run `N_RUNS_PER_VM` tasks.

    One more job with `N_WAITING` tasks is submitted, and its tasks wait for placement.
    """

    def __init__(self, n_vms: int) -> None:
        vms = [make_vm(f"v{i:03}", capacity=CAPACITY) for i in range(n_vms)]
        jobs = [make_job(f"r{i:03}", n_tasks=N_RUNS_PER_VM) for i in range(n_vms)]
        self.state = make_state(*vms, jobs=jobs)
        for i in range(n_vms):
            starts = tuple(
                RunStart(TaskKey(f"r{i:03}", 0, 0, index), f"v{i:03}", 1)
                for index in range(N_RUNS_PER_VM)
            )
            self.state.apply(StartRuns(starts=starts, now_ms=1))
        self.state.apply(SubmitJob(spec=make_job("new", n_tasks=N_WAITING), now_ms=1))
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


def median_cpu_ms(work: Callable[[], object]) -> float:
    """Return the median processor time of `work` in ms."""
    times_ms = []
    for _ in range(N_REPEATS):
        began_at = time.process_time()
        work()
        times_ms.append((time.process_time() - began_at) * 1e3)
    return statistics.median(times_ms)


def print_figure(
    name: str, unit: str, sizes: tuple[int, ...], values: list[float]
) -> None:
    """Print sizes, values and the least-squares line through them."""
    line = statistics.linear_regression(sizes, values)
    points = ", ".join(f"{value:.2f}" for value in values)
    print(
        f"{name}: {points} {unit} at {sizes}; slope {line.slope:.5f}, "
        f"intercept {line.intercept:.2f}"
    )


def measure_rounds() -> None:
    """Print the time of a placement round and of planning moves between pools."""
    leaders = [Leader(n_vms) for n_vms in N_VMS]
    round_ms = [median_cpu_ms(leader.rounds.decide) for leader in leaders]
    print_figure(f"round, {N_WAITING} tasks waiting", "ms", N_VMS, round_ms)
    plan_ms = [median_cpu_ms(leader.moves._plan_moves) for leader in leaders]
    print_figure("planning of moves", "ms", N_VMS, plan_ms)


def measure_state() -> None:
    """Print the size of snapshots and the time to take and to restore them."""
    sizes_kb, take_ms, restore_ms = [], [], []
    for n_jobs in N_JOBS:
        jobs = [make_job(f"j{i:05}", n_tasks=N_RUNS_PER_VM) for i in range(n_jobs)]
        state = make_state(jobs=jobs)
        data = state.snapshot()
        sizes_kb.append(len(data) / 1000)
        take_ms.append(median_cpu_ms(state.snapshot))
        restore_ms.append(median_cpu_ms(lambda data=data: JobsState().restore(data)))
    print_figure(f"snapshot, {N_RUNS_PER_VM} tasks a job", "kB", N_JOBS, sizes_kb)
    print_figure("taking a snapshot", "ms", N_JOBS, take_ms)
    print_figure("restoring a snapshot", "ms", N_JOBS, restore_ms)


def main() -> None:
    """Run all measurements."""
    measure_rounds()
    measure_state()


if __name__ == "__main__":
    main()
