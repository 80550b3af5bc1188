"""Measure the replicated state: bytes of each item, processor time of each command.

Each kind of item is measured at four sizes; the printed bytes are the slope of the
least-squares line.
"""

import pathlib
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from datetime import UTC, datetime

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "src")]

from tests.fleet_driver import FleetDriver  # noqa: E402

from redwingslip.fleet import (  # noqa: E402
    BeginMaintenance,
    Claim,
    ClaimKey,
    ClaimOutcome,
    GrantAllotment,
    SettleClaim,
    TeamSpec,
    VmHealth,
    WaveSpec,
)
from redwingslip.maintenance import MovePlanner, WavePlanner  # noqa: E402

N_VMS = (170, 340, 510, 680)
N_TEAMS = (22, 45, 67, 90)
N_CLAIMS = (5_000, 10_000, 20_000, 40_000)
N_POOLS = 108
FORGET_AFTER = datetime(2026, 1, 1, 12, tzinfo=UTC)


def build_fleet(n_vms: int) -> FleetDriver:
    """Return a fleet whose VMs are spread over all pools, data centres and racks.

    Each data centre has racks of four VMs.
    """
    fleet = FleetDriver()
    for i in range(N_POOLS):
        fleet.add_pool(f"pool-{i:03}")
    for i in range(n_vms):
        place = {"dc": f"dc{i % 7}", "rack": f"rack-{i // 28:03}"}
        fleet.add_vm(f"worker-{i:04}", f"pool-{i % N_POOLS:03}", **place)
    return fleet


def add_teams(fleet: FleetDriver, n_teams: int) -> None:
    """Declare teams and grant each an allotment in each pool."""
    for i in range(n_teams):
        team = f"team-{i:02}"
        fleet.put(team, TeamSpec(limit=1_000))
        for j in range(N_POOLS):
            pool = f"pool-{j:03}"
            fleet.apply(GrantAllotment(team=team, pool=pool, count=8, if_version=0))


def add_claims(fleet: FleetDriver, n_claims: int) -> None:
    """Claim requests and settle each with an answer that has no body."""
    for i in range(n_claims):
        key = ClaimKey(team=f"team-{i % 90:02}", request_id=f"{i:032x}")
        attempt = f"{i:016x}"
        fleet.apply(
            Claim(
                key=key,
                entry_id="e",
                incarnation="1",
                attempt=attempt,
                forget_after=FORGET_AFTER,
            )
        )
        outcome = ClaimOutcome(run=True, status=200, content_type="text/plain")
        fleet.apply(SettleClaim(key=key, attempt=attempt, outcome=outcome))


def measure_bytes(
    name: str, sizes: tuple[int, ...], build: Callable[[int], FleetDriver]
) -> None:
    """Print the bytes that each item adds in memory and in a snapshot."""
    in_memory = []
    in_snapshot = []
    for size in sizes:
        tracemalloc.start()
        fleet = build(size)
        in_memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        in_snapshot.append(len(fleet.state.snapshot()))
    memory = statistics.linear_regression(sizes, in_memory)
    snapshot = statistics.linear_regression(sizes, in_snapshot)
    print(
        f"{name:6} sizes {sizes}: {memory.slope:7.0f} B in memory, "
        f"{snapshot.slope:6.0f} B in a snapshot; kB {[m // 1000 for m in in_memory]}"
    )


def build_teams(n_teams: int) -> FleetDriver:
    """Return a fleet of one VM with teams."""
    fleet = build_fleet(1)
    add_teams(fleet, n_teams)
    return fleet


def build_claims(n_claims: int) -> FleetDriver:
    """Return a fleet of one VM with claims."""
    fleet = build_fleet(1)
    add_claims(fleet, n_claims)
    return fleet


def cpu_us_per_run(n_runs: int, run: Callable[[], object]) -> float:
    """Return the processor time of `run` in microseconds, divided by `n_runs`."""
    began_at = time.process_time()
    run()
    return (time.process_time() - began_at) / n_runs * 1e6


def measure_commands(n_vms: int, n_teams: int, n_claims: int) -> None:
    """Print the processor time of commands, of plans and of a snapshot."""
    fleet = build_fleet(n_vms)
    names = list(fleet.view.vms)
    grant = cpu_us_per_run(n_teams * N_POOLS, lambda: add_teams(fleet, n_teams))
    claim = cpu_us_per_run(2 * n_claims, lambda: add_claims(fleet, n_claims))
    report = cpu_us_per_run(
        n_vms, lambda: [fleet.report(vm, VmHealth.UP) for vm in names]
    )
    fleet.put("wave", WaveSpec())
    planners = WavePlanner(), MovePlanner()
    plan = cpu_us_per_run(
        50,
        lambda: [
            planner.plan(fleet.view, fleet.now)
            for planner in planners
            for _ in range(50)
        ],
    )
    begin = cpu_us_per_run(
        n_vms,
        lambda: [fleet.apply(BeginMaintenance(vm=vm, wave="wave")) for vm in names],
    )
    snapshot = cpu_us_per_run(1, fleet.state.snapshot)
    print(
        f"{n_vms:4} VMs {n_teams:3} teams {n_claims:6} claims: us a command: "
        f"grant {grant:.0f} claim {claim:.0f} report {report:.0f} "
        f"begin {begin:.0f}; both plans {plan:.0f} us; "
        f"snapshot {snapshot / 1000:.0f} ms, {len(fleet.state.snapshot())} B"
    )


def main() -> None:
    """Run all measurements."""
    measure_bytes("VM", N_VMS, build_fleet)
    measure_bytes("team", N_TEAMS, build_teams)
    measure_bytes("claim", N_CLAIMS, build_claims)
    for sizes in zip(N_VMS, N_TEAMS, N_CLAIMS, strict=True):
        measure_commands(*sizes)


if __name__ == "__main__":
    main()
