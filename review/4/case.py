"""The operator removes a route by mistake and puts it back seconds later."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))

from system import CannotRunError, main
from world import Submission

WORK_MS = 4_000
REMOVED_S = 6.0


async def case(system, has_trouble):
    world = system.world
    other = system.route(name="route-2", pathPrefix="/other/")
    await system.put_config(system.config(routes=[system.route(), other]))
    # The first run ends `failed`, as any may; the route allows four attempts.
    job = Submission(
        [{"count": 1, "cpu": 2_000, "memMb": 256, "estimateMs": WORK_MS}],
        fails=lambda task, number: number == 1,
    )
    await system.submit(job)
    for _ in range(50):
        if world.running(job.id):
            break
        await asyncio.sleep(0.1)
    else:
        raise CannotRunError("the subtask does not start")
    if has_trouble:
        await system.put_config(system.config(routes=[other]))
    await asyncio.sleep(REMOVED_S)
    if has_trouble:
        await system.put_config(system.config(routes=[system.route(), other]))
    until = world.record.now() + 25
    state = ""
    while world.record.now() < until and state not in ("completed", "failed"):
        await asyncio.sleep(1.0)
        state = await system.state_of(job)
    n_failed = sum(end[4] == "failed" for end in world.ends)
    print(f"state {state!r}; {n_failed} run ended failed, of 4 attempts")
    return state == "completed"


main(case, Path(__file__).parent, n_workers=8)
