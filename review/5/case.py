"""A frontend freezes with a submission unread; the consumer cancels it elsewhere."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))

from system import CannotRunError, main
from world import Submission

FREEZE_S = 4.0
GIVE_UP_S = 0.3
# `cancel_ms`
CANCEL_S = 3.0


async def case(system, has_trouble):
    world = system.world
    job = Submission([{"count": 2, "cpu": 2_000, "memMb": 256, "estimateMs": 1_500}])
    world.submissions[job.id] = job
    frontend = system.gateways[0]
    frozen_at = world.record.now()
    if has_trouble:
        frontend.send_signal(signal.SIGSTOP)
    post = asyncio.create_task(system.consume("POST", job.id, job.body))
    await asyncio.sleep(GIVE_UP_S)
    if not post.done():
        post.cancel()
        world.record.note("the consumer has no answer, and leaves")
    cancelled_at = None
    for _ in range(5):
        reply = await system.consume("DELETE", job.id, gateway=1)
        if 200 <= reply.status < 300 or reply.status == 410:
            cancelled_at = world.record.now()
            break
        await asyncio.sleep(0.3)
    if cancelled_at is None:
        raise CannotRunError("the cancelling gets no answer")
    await asyncio.sleep(frozen_at + FREEZE_S - world.record.now())
    if has_trouble:
        frontend.send_signal(signal.SIGCONT)
    await asyncio.sleep(5.0)
    late = [start for start in world.starts if start[0] > cancelled_at + CANCEL_S]
    await system.consume("GET", job.id, gateway=1)
    for at, task, number, worker, _ in late:
        print(
            f"{task} run {number} starts on {worker} {at - cancelled_at:.1f} s "
            "after the cancelling was acknowledged"
        )
    return not late


main(case, Path(__file__).parent, n_workers=8, n_gateways=2)
