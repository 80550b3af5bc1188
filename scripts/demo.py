"""Demo: send requests to a whole system during failures and check the outcomes.

The demo starts replicas, entries and stand-in endpoints as separate processes on
loopback, declares a fleet and sends requests. Meanwhile it moves a VM, drains a pool,
kills a replica and an entry, stops another entry gracefully and withdraws a key. It
exits with 1 if a request was lost or ran twice although it is not idempotent, if a
request that was answered as not run did run, or if an answer reached the wrong caller.
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
from scripts.demo_callers import REFUSED_KEY, Balancer, Caller, CallerRequest, new_photo
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
    """Return the name, pool and service of each VM."""
    names = [(f"checks-{i + 1}", "checks", "checks") for i in range(N_CHECK_VMS)]
    names += [(f"archive-{i + 1}", "archive", "archive") for i in range(N_ARCHIVE_VMS)]
    return [*names, ("spare-1", "spare", "checks")]


def declare(fleet: FleetProcesses) -> None:
    """Apply the fleet's desired state: pools, teams, VMs and queues."""
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
    """Start the stand-in endpoints and the stand-in platform in one process."""
    endpoints = [
        f"{name}-a,{service},{name},{SLOTS}" for name, _, service in vm_names()
    ]
    port = fleet.platform_address.rpartition(":")[2]
    fleet.add_endpoints("endpoints", endpoints, "--platform-port", port)


def grant_key(fleet: FleetProcesses, team: str, name: str) -> str:
    """Grant a key to a team and return its secret."""
    result = fleet.cli("key", "grant", team, "--name", name)
    return json.loads(result.stdout)["secret"]


def move_vm(fleet: FleetProcesses) -> None:
    """Move the spare VM into the pool ``checks``."""
    spec = {"pool": "checks", "data_centre": "dc-4", "slots": SLOTS}
    path = fleet.folder / "move.json"
    path.write_text(json.dumps({"kind": "vms", "name": "spare-1", "spec": spec}))
    fleet.cli("apply", str(path))


def leader_of(fleet: FleetProcesses) -> str:
    """Return the id of the leading replica."""
    return json.loads(fleet.cli("status").stdout)[0]["leader_id"]


async def send_requests_until(
    caller: Caller,
    requests: list[CallerRequest],
    new_request,
    until: float,
    pause_s: float,
) -> None:
    """Send one request after the other until the monotonic time `until`."""
    while time.monotonic() < until:
        request = new_request()
        requests.append(request)
        await caller.send(request)
        await asyncio.sleep(pause_s)


async def inject_faults(fleet: FleetProcesses, started: float) -> None:
    """Change the fleet and stop processes while requests are in flight."""
    printer = TimedPrinter(started)
    steps = (
        (3, "move spare-1 to checks", lambda: move_vm(fleet)),
        (
            5,
            "drain checks in a wave",
            lambda: fleet.cli("drain", "checks", "--name", "w1"),
        ),
        (9, "kill the leader", lambda: fleet.kill(leader_of(fleet))),
        (13, "stop entry-4 gracefully", lambda: fleet.terminate("entry-4").wait()),
        (20, "kill entry-3", lambda: fleet.kill("entry-3")),
        (25, "withdraw the key b", lambda: fleet.cli("key", "withdraw", "b")),
    )
    for at_s, title, step in steps:
        await asyncio.sleep(max(0.0, started + at_s - time.monotonic()))
        printer.print_line(title)
        await asyncio.to_thread(step)
        printer.print_line(f"{title}: done")


class TimedPrinter:
    """Prints lines with the time since the start."""

    def __init__(self, started: float) -> None:
        self._started = started

    def print_line(self, text: str) -> None:
        """Print a line with the seconds since the start."""
        print(f"  {time.monotonic() - self._started:5.1f} s  {text}", flush=True)


async def run_callers(
    fleet: FleetProcesses, keys: dict[str, str]
) -> list[CallerRequest]:
    """Send requests while faults are injected; return all requests."""
    started = time.monotonic()
    until = started + RUN_S
    balancer = Balancer(list(fleet.http_addresses.values()))
    polling = asyncio.create_task(balancer.poll_readiness())
    caller = Caller(balancer)
    requests: list[CallerRequest] = []
    numbers = itertools.count()

    def new_listing_request(key: str) -> CallerRequest:
        body = json.dumps({"n": next(numbers), "sleep_s": 0.02}).encode()
        return CallerRequest(
            queue="listing-checks", body=body, key=key, idempotent=False
        )

    def new_photo_request(key: str) -> CallerRequest:
        return CallerRequest(
            queue="photo-checks", body=new_photo(), key=key, idempotent=True
        )

    async def run_sweep() -> None:
        body = json.dumps({"n": next(numbers), "sleep_s": 12.0}).encode()
        request = CallerRequest(
            queue="archive-sweeps", body=body, key=keys["a"], idempotent=False
        )
        requests.append(request)
        await caller.send(request, wait_s=40.0)

    async with asyncio.TaskGroup() as group:
        for i in range(12):
            key = keys["a" if i % 2 else "b"]
            new_request = (
                (lambda key=key: new_listing_request(key))
                if i < 8
                else (lambda key=key: new_photo_request(key))
            )
            group.create_task(
                send_requests_until(caller, requests, new_request, until, 0.02)
            )
        group.create_task(run_sweep())
        group.create_task(run_sweep())
        group.create_task(inject_faults(fleet, started))
    polling.cancel()
    await caller.close()
    return requests


def wait_for_wave(fleet: FleetProcesses, name: str, timeout_s: float = 30.0) -> dict:
    """Return a wave's status once it is done, or its last status at the timeout."""
    deadline = time.monotonic() + timeout_s
    while True:
        status = json.loads(fleet.cli("get", "waves", name).stdout)
        document = status[0] if isinstance(status, list) else status
        is_done = document["status"].get("state") == "done"
        if is_done or time.monotonic() > deadline:
            return document["status"]
        time.sleep(0.5)


def report(requests: list[CallerRequest], fleet: FleetProcesses) -> bool:
    """Print the table of outcomes; return whether every guarantee was kept."""
    runs = read_runs(sorted(fleet.folder.glob("*.runs")))
    verdict = check_outcomes(
        [request.as_call_outcome(i) for i, request in enumerate(requests)], runs
    )
    started = {run.caller_request_id for run in runs if run.event == "start"}
    n_false_attempts = sum(
        not started.isdisjoint(request.not_run_ids) for request in requests
    )
    n_refused_key = sum(request.outcome == REFUSED_KEY for request in requests)
    print("\n  what               count")
    for field, value in msgspec.structs.asdict(verdict).items():
        print(f"  {field.removeprefix('n_').replace('_', ' '):18} {value:6}")
    print(f"  (not run because the key was withdrawn: {n_refused_key})")
    print(f"  requests with a false not-run answer in any attempt: {n_false_attempts}")
    times = sorted(
        request.took_s for request in requests if request.outcome == "answered"
    )
    if times:
        p50 = times[len(times) // 2]
        p99 = times[int(len(times) * 0.99)]
        print(f"  answered: p50 {p50 * 1000:.0f} ms, p99 {p99 * 1000:.0f} ms")
    for request in requests:
        if request.outcome in ("unknown", "not-run"):
            print(f"  {request.outcome}: {request.queue} {request.detail[:100]}")
    return verdict.is_clean and not n_false_attempts


def main() -> int:
    """Run the demo and return the exit status."""
    folder = Path(tempfile.mkdtemp(prefix="redwingslip-demo-"))
    fleet = FleetProcesses(folder)
    try:
        print("starting 3 replicas and 4 entries", flush=True)
        fleet.bootstrap()
        fleet.start()
        fleet.wait_ready()
        declare(fleet)
        keys = {"a": grant_key(fleet, "forges", "a")}
        keys["b"] = grant_key(fleet, "notaries", "b")
        start_endpoints(fleet)
        print("sending requests", flush=True)
        requests = asyncio.run(run_callers(fleet, keys))
        wave = wait_for_wave(fleet, "w1")
        print(f"  wave w1: {wave}")
        is_clean = report(requests, fleet)
    finally:
        fleet.close()
    if is_clean and "REDWINGSLIP_KEEP" not in os.environ:
        shutil.rmtree(folder)
    else:
        print(f"  settings, logs and records: {folder}")
    return 0 if is_clean else 1


if __name__ == "__main__":
    sys.exit(main())
