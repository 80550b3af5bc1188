"""Gateways and controllers that fail, over a log with one committed state.

It holds the product's relay and the product's answers of the leader. Elections, the log
and the links are simple models of their own.
"""

import asyncio
from collections import defaultdict
from types import SimpleNamespace

from redwingslip.daemons._call_answers import CallAnswers
from redwingslip.jobs import JobsState, ReplacePlan
from redwingslip.observe import NullSink
from redwingslip.peers import LeaderQuery, LeaderReport, RelayedAnswer, RelayedCall
from redwingslip.relay import (
    CallOutcomeUnknownError,
    LeaderRelay,
    RelayError,
    RelaySettings,
)
from redwingslip.scheduling import (
    CommandOutcomeUnknownError,
    JobService,
    NotLeadingError,
)
from tests.support_delegation import Links
from tests.support_scheduling import FakeTerm

# Without a report of the leader for this time, another controller is elected.
ELECTION_S = (0.45, 0.9)


class RelayLinks(Links):
    """Links that keep messages to a process that is down until it is up again."""

    def __init__(self, world):
        super().__init__()
        self.world = world
        self.down = set()

    def flush(self):
        """Send again what could not be sent or delivered."""
        unsent, self.unsent = self.unsent, []
        for item in unsent:
            self.send(*item)

    def _deliver(self, sender, receiver, msg):
        if receiver in self.down:
            self.unsent.append((sender, receiver, msg))
        else:
            super()._deliver(sender, receiver, msg)

    def receive(self, sender, receiver, msg):
        """Pass a message to the process that has the address now."""
        self.world.processes[receiver].receive(sender, msg)


class LogTerm(FakeTerm):
    """A term whose commands are committed after a while, or with its end, or never."""

    def __init__(self, world, name, number):
        super().__init__(world.state, world.clock)
        self.world = world
        self.name = name
        self.fence = number
        self.uncommitted = []

    async def propose(self, command):
        """Append a command; return its outcome once it is committed."""
        if self.world.term is not self:
            raise NotLeadingError("a later term has begun")
        fut = asyncio.get_running_loop().create_future()
        item = (command, fut)
        self.uncommitted.append(item)
        asyncio.get_running_loop().call_later(
            self.world.rng.uniform(*self.world.commit_s), self._commit_first, item
        )
        return await fut

    def _commit_first(self, item):
        """Commit the commands up to one, unless the leader is frozen or replaced."""
        if item not in self.uncommitted or self.world.term is not self:
            return
        if self.name in self.world.links.frozen:
            return
        while item in self.uncommitted:
            command, fut = self.uncommitted.pop(0)
            outcome = self.state.apply(command)
            if not fut.done():
                fut.set_result(outcome)

    def go_on(self):
        """Commit what has waited while the leader was frozen."""
        if self.uncommitted:
            self._commit_first(self.uncommitted[-1])

    def end(self, n_kept):
        """Commit the first commands, and drop the others; none gets its outcome."""
        for number, (command, fut) in enumerate(self.uncommitted):
            if number < n_kept:
                self.state.apply(command)
            if not fut.done():
                fut.set_exception(CommandOutcomeUnknownError("leadership was lost"))
        self.uncommitted.clear()


class Controller:
    """A controller: it answers relayed calls while it leads."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.answers = CallAnswers(
            own_address=name, on_fault=lambda *fault: world.faults.append(fault)
        )
        self.service = None
        self.term = 0
        self._tasks = set()

    def lead(self, term):
        """Begin a term as leader."""
        self.term = term.fence
        self.service = JobService(
            term=term, scheduler=SimpleNamespace(agents={}), gate=None
        )

    def is_serving(self):
        """Return whether this process leads."""
        return self.service is not None and self.world.term.fence == self.term

    def receive(self, sender, msg):
        """Handle a message as the daemon does."""
        if isinstance(msg, LeaderQuery):
            is_serving = self.is_serving()
            report = LeaderReport(
                leader_id=self.world.term.name,
                has_lease=is_serving,
                term=self.term if is_serving else 0,
                members=self.world.controllers,
            )
            self.world.links.send(self.name, sender, report)
        elif isinstance(msg, RelayedCall):
            if not self.is_serving() or msg.term not in (0, self.term):
                answer = RelayedAnswer(number=msg.number, is_taken=False)
                self.world.links.send(self.name, sender, answer)
                return
            task = asyncio.create_task(self._answer(sender, msg))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer(self, sender, call):
        answer = await self.answers.answer(self.service, call)
        if self.world.processes[self.name] is self:
            self.world.links.send(self.name, sender, answer)

    def close(self):
        """End as a process that is killed."""
        for task in tuple(self._tasks):
            task.cancel()


class Gateway:
    """A gateway: it relays callers' calls."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.relay = LeaderRelay(
            cfg=RelaySettings(),
            seeds=world.controllers,
            send=self._send,
            clock=world.clock,
            events=NullSink(),
        )
        self._tasks = {asyncio.create_task(self.relay.run())}

    def _send(self, receiver, msg):
        if self.world.processes.get(self.name, self) is self:
            self.world.links.send(self.name, receiver, msg)

    def receive(self, sender, msg):
        """Handle a message as the daemon does."""
        if isinstance(msg, RelayedAnswer):
            self.relay.receive_answer(sender, msg)
        else:
            self.relay.receive_report(sender, msg)

    async def call(self, call):
        """Return the status of the answer to a caller, None if there is no answer."""
        task = asyncio.create_task(
            self.relay.exchange(call, RelaySettings().caller_patience)
        )
        self._tasks.add(task)
        # Its caller may have ended.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        await asyncio.wait([task])
        while self.name in self.world.links.frozen:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        if task.cancelled():
            return None
        try:
            return task.result().status
        except CallOutcomeUnknownError:
            return 504
        except RelayError:
            return 503

    def close(self):
        """End as a process that is killed; its callers get no answer."""
        for task in self._tasks:
            task.cancel()


class RelayWorld:
    """The processes, and the log's committed state.

    Attributes
    ----------
    commit_s : tuple of float
        Shortest and longest time of a commit in seconds.
    faults : list
        Calls that ended by an internal error.
    """

    def __init__(self, loop, rng, clock, *, n_gateways, n_controllers):
        self.loop = loop
        self.rng = rng
        self.clock = clock
        self.state = JobsState()
        self.links = RelayLinks(self)
        self.commit_s = (0.002, 0.05)
        self.faults = []
        self.controllers = tuple(f"c{n}" for n in range(n_controllers))
        self.gateways = tuple(f"g{n}" for n in range(n_gateways))
        self.processes = {}
        self.term = LogTerm(self, self.controllers[0], 0)
        for name in (*self.controllers, *self.gateways):
            self.start(name)
        self.elect()

    def start(self, name):
        """Start a process, anew if it was killed."""
        self.links.down.discard(name)
        kind = Controller if name in self.controllers else Gateway
        self.processes[name] = kind(self, name)
        self.links.flush()

    def kill(self, name):
        """Kill a process; what waits in it is lost, what is sent to it waits."""
        if name in self.links.down:
            return
        self.links.forget(name)
        self.processes[name].close()
        self.links.down.add(name)

    def freeze(self, name):
        """Have a process read and send nothing."""
        if name not in self.links.down:
            self.links.frozen.add(name)

    def thaw(self, name):
        """Have a frozen process go on; a leader that was replaced notices that."""
        if name not in self.links.frozen:
            return
        self.links.thaw(name)
        if self.term.name == name:
            self.term.go_on()

    def elect(self):
        """Elect a controller; the last ones of the earlier term's commands are lost."""
        awake = [
            name
            for name in self.controllers
            if name not in self.links.down and name not in self.links.frozen
        ]
        if len(awake) * 2 <= len(self.controllers):
            return
        earlier = self.term
        self.term = LogTerm(self, self.rng.choice(awake), earlier.fence + 1)
        earlier.end(self.rng.randint(0, len(earlier.uncommitted)))
        self.processes[self.term.name].lead(self.term)

    async def run_elections(self):
        """Replace a leader that is down or frozen for long enough, until cancelled."""
        patience = self.rng.uniform(*ELECTION_S)
        silent_s = 0.0
        while True:
            await asyncio.sleep(0.02)
            name = self.term.name
            process = self.processes[name]
            is_silent = (
                name in self.links.down
                or name in self.links.frozen
                or process.service is None
            )
            silent_s = silent_s + 0.02 if is_silent else 0.0
            if silent_s > patience:
                self.elect()
                patience, silent_s = self.rng.uniform(*ELECTION_S), 0.0

    def replace_plan(self, plan):
        """Put a plan in force."""
        self.state.apply(ReplacePlan(plan=plan))


class Journal:
    """Answers to the attempts of callers, by job and method."""

    def __init__(self):
        self.statuses = defaultdict(list)

    def add(self, method, job_id, status):
        """Record the answer to an attempt, None for no answer."""
        self.statuses[(method, job_id)].append(status)

    def problems(self, state, refusals):
        """Yield the answers that the state contradicts."""
        for (method, job_id), statuses in self.statuses.items():
            job = state.jobs.get(job_id)
            are_refused = all(status in refusals for status in statuses)
            if method == "POST":
                if job is None and 200 in statuses:
                    yield f"LOST: {job_id} is unknown, answered {statuses}"
                if job is not None and are_refused:
                    yield f"REFUSED: {job_id} is stored, answered {statuses}"
            elif job is not None:
                is_cancelled = job.status.value == "cancelled"
                if not is_cancelled and 200 in statuses:
                    yield f"{job_id} is not cancelled, answered {statuses}"
                if is_cancelled and are_refused:
                    yield f"{job_id} is cancelled, answered {statuses}"
