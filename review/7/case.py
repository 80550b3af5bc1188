"""A submission that was stored is refused, since its route is gone at the next try."""

import asyncio
import json
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "6"))
from system import (PREFIX, System, Worker, call, configuration, new_id, run_case,
                    submission)

N_BURST = 10
N_ROUNDS = 14
END = 90
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REFUSALS = (401, 404, 429, 503)
OTHER_PREFIX = "/other/"


def version_with(version, *, has_route):
    """Return a configuration with two routes, or without the first one."""
    config = configuration(version)
    route = config["routes"][0]
    other = route | {"name": "r-two", "pathPrefix": OTHER_PREFIX}
    config["routes"] = [route, other] if has_route else [other]
    return config


async def main(record, holder):
    began = time.monotonic()
    system = System(record, n_gateways=1)
    holder.append(system)
    await system.start()
    workers = [Worker(system, n) for n in range(2)]
    for worker in workers:
        await worker.start()
        holder.append(worker)
    front = system.gateways[0]
    version = 10
    if not await send(system, record, version_with(version, has_route=True), ()):
        return 2
    if not await system.wait_ready(front, 10):
        return 2
    await asyncio.sleep(5)
    for _ in range(2):
        burst_at, calm = time.monotonic(), []
        await asyncio.gather(*(submit(front, new_id(), calm) for _ in range(N_BURST)))
        usual = min(at for _, _, at in calm) - burst_at
        await asyncio.sleep(1)
    record(f"a burst is answered after {usual:.3f} s")
    n_calm = 0
    for number in range(1, N_ROUNDS + 1):
        if time.monotonic() - began > END or (not HAS_TROUBLE and number > 5):
            break
        leader = await find_leader(system, workers)
        if leader is None:
            continue
        record(f"round {number}: {leader.name} leads")
        log = []
        tasks = [asyncio.create_task(submit(front, new_id(), log)) for _ in range(N_BURST)]
        part = random.uniform(0.45, 0.85)
        await asyncio.sleep(usual * part)
        if HAS_TROUBLE:
            await leader.kill()
            record(f"that was after {part:.2f} of the usual time")
        version += 3
        change = asyncio.create_task(send(
            system, record, version_with(version, has_route=False), (leader,)))
        if HAS_TROUBLE:
            await asyncio.sleep(0.3)
            await leader.start()
        await asyncio.wait(tasks)
        if not await change:
            return 2
        record(f"answers: {sorted(status for _, status, _ in log)}")
        await asyncio.sleep(2)
        started = {task.split(".")[0] for w in workers for _, task, _ in w.starts}
        broken = [i for i, status, _ in log if status in REFUSALS and i in started]
        for job_id in broken:
            status = next(status for i, status, _ in log if i == job_id)
            record(f"{job_id}: its only attempt was answered {status}, and a worker started it")
        if broken:
            record(f"REFUSED broken: {len(broken)} refused submissions have run")
            return 1
        version += 3
        if not await send(system, record, version_with(version, has_route=True), ()):
            return 2
        await asyncio.sleep(2)
    record("held")
    return 0


async def send(system, record, config, down):
    """Send a configuration as the operator does, until it is acknowledged."""
    nodes = [p for p in system.controllers if p not in down]
    random.shuffle(nodes)
    for turn in range(40):
        node = nodes[turn % len(nodes)]
        status, _ = await call(node.calls, "POST", "/config/replace", config, timeout=1.0)
        if status == 200:
            record(f"configuration {config['version']} acknowledged by {node.name}")
            return True
        await asyncio.sleep(min(1, 0.05 * 2**turn))
    return False


async def find_leader(system, workers):
    for _ in range(20):
        for process in system.controllers:
            status, body = await call(
                process.calls, "POST", f"/instances/{workers[0].id}/heartbeat",
                workers[0].report(), timeout=0.6)
            if status == 200:
                address = json.loads(body)["heartbeatAddress"]
                return next(p for p in system.controllers if p.calls == address)
        await asyncio.sleep(0.05)
    return None


async def submit(gateway, job_id, log):
    """Submit a job once; log its id, the status and the time of the answer."""
    status, _ = await call(gateway.calls, "POST", PREFIX + job_id, submission())
    log.append((job_id, status, time.monotonic()))


run_case(main, Path(__file__).resolve().parent)
