"""The speeds of VMs during one term: evidence, events and metrics."""

import itertools
import math
from collections import defaultdict
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Protocol

from ..jobs import (
    ActiveRun,
    EndKind,
    JobsState,
    RunEnd,
    RunRecord,
    RunStart,
    StepSpec,
    TaskKey,
    VmRecord,
)
from ..observe import EventName
from ..placement import CandidateVm, Urgency, WaitingTask, is_far
from ..workers import (
    Excess,
    MachineSpeed,
    RunTimeModel,
    SpeedModel,
    SpeedSettings,
    StepKey,
)
from ._job_index import critical_path_ms
from ._term import Term

__all__ = ["VmSpeeds"]

MS = timedelta(milliseconds=1)
# Of the runs that go on, at most this many of a VM are judged. All 2,400 of 150 VMs
# took 31 ms.
MAX_RUNS = 8
# A slow VM may take this share of a job's slack; the rest is for waits of later steps.
MAX_SLACK_SHARE = 0.25
# Without learned run times, estimates are off by a factor of up to e (platform
# contract): the standard deviation of a logarithm that is evenly spread over [-1, 1].
UNKNOWN_DEVIATION = 1 / math.sqrt(3)


class JudgedVm(Protocol):
    """What the estimates need of the leader's agent for a VM."""

    vm: VmRecord

    @property
    def is_responsive(self) -> bool:
        """Return whether the VM answered the last poll."""

    def is_serving(self, now: timedelta) -> bool:
        """Return whether this VM could take runs, evacuations left aside."""

    def started_at(self, key: TaskKey, number: int) -> timedelta | None:
        """Return when this leader saw a run start from the beginning, or None."""


class VmSpeeds:
    """Learns the speeds of VMs from their runs; nothing of it is in the log.

    A speed belongs to the machine of a VM, as the VM ends with each move between pools.

    Parameters
    ----------
    term : Term
        The term of this leader.
    agents : mapping of str to JudgedVm
        The leader's agents by VM.
    run_times : RunTimeModel
        Learned run times.
    cfg : SpeedSettings
        The settings.
    """

    __slots__ = (
        "_agents",
        "_cfg",
        "_has_failed",
        "_model",
        "_n_slow",
        "_next_at",
        "_reported",
        "_run_times",
        "_started_ms",
        "_state",
        "_term",
    )

    def __init__(
        self,
        *,
        term: Term,
        agents: Mapping[str, JudgedVm],
        run_times: RunTimeModel,
        cfg: SpeedSettings,
    ) -> None:
        self._term = term
        self._state: JobsState = term.state
        self._agents = agents
        self._run_times = run_times
        self._cfg = cfg
        self._model = SpeedModel(cfg)
        self._next_at = term.started_at
        self._started_ms = term.now_ms()
        # The VM of each slow machine, as the log knows it.
        self._reported: dict[str, str] = {}
        self._n_slow = 0
        self._has_failed = False

    def speed(self, vm_id: str) -> float:
        """Return the speed of a VM that is slow, and 1 for any other."""
        if not self._n_slow or vm_id not in self._agents:
            return 1.0
        return self._model.speed(self._machine_of(vm_id))

    def speed_of_machine(self, machine: str) -> float:
        """Return the speed of a slow machine, and 1 for any other."""
        return self._model.speed(machine) if self._n_slow else 1.0

    def estimate(self, vm_id: str) -> MachineSpeed | None:
        """Return what is known of a VM; None if nothing is."""
        return self._model.estimate(self._machine_of(vm_id))

    def learn(
        self, key: TaskKey, *, vm_id: str, run_time: timedelta, now: timedelta
    ) -> float:
        """Compare the run time of a run that was carried out with the expected one.

        Return the speed that the VM was known to have.

        Parameters
        ----------
        key : TaskKey
            The task.
        vm_id : str
            The VM that carried it out.
        run_time : timedelta
            Time from its start to its end.
        now : timedelta
            Monotonic time.
        """
        try:
            excess = self._excess(key, vm_id, run_time)
            speed = self.speed(vm_id)
            if excess is not None:
                self._model.record(self._machine_of(vm_id), excess, now)
        except Exception as exc:
            self._report_error(exc)
            return 1.0
        return speed

    def learn_inherited(
        self, key: TaskKey, run: RunRecord | None, now: timedelta
    ) -> None:
        """Learn from the end of a run that an earlier leader has started."""
        if run is not None and self._is_inherited(run):
            run_time = (self._term.now_ms() - run.started_ms) * MS
            self.learn(key, vm_id=run.vm_id, run_time=run_time, now=now)

    def note_end(self, vm_id: str, end: RunEnd) -> None:
        """Record whether a run has failed."""
        job = self._state.jobs.get(end.key.job_id)
        has_failed = end.kind is EndKind.FAILED
        if job is None or vm_id not in self._agents:
            return
        if has_failed or end.kind is EndKind.DONE:
            self._model.record_end(
                self._machine_of(vm_id),
                StepKey(*end.key[:3]),
                job=end.key.job_id,
                queue=job.spec.queue,
                has_failed=has_failed,
                now=self._term.clock.monotonic(),
            )

    def note_starts(self, starts: Sequence[RunStart]) -> None:
        """Record the starts of a round."""
        if self._n_slow:
            now = self._term.clock.monotonic()
            for start in starts:
                self._model.note_start(self._machine_of(start.vm_id), now)

    def update(self) -> None:
        """Estimate the speeds anew, if the last estimate is old enough."""
        now = self._term.clock.monotonic()
        if now < self._next_at:
            return
        self._next_at = now + self._cfg.interval
        try:
            self._estimate(now)
        except Exception as exc:
            self._n_slow = 0
            self._report_error(exc)

    def rate(self, vm: CandidateVm, now: timedelta) -> None:
        """Set the speed of a VM that accepts new runs."""
        if self._n_slow:
            vm.speed = self._model.speed(vm.machine or vm.vm_id)
            vm.is_retried = vm.speed < 1 and self._model.is_retried(
                vm.machine or vm.vm_id, now
            )

    def set_min_speeds(self, urgency: Urgency, tasks: Sequence[WaitingTask]) -> None:
        """Set which speed the tasks of a job need, so that the job ends in time."""
        if not self._n_slow:
            return
        job = self._state.jobs[tasks[0].key.job_id]
        if any(step.is_long_running for step in job.spec.steps):
            for task in tasks:
                task.min_speed = 1.0
            return
        queue = job.spec.queue
        path_ms = critical_path_ms(job.spec, job)
        path = self._run_times.expected(queue, path_ms * MS) / MS
        slack_ms = urgency.due_ms - self._term.now_ms() - path
        deviation = self._run_times.deviation(queue)
        margin = math.exp(UNKNOWN_DEVIATION if deviation is None else deviation)
        for task in tasks:
            if slack_ms <= 0:
                # It is late on a normal VM too, and leaves that to tasks in time.
                task.min_speed = 0.0
                continue
            estimate = task.step.estimate_ms * MS
            run_ms = margin * self._run_times.expected(queue, estimate) / MS
            if run_ms > 0:
                task.min_speed = run_ms / (run_ms + MAX_SLACK_SHARE * slack_ms)

    def _machine_of(self, vm_id: str) -> str:
        agent = self._agents.get(vm_id)
        return vm_id if agent is None else agent.vm.machine or vm_id

    def _estimate(self, now: timedelta) -> None:
        pools: dict[str, list[str]] = defaultdict(list)
        running: dict[str, list[Excess]] = {}
        vm_ids: dict[str, str] = {}
        for vm_id, agent in self._agents.items():
            # The ends of runs on others may be unknown.
            if not agent.is_serving(now) or not agent.is_responsive:
                continue
            machine = agent.vm.machine or vm_id
            pools[agent.vm.pool].append(machine)
            vm_ids[machine] = vm_id
            runs = []
            listed = self._state.runs.get(vm_id, {}).values()
            # Old runs and new ones alike: the oldest ones of any VM are overdue.
            stride = math.ceil(len(listed) / MAX_RUNS) or 1
            for run in itertools.islice(listed, 0, None, stride):
                age = self._age(agent, run, now)
                excess = age and self._excess(run.key, vm_id, age)
                if excess is not None:
                    runs.append(excess)
            if runs:
                # Of the runs of a step, the one that has taken longest counts most.
                runs.sort(key=lambda excess: -excess.log_ratio)
                running[machine] = runs
        changes = self._model.update(pools, running, now)
        self._model.forget_steps(self._state.jobs)
        n_slow = {
            pool: sum(self._model.speed(machine) < 1 for machine in machines)
            for pool, machines in pools.items()
        }
        self._n_slow = self._model.n_slow
        for change in changes:
            vm_id = vm_ids.get(change.machine, "")
            self._report(change.machine, vm_id, change.estimate)
        for machine, reported in tuple(self._reported.items()):
            vm_id = vm_ids.get(machine, "")
            if vm_id and vm_id != reported:
                self._report(machine, vm_id, self._model.estimate(machine))
        for pool, count in n_slow.items():
            speeds = [self._model.speed(machine) for machine in pools[pool]]
            mean = sum(speeds) / len(speeds)
            self._term.metrics.set_vm_speeds(pool=pool, n_slow=count, mean=mean)

    def _is_inherited(self, run: ActiveRun | RunRecord) -> bool:
        """Return whether an earlier leader has started a run from the beginning."""
        return 0 < run.started_ms < self._started_ms and not run.checkpoint

    def _age(self, agent: JudgedVm, run: ActiveRun, now: timedelta) -> timedelta | None:
        """Return for how long a run goes on; None if that isn't known."""
        if run.born_ms != agent.vm.born_ms:
            return None
        started_at = agent.started_at(run.key, run.number)
        if started_at is not None:
            return now - started_at
        if self._is_inherited(run):
            return (self._term.now_ms() - run.started_ms) * MS
        return None

    def _excess(self, key: TaskKey, vm_id: str, run_time: timedelta) -> Excess | None:
        """Return how much longer a run takes than expected; None if nobody knows."""
        job = self._state.jobs.get(key.job_id)
        if job is None or run_time <= timedelta(0):
            return None
        step = job.spec.steps[key.step]
        if not _tells_speed(step):
            return None
        agent = self._agents.get(vm_id)
        expected = self._run_times.expectation(
            StepKey(*key[:3]),
            queue=job.spec.queue,
            vm_id=vm_id,
            estimate=step.estimate_ms * MS,
            n_tasks=step.n_tasks,
            is_remote=agent is not None and is_far(step, agent.vm.labels),
        )
        if expected is None:
            return None
        return Excess(
            math.log(run_time / MS) - expected.log_ms,
            expected.deviation,
            StepKey(*key[:3]),
            is_shared=not expected.is_of_step,
        )

    def _report(self, machine: str, vm_id: str, estimate: MachineSpeed) -> None:
        """Log the speed of a machine that has changed, or has another VM."""
        name = EventName.VM_NORMAL
        self._reported.pop(machine, None)
        if estimate.is_slow:
            name = EventName.VM_SLOW
            self._reported[machine] = vm_id
        detail = (
            f"machine {machine}: speed {estimate.speed:.2f}, error factor "
            f"{estimate.error_factor:.2f}, {estimate.success:.2f} of the runs "
            f"succeed, {estimate.n_results} results"
        )
        self._term.emit(name, vm=vm_id, detail=detail)

    def _report_error(self, exc: Exception) -> None:
        """Log the first error of a term; all VMs count as normal then."""
        if not self._has_failed:
            self._has_failed = True
            detail = f"the speeds of VMs can't be estimated: {exc!r}"
            self._term.emit(EventName.WARNING, detail=detail)


def _tells_speed(step: StepSpec) -> bool:
    """Return whether the run times of a step's tasks depend on their VM alone.

    Gangs take as long as their slowest member, and fillers get what others leave.
    """
    return not (step.is_gang or step.is_filler or step.is_long_running)
