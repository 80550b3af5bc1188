"""Trial of learned speeds of VMs, in simulated time.

    python -m scripts.measure_speeds

The placement rounds of the leader place jobs on 12 VMs of 8 cores, a third of which may
be four times slower. It prints the table of docs/design/speeds.md. The load is work
against what the VMs can do, slow ones counted by their speed.
"""

import heapq
import math
import random
import statistics
import sys
import time
from collections.abc import Iterator
from datetime import timedelta

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
    ForgetJobs,
    JobSpec,
    JobStatus,
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
from redwingslip.scheduling import MachineRegistry
from redwingslip.scheduling._job_index import JobIndex
from redwingslip.scheduling._rounds import PlacementRounds
from redwingslip.scheduling._speeds import VmSpeeds
from redwingslip.workers import (
    RunTimeModel,
    RunTimeSettings,
    SpeedSettings,
    StepKey,
)

MS = timedelta(milliseconds=1)
STEP_MS = 50
ARRIVALS_MS = 40_000
N_VMS, CORES, SLOWNESS = 12, 8, 4
MEAN_MS, SIGMA, N_TASKS = 600, 0.6, 4
STRETCH, TARGET_MS = 1.5, 2000
SEEDS = (1, 2, 3, 4, 5, 6)
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


def arrivals(seed: int, rate: float) -> Iterator[tuple[float, list[list[float]]]]:
    """Yield the time in ms of each job, and the run times of its steps' tasks."""
    rnd = random.Random(seed)
    at_ms = 0.0
    while at_ms < ARRIVALS_MS:
        at_ms += rnd.expovariate(rate)
        n_steps = rnd.choice((1, 1, 2))
        steps = []
        for _ in range(n_steps):
            usual = rnd.lognormvariate(math.log(MEAN_MS) - SIGMA**2 / 2, SIGMA)
            n_tasks = rnd.randint(1, 2 * N_TASKS - 1)
            steps.append([usual * rnd.lognormvariate(0, 0.15) for _ in range(n_tasks)])
        yield at_ms, steps


class Simulation:
    """A pool of VMs; `slow` are the indices of those that are slow."""

    def __init__(
        self,
        slow: set[int],
        seed: int,
        *,
        enabled: bool,
        n_vms: int = N_VMS,
        cores: int = CORES,
    ) -> None:
        vms = [
            make_vm(f"v{number}", capacity=Amounts(cores * 1000, 10**6))
            for number in range(n_vms)
        ]
        self.state = make_state(*vms)
        self.state.apply(ReplacePlan(plan=PLAN))
        self.slow = {f"v{number}" for number in slow}
        self.rnd = random.Random(seed)
        self.clock = ManualClock()
        self.clock.advance(timedelta(seconds=100))
        self.term = FakeTerm(self.state, self.clock)
        self.events: list[tuple[float, str, str]] = []
        self.term.emit = lambda name, **fields: self.events.append(
            (self.term.now_ms(), name.value, fields.get("vm", ""))
        )
        self.agents = {v.vm_id: make_agent(v, FakeEndpoint(), self.term) for v in vms}
        for agent in self.agents.values():
            agent._has_renewed_lease = True
        self.run_times = RunTimeModel(RunTimeSettings())
        self.job_index = JobIndex(self.state)
        self.speeds = None
        if enabled:
            self.speeds = VmSpeeds(
                term=self.term,
                agents=self.agents,
                run_times=self.run_times,
                cfg=SpeedSettings(enabled=True),
            )
        machines = MachineRegistry(self.term, self.agents, takeover_delay=0 * MS)
        self.rounds = PlacementRounds(
            term=self.term,
            machines=machines,
            job_index=self.job_index,
            advice=None,
            speeds=self.speeds,
        )
        self.jobs: dict[str, tuple[int, list[list[float]]]] = {}
        self.ends: list[tuple[float, TaskKey, int, str, float]] = []
        self.results: list[tuple[float, bool]] = []
        self.cpu_s = 0.0

    def submit(self, steps: list[list[float]]) -> None:
        """Accept a job; the estimate of each step is off by a factor of up to e."""
        job_id = f"j{len(self.jobs)}"
        specs = tuple(
            StepSpec(
                n_tasks=len(tasks),
                need=Amounts(1000, 1),
                estimate_ms=int(tasks[0] * math.exp(self.rnd.uniform(-1, 1))) + 1,
                after=(number - 1,) if number else (),
            )
            for number, tasks in enumerate(steps)
        )
        spec = JobSpec(job_id=job_id, queue="q", pool="p", steps=specs)
        now_ms = self.term.now_ms()
        self.state.apply(SubmitJob(spec=spec, now_ms=now_ms))
        self.job_index.refresh_job(job_id)
        self.jobs[job_id] = (now_ms, steps)

    def advance(self) -> None:
        """End the runs that are due after one step of time, and place tasks."""
        self.clock.advance(STEP_MS * MS)
        for agent in self.agents.values():
            agent.lease.note_contact(self.clock.monotonic())
        now_ms = self.term.now_ms()
        while self.ends and self.ends[0][0] <= now_ms:
            self.end(*heapq.heappop(self.ends)[1:])
        began = time.process_time()
        starts = self.rounds.decide()
        self.cpu_s += time.process_time() - began
        for run in self.state.apply(StartRuns(starts=starts, now_ms=now_ms)):
            run_ms = self.jobs[run.key.job_id][1][run.key.step][run.key.index]
            run_ms *= SLOWNESS if run.vm_id in self.slow else 1
            entry = (now_ms + run_ms, run.key, run.number, run.vm_id, run_ms)
            heapq.heappush(self.ends, entry)
            sender = self.agents[run.vm_id]._sender
            sender.started_at[run.key, run.number] = self.clock.monotonic()
            self.job_index.refresh_job(run.key.job_id)

    def end(self, key: TaskKey, number: int, vm_id: str, run_ms: float) -> None:
        """Record the end of a run."""
        now, now_ms = self.clock.monotonic(), self.term.now_ms()
        job = self.state.jobs[key.job_id]
        started_at = self.agents[vm_id]._sender.started_at.pop((key, number), None)
        run_time, speed = run_ms * MS, 1.0
        if started_at is None:
            self.speeds.learn_inherited(key, self.state.run(key, number), now)
        else:
            if self.speeds is not None:
                speed = self.speeds.learn(key, vm_id=vm_id, run_time=run_time, now=now)
            self.run_times.record(
                StepKey(*key[:3]),
                queue="q",
                vm_id=vm_id,
                estimate=job.spec.steps[key.step].estimate_ms * MS,
                run_time=run_time,
                speed=speed,
            )
        ends = (RunEnd(key, number, EndKind.DONE),)
        command = RecordEnds(vm_id=vm_id, born_ms=1, ends=ends, now_ms=now_ms, cursor=0)
        self.state.apply(command)
        self.job_index.refresh_job(key.job_id)
        if job.status is JobStatus.COMPLETED:
            accepted_ms, steps = self.jobs[key.job_id]
            took_ms = now_ms - accepted_ms
            path_ms = sum(max(tasks) for tasks in steps)
            self.results.append((took_ms, took_ms <= STRETCH * path_ms + TARGET_MS))
            self.state.apply(ForgetJobs(job_ids=(key.job_id,)))
            self.run_times.forget_job(key.job_id)


def simulate(n_slow: int, load: float, seed: int, *, enabled: bool) -> tuple:
    """Return the share of jobs in time, their mean duration in ms, and more."""
    simulation = Simulation(set(range(n_slow)), seed, enabled=enabled)
    capacity = CORES * (N_VMS - n_slow + n_slow / SLOWNESS)
    rate = load * capacity / (MEAN_MS * N_TASKS * 4 / 3)
    begin_ms = simulation.term.now_ms()
    for at_ms, steps in arrivals(seed, rate):
        while simulation.term.now_ms() - begin_ms < at_ms:
            simulation.advance()
        simulation.submit(steps)
    while len(simulation.results) < len(simulation.jobs):
        simulation.advance()
    durations, in_time = zip(*simulation.results, strict=True)
    found = [vm for _, name, vm in simulation.events if name == "vm.slow"]
    n_false = sum(vm not in simulation.slow for vm in found)
    if "-v" in sys.argv:
        print(simulation.events[:40], simulation.cpu_s)
    return (
        statistics.mean(in_time),
        statistics.mean(durations),
        len({vm for vm in found if vm in simulation.slow}),
        n_false,
    )


def measure_round(*, enabled: bool) -> tuple[float, float]:
    """Return the CPU time of a round and of an estimate in ms, the best of five.

    1,000 tasks wait for 150 VMs of 64 cores, a third of which is slow; each runs 16
    tasks.
    """
    simulation = Simulation(set(range(50)), 1, enabled=enabled, n_vms=150, cores=64)
    for _ in range(600):
        simulation.submit([[1000.0] * 4])
    for _ in range(200):
        simulation.advance()
        if simulation.results:
            for _ in range(600 - len(simulation.jobs) + len(simulation.results)):
                simulation.submit([[1000.0] * 4])
    for _ in range(1000):
        simulation.submit([[1000.0]])
    durations, estimates = [], []
    for _ in range(5):
        began = time.process_time()
        if enabled:
            simulation.speeds._estimate(simulation.clock.monotonic())
        estimates.append(time.process_time() - began)
        began = time.process_time()
        simulation.rounds.decide()
        durations.append(time.process_time() - began)
    return 1000 * min(durations), 1000 * min(estimates)


def main() -> None:
    """Print the table."""
    for enabled in (False, True):
        round_ms, estimate_ms = measure_round(enabled=enabled)
        print(f"round {round_ms:.1f} ms, estimate {estimate_ms:.1f} ms, {enabled=}")
    print("| VMs | load | speeds | in time | mean, ms | slow found | false |")
    print("|---|---|---|---|---|---|---|")
    for n_slow in (N_VMS // 3, 0, N_VMS):
        for load in (0.5, 0.9):
            for enabled in (False, True):
                runs = [simulate(n_slow, load, s, enabled=enabled) for s in SEEDS]
                means = [statistics.mean(values) for values in zip(*runs, strict=True)]
                in_time, mean_ms, n_found, n_false = means
                row = f"{in_time:.3f} | {mean_ms:.0f} | {n_found:.1f} | {n_false:.1f}"
                name = f"{n_slow} of {N_VMS} slow"
                state = "on" if enabled else "off"
                print(f"| {name} | {load} | {state} | {row} |", flush=True)


if __name__ == "__main__":
    main()
