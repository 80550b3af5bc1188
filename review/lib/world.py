"""Stand-ins for workers, their platform, consumers and the operator, in one process.

The workers follow the users' pages: leases on their own clock, fencing tokens, run
numbers, lists of runs and ends, gangs and checkpoints. Every order, end and answer is
written to a record with the time since the start.
"""

import asyncio
import json
import secrets
import time

from loopback import Server, call

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_MS = 100
GANG_TIMEOUT_MS = 3_000
CHECKPOINT_MS = 500
RESTORE_MS = 250
TICK_S = 0.02
MAINTENANCE_S = 2.0


class Record:
    """The record of a script: what was sent, answered and run."""

    def __init__(self, path):
        self._began = time.monotonic()
        self._file = open(path, "w", buffering=1)

    def now(self):
        return time.monotonic() - self._began

    def note(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")


class Submission:
    """A submission that a consumer sends, and how its subtasks behave.

    `work_ms(task, number)` is the work of a run; `fails(task, number)` tells whether
    the run ends `failed`.
    """

    def __init__(self, steps, *, work_ms=None, fails=None, **fields):
        self.id = secrets.token_hex(8)
        self.spec = f"spec of {self.id}"
        self.steps = steps
        self.fields = fields
        self.work_ms = work_ms or (
            lambda task, number: steps[int(task.split(".")[2])]["estimateMs"]
        )
        self.fails = fails or (lambda task, number: False)

    @property
    def body(self):
        return {"spec": self.spec, "steps": self.steps, **self.fields}


class _Run:
    def __init__(self, task, number, checkpoint, step, started_ms):
        self.task = task
        self.number = number
        self.step = step
        self.checkpoint = checkpoint
        self.started_ms = started_ms
        self.base_ms = int(checkpoint.split("-")[0]) if checkpoint else 0
        self.work_from_ms = None if step.get("gang") else started_ms
        self.saved = checkpoint
        self.stop_at_ms = None


class Worker:
    """One worker; `crash` and `restart` end a lifetime and begin the next one."""

    def __init__(self, world, name, *, address, service, capacity, labels):
        self.world = world
        self.id = name
        self.machine = f"m-{name}"
        self.address = address
        self.service = service
        self.capacity = capacity
        self.labels = labels
        self.state = "ready"
        self.is_up = False
        self._tasks = []

    async def start(self):
        self.born = int(time.time() * 1000)
        self._began = time.monotonic()
        self.fence = 0
        self.lease_end = 0
        self.runs = {}
        self.ends = []
        self.n_ends = 0
        self.closed = {}
        self.sequence = 0
        self.is_up = True
        self._changed = asyncio.Event()
        self._server = Server(self.address, self._handle)
        await self._server.start()
        self._tasks = [
            asyncio.create_task(self._beat_forever()),
            asyncio.create_task(self._work_forever()),
        ]
        self.world.record.note(f"worker {self.id} starts, born {self.born}")

    def crash(self):
        """End at once, with all runs and without notice."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        self._server.abort()
        self.runs = {}

    async def restart(self):
        await self.start()

    def clock_ms(self):
        return int((time.monotonic() - self._began) * 1000)

    # Status reports.

    def report(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "machine": self.machine,
            "born": self.born,
            "clockMs": self.clock_ms(),
            "sequence": self.sequence,
        }

    async def _beat_forever(self):
        target = 0
        while True:
            controls = self.world.controls
            reply = await call(
                controls[target % len(controls)],
                "POST",
                f"/instances/{self.id}/heartbeat",
                self.report(),
                timeout=1.0,
            )
            if 200 <= reply.status < 300:
                await asyncio.sleep(HEARTBEAT_S)
            else:
                target += 1
                await asyncio.sleep(0.1)

    # Runs.

    async def _work_forever(self):
        while True:
            await asyncio.sleep(TICK_S)
            self._tick()

    def _tick(self):
        now = self.clock_ms()
        if now >= self.lease_end:
            for run in tuple(self.runs.values()):
                self._end(run, "lapsed")
        for run in tuple(self.runs.values()):
            if run.stop_at_ms is not None:
                if now >= run.stop_at_ms:
                    self._save(run, self._done_ms(run, now))
                    self._end(run, "stopped")
                continue
            if run.work_from_ms is None:
                if now - run.started_ms >= GANG_TIMEOUT_MS:
                    self._end(run, "alone")
                continue
            done_ms = self._done_ms(run, now)
            n_saves = done_ms // CHECKPOINT_MS
            if run.step.get("checkpointing") and n_saves > self._n_saves(run):
                self._save(run, n_saves * CHECKPOINT_MS)
            if done_ms >= self.world.work_ms(run.task, run.number):
                how = "failed" if self.world.fails(run.task, run.number) else "done"
                self._end(run, how)

    def _done_ms(self, run, now):
        if run.work_from_ms is None:
            return run.base_ms
        restore = RESTORE_MS if run.checkpoint else 0
        return run.base_ms + max(0, now - run.work_from_ms - restore)

    def _n_saves(self, run):
        return int(run.saved.split("-")[0]) // CHECKPOINT_MS if run.saved else 0

    def _save(self, run, done_ms):
        if run.step.get("checkpointing") and run.work_from_ms is not None:
            run.saved = f"{done_ms:08d}-{run.task.split('.')[0][4:12]}"

    def _end(self, run, how):
        if self.runs.pop(run.task, None) is None:
            return
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.n_ends += 1
        saved = run.saved if run.step.get("checkpointing") else ""
        self.ends.append([self.n_ends, run.task, run.number, how, saved])
        self.world.note_end(self, run, how, saved)
        self._changed.set()

    def break_run(self, task, number):
        """End a member of a gang of which another member has ended."""
        run = self.runs.get(task)
        if run is not None and run.number == number and run.work_from_ms is not None:
            self._end(run, "broken")

    def finish_run(self, task, number):
        """End a member of a gang that is done as a whole."""
        run = self.runs.get(task)
        if run is not None and run.number == number:
            self._end(run, "done")

    # Orders.

    async def _handle(self, method, path, headers, doc):
        if headers.get("target-instance", self.id) != self.id:
            return 421, self._answer()
        fence = doc.get("fencingToken", 0)
        if fence < self.fence:
            return 409, self._answer(reason="fence")
        self.fence = fence
        if path == "/hold":
            return await self._hold(doc)
        if path == "/run-start":
            return self._start_run(doc)
        if path == "/run-stop":
            return self._stop_run(doc)
        return 404, self._answer()

    def _answer(self, **fields):
        return {"clockMs": self.clock_ms(), "born": self.born, **fields}

    def _renew(self, not_after):
        end = min(not_after, self.clock_ms() + MAX_HOLD_MS)
        self.lease_end = max(self.lease_end, end)

    async def _hold(self, doc):
        cursor = doc.get("ackCursor", 0)
        self.ends = [end for end in self.ends if end[0] > cursor]
        if "notAfterMs" in doc:
            self._renew(doc["notAfterMs"])
        wait = min(2_000, doc.get("waitMs", 0)) / 1000
        if wait and not self.ends:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait()
            except TimeoutError:
                pass
        now = self.clock_ms()
        running = []
        for run in self.runs.values():
            work_ms = max(1, self.world.work_ms(run.task, run.number))
            percent = min(99.9, 100 * self._done_ms(run, now) / work_ms)
            saved = run.saved if run.step.get("checkpointing") else ""
            running.append([run.task, run.number, saved, round(percent, 2), 0])
        return 200, self._answer(running=running, endedRuns=self.ends[:500])

    def _start_run(self, doc):
        task, number = doc["task"], doc["runId"]
        checkpoint = doc.get("checkpoint", "")
        label = f"{task} run {number}"
        if checkpoint:
            label += f" from checkpoint {checkpoint}"
        if doc["notAfterMs"] < self.clock_ms():
            return 409, self._answer(reason="late")
        self._renew(doc["notAfterMs"])
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return 200, self._answer()
        if present is not None or number <= self.closed.get(task, 0):
            return 409, self._answer(reason="old")
        step = self.world.step_of(task)
        if step is None:
            self.world.note_fault(f"UNASKED: {label} on {self.id}")
            return 400, self._answer()
        used = sum(run.step.get("cpu", 0) for run in self.runs.values())
        if used + step.get("cpu", 0) > self.capacity["cpu"]:
            return 409, self._answer(reason="room")
        run = _Run(task, number, checkpoint, step, self.clock_ms())
        self.runs[task] = run
        self.world.note_start(self, run, doc["spec"])
        return 200, self._answer()

    def _stop_run(self, doc):
        task, number = doc["task"], doc["runId"]
        self.closed[task] = max(self.closed.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stop_at_ms is None:
            run.stop_at_ms = self.clock_ms() + STOP_MS
            self.world.record.note(f"stop of {task} run {number} on {self.id}")
        return 200, self._answer()


class World:
    """All stand-ins, the submissions, and what was seen of the runs."""

    def __init__(self, record):
        self.record = record
        self.controls = []
        self.workers = {}
        self.submissions = {}
        self.starts = []  # (time, task, number, worker, checkpoint)
        self.ends = []  # (time, task, number, worker, how)
        self.faults = []
        self.machine_orders = []  # (time, path, machine, holder, token)
        self._server = None
        self._upkeeps = set()

    def note_fault(self, text):
        self.faults.append(text)
        self.record.note(f"RULE {text}")

    def submission_of(self, task):
        return self.submissions.get(task.split(".")[0])

    def step_of(self, task):
        submission = self.submission_of(task)
        return submission and submission.steps[int(task.split(".")[2])]

    def work_ms(self, task, number):
        return self.submission_of(task).work_ms(task, number)

    def fails(self, task, number):
        return self.submission_of(task).fails(task, number)

    def running(self, submission_id):
        """Return the present runs of a submission as pairs of worker and run."""
        return [
            (worker, run)
            for worker in self.workers.values()
            for run in worker.runs.values()
            if run.task.startswith(submission_id)
        ]

    def _members(self, run):
        """Return the present runs of the gang that a run belongs to."""
        gang = run.task.rpartition(".")[0]
        return [
            (worker, other)
            for worker in self.workers.values()
            for other in worker.runs.values()
            if other.task.rpartition(".")[0] == gang and other.number == run.number
        ]

    def note_start(self, worker, run, spec):
        self.starts.append(
            (self.record.now(), run.task, run.number, worker.id, run.checkpoint)
        )
        text = f"start of {run.task} run {run.number} on {worker.id}"
        if run.step.get("checkpointing"):
            text += f" with checkpoint {run.checkpoint or '(none)'}"
        self.record.note(text)
        if spec != self.submission_of(run.task).spec:
            self.note_fault(f"UNASKED: {run.task} with another spec")
        if run.step.get("gang"):
            self._assemble(run)

    def _assemble(self, run):
        """Let a gang work once all members of the run are present.

        All must carry the same checkpoint: members that resume from different points
        can't work together.
        """
        members = self._members(run)
        if len(members) < run.step["count"]:
            return
        checkpoints = {other.checkpoint for _, other in members}
        if len(checkpoints) > 1:
            self.record.note(
                f"gang {run.task.rpartition('.')[0]} run {run.number} can't work: "
                f"its members carry {sorted(checkpoints)}"
            )
            return
        self.record.note(f"gang {run.task.rpartition('.')[0]} run {run.number} works")
        for worker, other in members:
            other.work_from_ms = worker.clock_ms()

    def note_end(self, worker, run, how, saved):
        self.ends.append((self.record.now(), run.task, run.number, worker.id, how))
        text = f"end of {run.task} run {run.number} on {worker.id}: {how}"
        self.record.note(text + (f", saved {saved}" if saved else ""))
        if not run.step.get("gang"):
            return
        for other_worker, other in self._members(run):
            if how == "done":
                other_worker.finish_run(other.task, other.number)
            elif how != "alone":
                other_worker.break_run(other.task, other.number)

    def crash(self, worker):
        """Crash a worker; the gangs of its runs break."""
        runs = tuple(worker.runs.values())
        running = [f"{run.task} run {run.number}" for run in runs]
        self.record.note(f"worker {worker.id} crashes; it ran {running}")
        worker.crash()
        for run in runs:
            if run.step.get("gang") and run.work_from_ms is not None:
                for other_worker, other in self._members(run):
                    other_worker.break_run(other.task, other.number)

    # The platform.

    async def start_platform(self, address):
        self._server = Server(address, self._handle_platform)
        await self._server.start()

    async def _handle_platform(self, method, path, headers, doc):
        if method == "GET" and path.startswith("/machines"):
            machines = [
                {
                    "machine": worker.machine,
                    "pool": worker.service,
                    "state": "up" if worker.is_up else "down",
                    "zone": "z1",
                    "labels": worker.labels,
                    "capacity": worker.capacity,
                    "id": worker.id if worker.is_up else None,
                }
                for worker in self.workers.values()
            ]
            return 200, {"machines": machines, "nextPageToken": None}
        if path in ("/machine-move", "/machine-upkeep"):
            return self._order_machine(path, headers, doc)
        return 404, {}

    def _order_machine(self, path, headers, doc):
        """Carry an upkeep out; moves are refused, as there is one pool only."""
        holder, token = headers["lease-holder"], int(headers["fencing-token"])
        machine = doc["machine"]
        order = (self.record.now(), path, machine, holder, token)
        self.machine_orders.append(order)
        self.record.note(f"{path} of {machine} by {holder} with token {token}")
        worker = next(w for w in self.workers.values() if w.machine == machine)
        if path == "/machine-move":
            return 400, {}
        if (machine, doc["wave"]) in self._upkeeps:
            return 200, {}
        if not worker.is_up:
            return 409, {"reason": "busy"}
        self._upkeeps.add((machine, doc["wave"]))
        self.crash(worker)
        asyncio.get_running_loop().call_later(
            MAINTENANCE_S, lambda: asyncio.ensure_future(worker.restart())
        )
        return 200, {}

    def close(self):
        for worker in self.workers.values():
            if worker.is_up:
                worker.crash()
        if self._server is not None:
            self._server.abort()
