"""Trial of waits for the rack of a task's data, in simulated time.

    python -m scripts.measure_locality

The placement rounds of the leader place tasks of one core on 8 VMs of 8 cores in four
racks. Each row has the means over two seeds. It prints the table of
docs/design/locality.md.
"""

import heapq
import math
import random
import statistics
from collections.abc import Iterator
from datetime import timedelta
from unittest import mock

from tests.support_scheduling import (
    FakeEndpoint,
    FakeTerm,
    make_agent,
    make_state,
    make_vm,
)

from redwingslip.clock import ManualClock
from redwingslip.jobs import (
    Amounts,
    EndKind,
    JobSpec,
    Plan,
    Pool,
    Queue,
    RecordEnds,
    ReplacePlan,
    RunEnd,
    StartRuns,
    StepSpec,
    SubmitJob,
    TaskKey,
)
from redwingslip.placement import LocalitySettings, RackWait, RackWaits
from redwingslip.scheduling import MachineRegistry
from redwingslip.scheduling._job_index import JobIndex
from redwingslip.scheduling._locality import RackLocality
from redwingslip.scheduling._rounds import PlacementRounds
from redwingslip.workers import RunTimeModel, RunTimeSettings, StepKey

MS = timedelta(milliseconds=1)
STEP_MS = 20
ARRIVALS_MS = 15_000
N_RACKS, VMS_PER_RACK, CORES = 4, 2, 8
MEAN_MS, SIGMA = 1000, 0.5
STRETCH, TARGET_MS = 1.5, 2000
BURST_CYCLE_MS, BURST_MS, BURST_FACTOR = 9000, 1800, 5
SEEDS = (1, 2)
LOADS = ((0.8, "even"), (1.0, "even"), (0.7, "skewed"), (0.45, "bursts"))
POLICIES = ("no wait", "fixed 300", "fixed 1000", "estimate")
PLAN = Plan(
    version=2,
    queues=(
        Queue(
            name="q",
            host="h",
            path_prefix="/q/",
            pool="p",
            stretch=STRETCH,
            target_latency_ms=TARGET_MS,
        ),
    ),
    pools=(Pool(name="p"),),
)


def arrivals(seed: int, load: float, kind: str) -> Iterator[tuple[float, float, str]]:
    """Yield the time in ms, the run time in its rack and the rack of each task."""
    rnd = random.Random(seed)
    rate = load * N_RACKS * VMS_PER_RACK * CORES / MEAN_MS
    at_ms = 0.0
    while at_ms < ARRIVALS_MS:
        if kind == "bursts" and at_ms % BURST_CYCLE_MS >= BURST_MS:
            at_ms += BURST_CYCLE_MS - at_ms % BURST_CYCLE_MS
            continue
        at_ms += rnd.expovariate(rate * (BURST_FACTOR if kind == "bursts" else 1))
        run_ms = rnd.lognormvariate(math.log(MEAN_MS) - SIGMA**2 / 2, SIGMA)
        position = rnd.random() ** (2 if kind == "skewed" else 1)
        yield at_ms, run_ms, f"r{int(position * N_RACKS)}"


class Simulation:
    """A pool with one policy; see `arrivals` for the parameters."""

    def __init__(self, policy: str, penalty: float, seed: int) -> None:
        vms = [
            make_vm(
                f"v{number}",
                capacity=Amounts(CORES * 1000, 10**6),
                labels=("a", f"r{number % N_RACKS}"),
            )
            for number in range(N_RACKS * VMS_PER_RACK)
        ]
        self.state = make_state(*vms)
        self.state.apply(ReplacePlan(plan=PLAN))
        self.labels = {vm.vm_id: vm.labels for vm in vms}
        self.penalty = penalty
        self.rnd = random.Random(seed)
        self.clock = ManualClock()
        self.clock.advance(timedelta(seconds=100))
        self.term = FakeTerm(self.state, self.clock)
        self.agents = {v.vm_id: make_agent(v, FakeEndpoint(), self.term) for v in vms}
        for agent in self.agents.values():
            agent._has_renewed_lease = True
        machines = MachineRegistry(self.term, self.agents, takeover_delay=0 * MS)
        self.run_times = RunTimeModel(RunTimeSettings(), remote_penalty=penalty)
        self.job_index = JobIndex(self.state)
        locality = RackLocality(
            term=self.term,
            machines=machines,
            run_times=self.run_times,
            arriving=lambda pool: (),
            cfg=LocalitySettings(remote_penalty=penalty),
        )
        self.rounds = PlacementRounds(
            term=self.term,
            machines=machines,
            job_index=self.job_index,
            advice=None,
            locality=None if policy == "no wait" else locality,
        )
        # Of each job: acceptance, run time in its rack, rack.
        self.jobs: dict[str, tuple[int, float, str]] = {}
        self.ends: list[tuple[float, str, str, float]] = []
        # Of each job that has ended: duration, whether in time, whether remote.
        self.results: list[tuple[float, bool, bool]] = []

    def submit(self, run_ms: float, rack: str) -> None:
        """Accept a job of one task, whose estimate is off by a factor of up to e."""
        job_id = f"j{len(self.jobs)}"
        estimate_ms = max(1, int(run_ms * math.exp(self.rnd.uniform(-1, 1))))
        step = StepSpec(
            n_tasks=1, need=Amounts(1000, 1), estimate_ms=estimate_ms, data_rack=rack
        )
        spec = JobSpec(job_id=job_id, queue="q", pool="p", steps=(step,))
        now_ms = self.term.now_ms()
        self.state.apply(SubmitJob(spec=spec, now_ms=now_ms))
        self.job_index.refresh_job(job_id)
        self.jobs[job_id] = (now_ms, run_ms, rack)

    def advance(self) -> None:
        """End the runs that are due after one step of time, and place tasks."""
        self.clock.advance(STEP_MS * MS)
        for agent in self.agents.values():
            agent.lease.note_contact(self.clock.monotonic())
        now_ms = self.term.now_ms()
        while self.ends and self.ends[0][0] <= now_ms:
            self.end(*heapq.heappop(self.ends)[1:])
        starts = self.rounds.decide()
        for run in self.state.apply(StartRuns(starts=starts, now_ms=now_ms)):
            job_id = run.key.job_id
            _, run_ms, rack = self.jobs[job_id]
            run_ms *= 1 if rack in self.labels[run.vm_id] else self.penalty
            heapq.heappush(self.ends, (now_ms + run_ms, job_id, run.vm_id, run_ms))
            self.job_index.refresh_job(job_id)

    def end(self, job_id: str, vm_id: str, run_ms: float) -> None:
        """Record the end of a run."""
        ends = (RunEnd(TaskKey(job_id, 0, 0, 0), 1, EndKind.DONE),)
        now_ms = self.term.now_ms()
        command = RecordEnds(vm_id=vm_id, born_ms=1, ends=ends, now_ms=now_ms, cursor=0)
        self.state.apply(command)
        self.job_index.refresh_job(job_id)
        accepted_ms, near_ms, rack = self.jobs[job_id]
        is_remote = rack not in self.labels[vm_id]
        self.run_times.record(
            StepKey(job_id, 0, 0),
            queue="q",
            vm_id=vm_id,
            estimate=self.state.jobs[job_id].spec.steps[0].estimate_ms * MS,
            run_time=run_ms * MS,
            is_remote=is_remote,
        )
        took_ms = now_ms - accepted_ms
        in_time = took_ms <= STRETCH * near_ms + TARGET_MS
        self.results.append((took_ms, in_time, is_remote))


def fixed_wait(wait_ms: float):
    """Return a replacement of the decision of `RackWaits` with a fixed wait."""

    def decide(self: RackWaits, tasks, opening) -> bool:
        times = self._outlook.times_of(tasks[0])
        until_ms = times.begun_ms + wait_ms
        if self._now_ms >= until_ms:
            return False
        rack = tasks[0].step.data_rack
        self.deferred.update(task.key for task in tasks)
        self.waits[tasks[0].key] = RackWait(rack, times.begun_ms, until_ms, 0.0, 0.0)
        return True

    return decide


def simulate(policy: str, penalty: float, load: float, kind: str, seed: int) -> tuple:
    """Return the shares in time and of remote runs, and the mean duration in ms."""
    decision = RackWaits._wait
    if policy.startswith("fixed"):
        decision = fixed_wait(float(policy.split()[1]))
    simulation = Simulation(policy, penalty, seed)
    begin_ms = simulation.term.now_ms()
    with mock.patch.object(RackWaits, "_wait", decision):
        for at_ms, run_ms, rack in arrivals(seed, load, kind):
            while simulation.term.now_ms() - begin_ms < at_ms:
                simulation.advance()
            simulation.submit(run_ms, rack)
        while len(simulation.results) < len(simulation.jobs):
            simulation.advance()
    durations, in_time, remote = zip(*simulation.results, strict=True)
    return tuple(statistics.mean(values) for values in (in_time, remote, durations))


def main() -> None:
    """Print the table."""
    print("| penalty | load | | in time | mean, ms | remote runs |")
    print("|---|---|---|---|---|---|")
    for penalty in (1.5, 3.0):
        for load, kind in LOADS:
            for policy in POLICIES:
                runs = [simulate(policy, penalty, load, kind, seed) for seed in SEEDS]
                means = [statistics.mean(values) for values in zip(*runs, strict=True)]
                in_time, remote, mean_ms = means
                row = f"{in_time:.3f} | {mean_ms:.0f} | {remote:.3f}"
                print(f"| {penalty} | {load} {kind} | {policy} | {row} |", flush=True)


if __name__ == "__main__":
    main()
