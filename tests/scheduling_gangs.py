"""Endpoints that run gangs, in a simulated world around the real scheduling.

The members of a gang work from the moment when all of one run are present with one
checkpoint, and end together.
"""

import asyncio

from redwingslip.jobs import EndKind
from redwingslip.scheduling import ListedEnd, StartResult
from tests.scheduling_lifecycle import LeavingEndpoint, LifecycleWorld

# Platform contract: a member ends alone after this wait for the others.
GANG_TIMEOUT_S = 3.0
# Platform contract: a disturbance is near for this long after its end.
CONTACT_S = 3.0
CHECKPOINT_S = 0.5
RESTORE_S = 0.25
TICK_S = 0.02


class GangEndpoint(LeavingEndpoint):
    """An endpoint whose runs are members of gangs, or ordinary runs."""

    def start(self, run, fence, until_ms):
        """Handle the order to start a run; a member waits for the others."""
        was_present = run.key in self.runs
        result = super().start(run, fence, until_ms)
        if result is StartResult.ACCEPTED and not was_present:
            member = self.runs[run.key]
            member.checkpoint = member.saved = run.checkpoint
            member.started_at = self.world.now()
            member.works_from = None
            if self.world.state.step(run.key).is_gang:
                member.ends_at = float("inf")
                self.world.assemble(run.key[:3], run.number)
        return result

    def save(self, run, *, at_stop=False):
        """Save the progress of a member that works."""
        if run.works_from is None:
            return
        progress_s = self.progress_s(run)
        if not at_stop:
            progress_s -= progress_s % CHECKPOINT_S
        if progress_s > _seconds(run.saved):
            run.saved = f"{progress_s:.3f}"

    def progress_s(self, run):
        """Return the work of a member that is done, in seconds."""
        base_s = _seconds(run.checkpoint)
        restore_s = RESTORE_S if run.checkpoint else 0.0
        return base_s + max(0.0, self.world.now() - run.works_from - restore_s)

    def tick(self):
        """Save the progress of the members, and end those that wait for too long."""
        self.update()
        now = self.world.now()
        for run in tuple(self.runs.values()):
            self.save(run)
            is_waiting = run.works_from is None and run.ends_at == float("inf")
            if is_waiting and now - run.started_at >= GANG_TIMEOUT_S:
                self._end(run, EndKind.ALONE)

    def end_member(self, key, number, kind):
        """End a member, as another one of its gang has ended."""
        run = self.runs.get(key)
        if run is not None and run.number == number:
            self._end(run, kind)

    def _end(self, run, kind):
        if self.runs.get(run.key) is not run:
            # The end of another member has ended it.
            return
        if kind in (EndKind.BROKEN, EndKind.STOPPED):
            self.save(run, at_stop=kind is EndKind.STOPPED)
        del self.runs[run.key]
        self.closed_numbers[run.key] = max(
            self.closed_numbers.get(run.key, 0), run.number
        )
        cursor = len(self.ends) + 1
        self.ends.append(ListedEnd(cursor, run.key, run.number, kind, run.saved))
        self.ended_at[cursor] = self.world.now()
        self.world.note_gang_end(self, run, kind)


class GangWorld(LifecycleWorld):
    """A world whose jobs are gangs.

    Attributes
    ----------
    disturbed_at : float
        When the last disturbance ended; infinite while one lasts.
    alone : list of str
        Runs that ended alone with no disturbance near.
    n_broken : int
        Number of members that ended since another one had.
    """

    def __init__(self, *args, **options):
        self.disturbed_at = 0.0
        self.alone = []
        self.n_broken = 0
        super().__init__(*args, **options)

    def make_endpoint(self, vm_id, rate):
        """Return a new incarnation of a VM."""
        return GangEndpoint(self, vm_id, rate)

    def members(self, gang, number):
        """Return the endpoints and runs of one run of a gang."""
        return [
            (endpoint, run)
            for endpoint in self.endpoints.values()
            if endpoint.is_up
            for run in endpoint.runs.values()
            if run.key[:3] == gang and run.number == number
        ]

    def assemble(self, gang, number):
        """Let a gang work if all its members are present with one checkpoint."""
        members = self.members(gang, number)
        step = self.state.jobs[gang[0]].spec.steps[gang[2]]
        if len(members) < step.n_tasks:
            return
        if len({run.checkpoint for _, run in members}) > 1:
            self.report_problem(f"members of {gang} carry different checkpoints")
            return
        work_s = step.estimate_ms / 1000
        for endpoint, run in members:
            run.works_from = self.now()
            left_s = max(0.0, work_s - _seconds(run.checkpoint))
            run.ends_at = self.now() + left_s + (RESTORE_S if run.checkpoint else 0.0)
            endpoint.save(run)

    def note_gang_end(self, endpoint, run, kind):
        """End the other members, and check that none has waited in vain."""
        if not self.state.step(run.key).is_gang:
            return
        if kind is EndKind.ALONE:
            if self.now() - self.disturbed_at > CONTACT_S:
                self.alone.append(
                    f"{self.now():.2f} s: {run.key.label(run.number)} of "
                    f"{run.key.job_id} ended alone on {endpoint.vm_id}"
                )
            return
        if run.works_from is None:
            return
        self.n_broken += kind is not EndKind.DONE
        others = EndKind.DONE if kind is EndKind.DONE else EndKind.BROKEN
        for other, member in self.members(run.key[:3], run.number):
            if member.works_from is not None:
                other.end_member(member.key, member.number, others)

    async def run_ticks(self):
        """Have the endpoints note the time, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            for endpoint in tuple(self.endpoints.values()):
                if endpoint.is_up:
                    endpoint.tick()

    def crash(self, endpoint):
        """End a VM without notice; the gangs that worked on it break."""
        endpoint.is_up = False
        runs, endpoint.runs = tuple(endpoint.runs.values()), {}
        for run in runs:
            self.note_gang_end(endpoint, run, EndKind.LOST)


def _seconds(checkpoint):
    return float(checkpoint) if checkpoint else 0.0
