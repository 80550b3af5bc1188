"""The demo: a whole system on loopback, work under failures, and a judge.

It starts replicas, entries and stand-in endpoints as separate processes, declares a
fleet, hands work in, and on the way moves a VM, drains a pool, kills a replica and an
entry, stops an entry in good order and withdraws a key. It exits with 1 if any work
was lost or doubled, any refusal was false, or any answer reached the wrong caller.
"""

import asyncio
import itertools
import json
import os
import shutil
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from redwingslip.load import check_outcomes, read_runs
from scripts.demo_callers import REFUSED_KEY, Ask, Balancer, Caller, new_photo
from scripts.fleet_processes import FleetProcesses

RUN_S = 30.0
N_CHECK_VMS = 4
N_ARCHIVE_VMS = 3
SLOTS = 8

POOLS = (
    ("checks", {"min_serving": 2, "max_unavailable": 1}),
    ("archive", {"min_serving": 1, "max_unavailable": 1}),
    ("spare", {"spare": True, "max_unavailable": 8}),
)
TEAMS = (
    ("forges", {"share": 2.0, "limit": 24}),
    ("notaries", {"share": 1.0, "limit": 12}),
)
QUEUES = (
    ("listing-checks", {"pool": "checks", "service": "checks", "urgent": True}),
    ("photo-checks", {"pool": "checks", "service": "checks"}),
    ("archive-sweeps", {"pool": "archive", "service": "archive"}),
)


def vm_names() -> list[tuple[str, str, str]]:
    """Return name, pool and service of each VM."""
    names = [(f"checks-{i + 1}", "checks", "checks") for i in range(N_CHECK_VMS)]
    names += [(f"archive-{i + 1}", "archive", "archive") for i in range(N_ARCHIVE_VMS)]
    return [*names, ("spare-1", "spare", "checks")]


def declare(fleet: FleetProcesses) -> None:
    """Write the fleet's desired state."""
    documents = [{"kind": "pools", "name": name, "spec": spec} for name, spec in POOLS]
    documents += [{"kind": "teams", "name": name, "spec": spec} for name, spec in TEAMS]
    for i, (name, pool, _) in enumerate(vm_names()):
        spec = {"pool": pool, "data_centre": f"dc-{i % 4 + 1}", "slots": SLOTS}
        documents.append({"kind": "vms", "name": name, "spec": spec})
    for name, spec in QUEUES:
        spec = {**spec, "max_run": "PT30S", "max_wait": "PT30S"}
        documents.append({"kind": "queues", "name": name, "spec": spec})
    path = fleet.folder / "fleet.json"
    path.write_text(json.dumps(documents))
    fleet.cli("apply", str(path))


def start_endpoints(fleet: FleetProcesses) -> None:
    """Start the stand-in endpoints, and the platform beside them."""
    endpoints = [
        f"{name}-a,{service},{name},{SLOTS}" for name, _, service in vm_names()
    ]
    port = fleet.platform.rpartition(":")[2]
    fleet.add_endpoints("endpoints", endpoints, "--platform-port", port)


def grant_key(fleet: FleetProcesses, team: str, name: str) -> str:
    """Return the secret of a new key."""
    result = fleet.cli("key", "grant", team, "--name", name)
    return json.loads(result.stdout)["secret"]


def move_vm(fleet: FleetProcesses) -> None:
    """Move the spare VM into the pool of the checks."""
    spec = {"pool": "checks", "data_centre": "dc-4", "slots": SLOTS}
    path = fleet.folder / "move.json"
    path.write_text(json.dumps({"kind": "vms", "name": "spare-1", "spec": spec}))
    fleet.cli("apply", str(path))


def leader_of(fleet: FleetProcesses) -> str:
    """Return the replica that leads."""
    return json.loads(fleet.cli("status").stdout)[0]["leader_id"]


async def call_again_and_again(
    caller: Caller, asks: list[Ask], new_ask, until: float, pause_s: float
) -> None:
    """Ask for one thing after the other until the time is over."""
    while time.monotonic() < until:
        ask = new_ask()
        asks.append(ask)
        await caller.ask(ask)
        await asyncio.sleep(pause_s)


async def fail_on_the_way(fleet: FleetProcesses, started: float) -> None:
    """Change and break things while work is under way."""
    log = Log(started)
    steps = (
        (3, "move spare-1 to checks", lambda: move_vm(fleet)),
        (
            5,
            "drain checks in a wave",
            lambda: fleet.cli("drain", "checks", "--name", "w1"),
        ),
        (9, "kill the leading replica", lambda: fleet.kill(leader_of(fleet))),
        (13, "stop entry-4 in good order", lambda: fleet.terminate("entry-4").wait()),
        (20, "kill entry-3", lambda: fleet.kill("entry-3")),
        (25, "withdraw the key b", lambda: fleet.cli("key", "withdraw", "b")),
    )
    for at_s, title, step in steps:
        await asyncio.sleep(max(0.0, started + at_s - time.monotonic()))
        log.say(title)
        await asyncio.to_thread(step)
        log.say(f"{title}: done")


class Log:
    """Prints what happens with the time since the start."""

    def __init__(self, started: float) -> None:
        self._started = started

    def say(self, text: str) -> None:
        """Print a line."""
        print(f"  {time.monotonic() - self._started:5.1f} s  {text}", flush=True)


async def run_callers(fleet: FleetProcesses, keys: dict[str, str]) -> list[Ask]:
    """Hand work in while things change and fail."""
    started = time.monotonic()
    until = started + RUN_S
    balancer = Balancer(list(fleet.http.values()))
    watching = asyncio.create_task(balancer.watch())
    caller = Caller(balancer)
    asks: list[Ask] = []
    numbers = itertools.count()

    def listing(key: str) -> Ask:
        body = json.dumps({"n": next(numbers), "sleep_s": 0.02}).encode()
        return Ask(queue="listing-checks", body=body, key=key, idempotent=False)

    def photo(key: str) -> Ask:
        return Ask(queue="photo-checks", body=new_photo(), key=key, idempotent=True)

    async def sweep() -> None:
        body = json.dumps({"n": next(numbers), "sleep_s": 12.0}).encode()
        ask = Ask(queue="archive-sweeps", body=body, key=keys["a"], idempotent=False)
        asks.append(ask)
        await caller.ask(ask, wait_s=40.0)

    async with asyncio.TaskGroup() as group:
        for i in range(12):
            key = keys["a" if i % 2 else "b"]
            new_ask = (
                (lambda key=key: listing(key))
                if i < 8
                else (lambda key=key: photo(key))
            )
            group.create_task(call_again_and_again(caller, asks, new_ask, until, 0.02))
        group.create_task(sweep())
        group.create_task(sweep())
        group.create_task(fail_on_the_way(fleet, started))
    watching.cancel()
    await caller.close()
    return asks


def wait_for_wave(fleet: FleetProcesses, name: str, timeout_s: float = 30.0) -> dict:
    """Wait until a wave is done and return its status."""
    deadline = time.monotonic() + timeout_s
    while True:
        status = json.loads(fleet.cli("get", "waves", name).stdout)
        document = status[0] if isinstance(status, list) else status
        is_done = document["status"].get("state") == "done"
        if is_done or time.monotonic() > deadline:
            return document["status"]
        time.sleep(0.5)


def report(asks: list[Ask], fleet: FleetProcesses) -> bool:
    """Print the table; return whether every promise was kept."""
    runs = read_runs(sorted(fleet.folder.glob("*.runs")))
    verdict = check_outcomes([ask.as_call(i) for i, ask in enumerate(asks)], runs)
    started = {run.caller_request_id for run in runs if run.event == "start"}
    n_false_attempts = sum(not started.isdisjoint(ask.not_run_ids) for ask in asks)
    n_refused_key = sum(ask.outcome == REFUSED_KEY for ask in asks)
    print("\n  what               count")
    for field, value in msgspec.structs.asdict(verdict).items():
        print(f"  {field.removeprefix('n_').replace('_', ' '):18} {value:6}")
    print(f"  (not run for a withdrawn key: {n_refused_key})")
    print(f"  false refusals among all attempts: {n_false_attempts}")
    times = sorted(ask.took_s for ask in asks if ask.outcome == "answered")
    if times:
        p50 = times[len(times) // 2]
        p99 = times[int(len(times) * 0.99)]
        print(f"  answered: p50 {p50 * 1000:.0f} ms, p99 {p99 * 1000:.0f} ms")
    for ask in asks:
        if ask.outcome in ("unknown", "not-run"):
            print(f"  {ask.outcome}: {ask.queue} {ask.detail[:100]}")
    return verdict.is_clean and not n_false_attempts


def main() -> int:
    """Run the demo and return the exit status."""
    folder = Path(tempfile.mkdtemp(prefix="redwingslip-demo-"))
    fleet = FleetProcesses(folder)
    try:
        print("starting 3 replicas and 4 entries", flush=True)
        fleet.found()
        fleet.start()
        fleet.wait_ready()
        declare(fleet)
        keys = {"a": grant_key(fleet, "forges", "a")}
        keys["b"] = grant_key(fleet, "notaries", "b")
        start_endpoints(fleet)
        print("handing work in", flush=True)
        asks = asyncio.run(run_callers(fleet, keys))
        wave = wait_for_wave(fleet, "w1")
        print(f"  wave w1: {wave}")
        is_clean = report(asks, fleet)
    finally:
        fleet.close()
    if is_clean and "REDWINGSLIP_KEEP" not in os.environ:
        shutil.rmtree(folder)
    else:
        print(f"  settings, logs and records: {folder}")
    return 0 if is_clean else 1


if __name__ == "__main__":
    sys.exit(main())
