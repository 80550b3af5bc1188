"""Measure the time without service after a process is killed.

Callers send requests continuously through the entries that report readiness. The figure
is the longest gap between two answers after the kill. The longest gap without a kill
is printed for comparison.
"""

import argparse
import asyncio
import itertools
import json
import sys
import tempfile
import time
from pathlib import Path

from scripts.demo_callers import Balancer, Caller, CallerRequest
from scripts.fleet_processes import FleetProcesses
from scripts.measure_path import declare, start_endpoints

N_CALLERS = 4
PAUSE_S = 0.01
OBSERVE_S = 6.0
SETTLE_S = 4.0


class GapProbe:
    """Callers that record the time of each answer."""

    def __init__(self, fleet: FleetProcesses, key: str) -> None:
        self._balancer = Balancer(list(fleet.http_addresses.values()))
        self._caller = Caller(self._balancer)
        self._key = key
        self._tasks: list[asyncio.Task] = []
        self.answered_at: list[float] = []

    async def __aenter__(self):
        """Start the callers and the readiness polls."""
        self._tasks = [asyncio.create_task(self._balancer.poll_readiness())]
        for _ in range(N_CALLERS):
            self._tasks.append(asyncio.create_task(self._send_forever()))
        return self

    async def __aexit__(self, *exc_info):
        """Stop the callers and close their connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._caller.close()

    async def _send_forever(self) -> None:
        while True:
            request = CallerRequest(
                queue="q", body=b"{}", key=self._key, idempotent=True
            )
            await self._caller.send(request)
            if request.outcome == "answered":
                self.answered_at.append(time.monotonic())
            await asyncio.sleep(PAUSE_S)

    def longest_gap(self, since: float) -> float:
        """Return the longest gap between two answers after `since`, in seconds.

        The times `since` and the present count as answers.
        """
        times = [since, *(at for at in self.answered_at if at > since)]
        times.append(time.monotonic())
        return max(after - before for before, after in itertools.pairwise(times))


def find_process(fleet: FleetProcesses, role: str) -> str:
    """Return the name of a process that has a role at present."""
    status = json.loads(fleet.cli("status").stdout)
    if role == "leader":
        return json.loads(fleet.cli("replicas").stdout)["leader_id"]
    is_dispatcher = role == "dispatcher"
    matching = [s for s in status if bool(s["dispatched_pools"]) is is_dispatcher]
    return matching[0]["entry_id"]


async def measure(fleet: FleetProcesses, key: str, role: str) -> float:
    """Kill a process of a role, or none; return the longest gap in seconds."""
    name = await asyncio.to_thread(find_process, fleet, role) if role != "none" else ""
    async with GapProbe(fleet, key) as probe:
        await asyncio.sleep(1.0)
        killed_at = time.monotonic()
        if name:
            fleet.kill(name)
        await asyncio.sleep(OBSERVE_S)
        gap = probe.longest_gap(killed_at)
    if name:
        fleet.start(name)
        await asyncio.to_thread(fleet.wait_ready)
        await asyncio.sleep(SETTLE_S)
    return gap


def main() -> int:
    """Run the measurement and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repeat", type=int, default=5)
    args = parser.parse_args()
    fleet = FleetProcesses(Path(tempfile.mkdtemp()), n_entries=3)
    try:
        fleet.bootstrap()
        fleet.start()
        fleet.wait_ready()
        key = declare(fleet)
        start_endpoints(fleet)
        time.sleep(SETTLE_S)
        print("killed      longest gap between answers of each repetition, s")
        for role in ("none", "leader", "dispatcher", "entry"):
            gaps = [asyncio.run(measure(fleet, key, role)) for _ in range(args.repeat)]
            print(f"{role:10}  " + "  ".join(f"{gap:.2f}" for gap in gaps), flush=True)
    finally:
        fleet.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
