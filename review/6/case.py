"""Answers to calls of a killed gateway reach the calls of its successor."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "6"))
from system import PREFIX, Record, System, Worker, call, new_id, run_case, submission

N_CALLS = 24
N_FIRST = 20
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
N_ROUNDS = 10
END = 76


async def main(record, holder):
    began = time.monotonic()
    system = System(record, n_gateways=N_ROUNDS + 2)
    holder.append(system)
    await system.start()
    workers = [Worker(system, n) for n in range(2)]
    for worker in workers:
        await worker.start()
        holder.append(worker)
    if not await system.send_config(3):
        record("no configuration was acknowledged")
        return 2
    for gateway in system.gateways:
        if not await system.wait_ready(gateway, 10):
            return 2
    await asyncio.sleep(6)
    *fronts, calm, other = system.gateways
    # The first calls of processes that have just started take longer.
    warm = []
    await asyncio.gather(*(submit(calm, new_id(), warm) for _ in range(N_FIRST)))
    record(f"in calm: {count(warm)}")
    for number, front in enumerate(fronts, 1):
        if time.monotonic() - began > END:
            break
        lost = await play_round(system, workers, record, front, other, number)
        if lost:
            record(f"LOST broken: {len(lost)} accepted submissions are unknown")
            return 1
    record("held")
    return 0


def by_address(system, address):
    return next((p for p in system.controllers if p.calls == address), None)


async def find_leader(system, workers, frozen):
    for _ in range(20):
        for process in system.controllers:
            if process in frozen:
                continue
            status, body = await call(
                process.calls, "POST", f"/instances/{workers[0].id}/heartbeat",
                workers[0].report(), timeout=0.6)
            if status == 200:
                leader = by_address(system, json.loads(body)["heartbeatAddress"])
                if leader not in frozen:
                    return leader
        await asyncio.sleep(0.02)
    return None


async def submit(gateway, job_id, log):
    """Submit a job once; log its id, the status and the time of the answer."""
    status, _ = await call(gateway.calls, "POST", PREFIX + job_id, submission())
    log.append((job_id, status, time.monotonic()))


async def play_round(system, workers, record, front, other, number):
    """Play one round; return the accepted submissions that are unknown afterwards."""
    leader = await find_leader(system, workers, ())
    if leader is None:
        return []
    record(f"round {number}: {leader.name} leads; {N_FIRST} submissions to {front.name}")
    first, second = [], []
    tasks = []
    for _ in range(N_FIRST):
        tasks.append(asyncio.create_task(submit(front, new_id(), first)))
        await asyncio.sleep(0.002)
    if HAS_TROUBLE:
        front.signal(signal.SIGKILL)
        await asyncio.sleep(0.05)
        leader.freeze()
        frozen_at = time.monotonic()
        await front.kill()
        await front.start()
    await asyncio.wait(tasks)
    record(f"first: {count(first)}")
    if HAS_TROUBLE:
        second_leader = await find_leader(system, workers, (leader,))
        if second_leader is None or not await system.wait_ready(front, 3):
            record("no second leader in time")
            leader.thaw()
            await asyncio.sleep(3)
            return []
        record(f"{second_leader.name} leads, {time.monotonic() - frozen_at:.2f} s after the freeze")
        second_leader.freeze()
    tasks = [asyncio.create_task(submit(front, new_id(), second)) for _ in range(N_CALLS)]
    await asyncio.sleep(0.08)
    thawed_at = time.monotonic()
    if HAS_TROUBLE:
        leader.thaw()
        record(f"{leader.name} was frozen for {thawed_at - frozen_at:.2f} s")
        # The relay gives up a silent leader after 0.6 s, and the next election follows.
        await asyncio.sleep(1)
        second_leader.thaw()
    await asyncio.wait(tasks)
    accepted = [job_id for job_id, status, _ in first + second if status == 200]
    times = sorted(round(at - thawed_at, 2) for _, status, at in second if status == 200)
    record(f"second: {count(second)}, answered from {times[:3]} to {times[-1:]} s")
    await asyncio.sleep(3)
    lost = await unknown(other, accepted)
    if lost:
        record(f"{len(lost)} are unknown; they are asked for again in calm")
        await asyncio.sleep(8)
        lost = await unknown(other, lost)
        for job_id in lost:
            at = next(at for i, _, at in first + second if i == job_id)
            record(f"{job_id}: answered with 200 {at - thawed_at:.3f} s after the leader "
                   "continued; its GET is answered with 410")
    return lost


async def unknown(gateway, job_ids):
    answers = [(i, await call(gateway.calls, "GET", PREFIX + i)) for i in job_ids]
    return [job_id for job_id, (status, _) in answers if status == 410]


def count(log):
    counts = {}
    for _, status, _ in log:
        counts[status] = counts.get(status, 0) + 1
    return counts


run_case(main, Path(__file__).resolve().parent)
