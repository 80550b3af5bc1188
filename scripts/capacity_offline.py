"""Measure snapshots, import memory and message sizes without a running system."""

import subprocess
import sys
import time
from collections.abc import Callable
from datetime import timedelta

import msgspec

from redwingslip.fleet import FleetState
from redwingslip.peers import (
    EndpointReport,
    LeaseGrant,
    LeaseRenewal,
    Message,
    PoolDemand,
    TeamDemand,
)

from .capacity_fleet import print_fit
from .measure_state import add_claims, add_teams, build_fleet

__all__ = ["measure_snapshots", "print_import_memory", "print_message_sizes"]

N_VMS = (85, 170, 340, 680)
N_CLAIMS = (5_000, 10_000, 20_000, 40_000)
N_VMS_PER_TEAM = 7.5
N_REPEATS = 5

IMPORTS_BY_TITLE = (
    ("the interpreter", ""),
    ("asyncio", "asyncio"),
    ("asyncio, grpclib", "asyncio, grpclib.client, grpclib.server"),
    ("the same, eliot", "asyncio, grpclib.client, grpclib.server, eliot"),
    ("a replica", "redwingslip.daemons._replica"),
    ("asyncio, starlette, uvicorn", "asyncio, starlette.applications, uvicorn"),
    ("the same, aiosonic", "asyncio, starlette.applications, uvicorn, aiosonic"),
    ("an entry", "redwingslip.daemons._entry"),
)
MEMORY_SCRIPT = """
import os
from scripts.capacity_probe import read_memory_kb
resident, anonymous = read_memory_kb(os.getpid())
print(f"{resident} kB resident, {anonymous} kB anonymous")
"""


def measure_snapshots() -> None:
    """Print the processor time and size of snapshots, by VMs and by claims."""
    print("snapshots: VMs with teams in the design's proportion, no claims")
    _measure_snapshots_by_size(N_VMS, _fleet_with_teams)
    print("snapshots: settled claims without a body, one VM")
    _measure_snapshots_by_size(N_CLAIMS, _fleet_with_claims)


def _fleet_with_teams(n_vms: int) -> FleetState:
    fleet = build_fleet(n_vms)
    add_teams(fleet, round(n_vms / N_VMS_PER_TEAM))
    return fleet.state


def _fleet_with_claims(n_claims: int) -> FleetState:
    fleet = build_fleet(1)
    add_claims(fleet, n_claims)
    return fleet.state


def _measure_snapshots_by_size(
    sizes: tuple[int, ...], build: Callable[[int], FleetState]
) -> None:
    n_bytes = []
    take_ms = []
    restore_ms = []
    for size in sizes:
        state = build(size)
        data = state.snapshot()
        n_bytes.append(len(data))
        take_ms.append(_min_cpu_ms(state.snapshot))
        restore_ms.append(_min_cpu_ms(lambda data=data: FleetState().restore(data)))
    print_fit("snapshot size", sizes, n_bytes, "B")
    print_fit("taking a snapshot", sizes, take_ms, "ms of processor time")
    print_fit("restoring a snapshot", sizes, restore_ms, "ms of processor time")


def _min_cpu_ms(run: Callable[[], object]) -> float:
    """Return the least processor time of `N_REPEATS` runs in ms."""
    times_s = []
    for _ in range(N_REPEATS):
        began_at = time.process_time()
        run()
        times_s.append(time.process_time() - began_at)
    return 1_000 * min(times_s)


def print_import_memory() -> None:
    """Print the memory of a new process after it imported each set of modules."""
    for title, modules in IMPORTS_BY_TITLE:
        code = f"import {modules}\n" if modules else ""
        command = [sys.executable, "-c", code + MEMORY_SCRIPT]
        result = subprocess.run(command, capture_output=True, text=True, check=True)
        print(f"imports of {title}: {result.stdout.strip()}")


def print_message_sizes() -> None:
    """Print the encoded sizes of the messages that an idle system sends."""
    teams = tuple(
        TeamDemand(team=f"team-{i:02}", n_running=4, n_waiting=4) for i in range(8)
    )
    for title, message in (
        ("EndpointReport", _endpoint_report()),
        ("PoolDemand without teams", _pool_demand(())),
        ("PoolDemand with 8 teams", _pool_demand(teams)),
        ("LeaseRenewal", _lease_renewal()),
        ("LeaseGrant without changes", _lease_grant()),
    ):
        print(f"{title}: {len(msgspec.msgpack.encode(message))} B")


def _endpoint_report() -> Message:
    return EndpointReport(
        endpoint_id="e-0001",
        incarnation="0" * 32,
        service="service-100",
        address="127.0.0.1:40000",
        vm="vm-0001",
        slots=8,
        leaving=False,
        clock=timedelta(days=1, microseconds=1),
        fencing_token=100_000,
    )


def _pool_demand(teams: tuple[TeamDemand, ...]) -> Message:
    return PoolDemand(pool="pool-100", epoch=100_000, teams=teams, n_slots=48, n_idle=8)


def _lease_renewal() -> Message:
    return LeaseRenewal(
        entry_id="entry-1",
        incarnation="0" * 12,
        address="127.0.1.1:40000",
        data_centre="dc-1",
        number=100_000,
        applied_index=100_000,
    )


def _lease_grant() -> Message:
    return LeaseGrant(
        number=100_000,
        incarnation="0" * 12,
        term=10,
        duration=timedelta(seconds=1.5),
        from_index=100_000,
        index=100_000,
        in_force_index=100_000,
    )
