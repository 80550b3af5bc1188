"""Workers crash, four times, while they run the same subtask."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))

from system import CannotRunError, main
from world import Submission

WORK_MS = 12_000
N_CRASHES = 4
CRASH_AFTER_S = 8.0
DOWN_S = 0.5
START_TIMEOUT_S = 15.0


async def case(system, has_trouble):
    world = system.world
    job = Submission(
        [{"count": 1, "cpu": 2_000, "memMb": 256, "estimateMs": WORK_MS}]
    )
    await system.submit(job)
    for _ in range(N_CRASHES if has_trouble else 0):
        worker = await next_worker(system, job)
        if worker is None:
            break
        await asyncio.sleep(CRASH_AFTER_S)
        world.crash(worker)
        await asyncio.sleep(DOWN_S)
        await worker.restart()
    until = world.record.now() + 30
    state = ""
    while world.record.now() < until and state not in ("completed", "failed"):
        await asyncio.sleep(1.0)
        state = await system.state_of(job)
    n_failed = sum(end[4] == "failed" for end in world.ends)
    print(f"state {state!r}; {n_failed} runs ended failed, of 4 attempts")
    return state == "completed"


async def next_worker(system, job):
    """Return the worker that runs the subtask; None if none does in time."""
    until = system.record.now() + START_TIMEOUT_S
    while system.record.now() < until:
        runs = system.world.running(job.id)
        if runs:
            return runs[0][0]
        state = ""
        await asyncio.sleep(0.1)
        if int(system.record.now() * 10) % 10 == 0:
            state = await system.state_of(job)
        if state in ("completed", "failed"):
            return None
    raise CannotRunError("the subtask does not start")


main(case, Path(__file__).parent, n_workers=8)
