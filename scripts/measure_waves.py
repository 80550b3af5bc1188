"""Measure waves against the least time, and moves against a planner that is hasty.

Everything runs on a manual clock over the replicated state and the planners; there
are no nodes and no network.
"""

import argparse
import itertools
import pathlib
import random
import sys
from collections import Counter, defaultdict
from datetime import timedelta

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "src")]

from tests.fleet_driver import FleetDriver  # noqa: E402

from redwingslip.fleet import (  # noqa: E402
    PoolSpec,
    SiteSpec,
    VmHealth,
    WaveSpec,
)
from redwingslip.maintenance import MovePlanner, MoveSettings  # noqa: E402
from redwingslip.peers._messages import PoolDemand, TeamDemand  # noqa: E402

SECOND = timedelta(seconds=1)
SLOTS = 8
MAX_WAIT_SECONDS = 30
N_SEEDS = 3


class Durations:
    """How long each VM takes to drain and to boot, from a seed."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def drain(self, vm: str) -> timedelta:
        """Return the drain time of a VM."""
        return random.Random(f"{self._seed} drain {vm}").randint(5, 30) * SECOND

    def boot(self, vm: str) -> timedelta:
        """Return the time from a VM's reboot order until it serves."""
        return random.Random(f"{self._seed} boot {vm}").randint(90, 240) * SECOND

    def whole(self, vm: str) -> float:
        """Return the seconds that a VM is out at least."""
        return (self.drain(vm) + self.boot(vm)).total_seconds()


def build(n_pools: int, n_each: int, n_dcs: int, durations: Durations, **budget):
    """Return a fleet; each pool is spread over the data centres, four to a rack."""
    fleet = FleetDriver(drain_time=durations.drain, boot_time=durations.boot)
    places = Counter()
    for i in range(n_pools):
        pool = f"pool-{i:03}"
        fleet.add_pool(pool, spare=i == n_pools - 1, **budget)
        for j in range(n_each + (i < n_pools * 0.3 and n_each == 6)):
            dc = f"dc{(i + j // 2) % n_dcs}"
            rack = f"rack-{places[dc] // 4:03}"
            places[dc] += 1
            fleet.add_vm(f"{pool}-{j}", pool, dc=dc, rack=rack)
    return fleet


def least_time(fleet: FleetDriver, durations: Durations) -> float:
    """Return seconds that no wave can beat, even one that knows every duration.

    A pool needs at least the best division of its VMs over as many lanes as may be
    out, and each failure domain in it the sum over its own limit.
    """
    sums = defaultdict(float)
    times_of = defaultdict(list)
    for vm in fleet.view.vms.values():
        spec = fleet.view.pool(vm.pool)
        whole = durations.whole(vm.name)
        times_of[vm.pool].append(whole)
        place = (vm.pool, vm.data_centre)
        sums[place] += whole / spec.max_unavailable_per_data_centre
        sums[(*place, vm.rack)] += whole / spec.max_unavailable_per_rack
    pools = [
        best_makespan(times, fleet.view.pool(pool).max_unavailable)
        for pool, times in times_of.items()
    ]
    return max(*pools, *sums.values())


def best_makespan(times: list[float], n_lanes: int) -> float:
    """Return the least time in which some lanes do all of this, by trying all ways."""
    best = sum(times)
    for lanes in itertools.product(range(n_lanes), repeat=len(times) - 1):
        sums = [0.0] * n_lanes
        for lane, taken in zip((0, *lanes), times, strict=True):
            sums[lane] += taken
        best = min(best, max(sums))
    return best


def n_violations(fleet: FleetDriver) -> int:
    """Count the budgets that are broken now, in a fleet without failures."""
    n_out = Counter()
    for vm in fleet.view.vms.values():
        if not vm.is_available:
            place = (vm.pool, vm.data_centre)
            n_out.update([(vm.pool,), place, (*place, vm.rack)])
    limits = {}
    for scope in n_out:
        spec = fleet.view.pool(scope[0])
        limits[scope] = (
            spec.max_unavailable,
            spec.max_unavailable_per_data_centre,
            spec.max_unavailable_per_rack,
        )[len(scope) - 1]
    return sum(n_out[scope] > limits[scope] for scope in n_out)


def run_wave(
    fleet: FleetDriver, max_parallel: int, n_leaders: int
) -> tuple[float, int]:
    """Run a wave, changing leaders now and then; return seconds and violations."""
    fleet.put("wave", WaveSpec(max_parallel=max_parallel))
    fleet.plan()
    began_at = fleet.now
    violations = 0
    while not fleet.view.waves["wave"].is_done:
        fleet.step()
        violations += n_violations(fleet)
        if n_leaders and fleet.now.seconds % 120 == 0:
            fleet.replace_leader()
            n_leaders -= 1
    return (fleet.now - began_at).total_seconds(), violations


def measure_waves() -> None:
    """Print the time of waves beside the least and beside one VM at a time."""
    whole = 1_000_000
    sites = (
        ("brittany", 5, 8, 4, {"max_unavailable": 1}),
        ("brittany", 5, 8, 4, {"max_unavailable": 2, "max_unavailable_per_rack": 1}),
        ("slovakia", 5, 6, 3, {"max_unavailable": 1}),
        ("design", 108, 6, 7, {"max_unavailable": 1}),
        ("design", 108, 6, 7, {"max_unavailable": 2, "max_unavailable_per_rack": 1}),
        (
            "design",
            108,
            6,
            7,
            {"max_unavailable": 3, "max_unavailable_per_data_centre": 1},
        ),
    )
    print("waves: seconds, least seconds, ratio, violations, refused proposals")
    for name, n_pools, n_each, n_dcs, budget in sites:
        for seed in range(N_SEEDS):
            durations = Durations(seed)
            fleet = build(n_pools, n_each, n_dcs, durations, **budget)
            least = least_time(fleet, durations)
            one = sum(durations.whole(vm) for vm in fleet.view.vms)
            took, violations = run_wave(fleet, whole, n_leaders=3)
            print(
                f"{name} {len(fleet.view.vms)} VMs {budget} seed {seed}: {took:.0f} "
                f"{least:.0f} {took / least:.2f} {violations} {fleet.n_refused}; "
                f"one at a time at least {one:.0f}",
                flush=True,
            )
    for name, n_pools, n_each, n_dcs, budget in sites[:3]:
        fleet = build(n_pools, n_each, n_dcs, Durations(0), **budget)
        took, violations = run_wave(fleet, 1, n_leaders=0)
        print(f"{name} {budget} one at a time: {took:.0f} s, {violations} violations")


def measure_failures() -> None:
    """Print a wave at design size in which single VMs and a rack fail."""
    for seed in range(N_SEEDS):
        rng = random.Random(seed)
        durations = Durations(seed)
        fleet = build(108, 6, 7, durations, max_unavailable=1)
        fleet.put("wave", WaveSpec())
        n_over = n_taken_over = 0
        began_at = fleet.now
        back_at: dict[str, timedelta] = {}
        racks = sorted({(vm.data_centre, vm.rack) for vm in fleet.view.vms.values()})
        lost_rack = rng.choice(racks)
        while not fleet.view.waves["wave"].is_done:
            elapsed = int((fleet.now - began_at).total_seconds())
            serving = [vm for vm in fleet.view.vms.values() if vm.is_available]
            failing = [rng.choice(serving)] if elapsed % 120 == 60 else []
            if elapsed == 300:
                failing += [
                    vm for vm in serving if (vm.data_centre, vm.rack) == lost_rack
                ]
            for vm in failing:
                fleet.unresponsive_vms.add(vm.name)
                fleet.report(vm.name, VmHealth.DOWN)
                back_at[vm.name] = fleet.now + 180 * SECOND
            for vm in [vm for vm, at in back_at.items() if at <= fleet.now]:
                fleet.unresponsive_vms.discard(vm)
                del back_at[vm]
            before = {vm.name for vm in fleet.view.vms.values() if vm.is_available}
            fleet.step()
            taken = [vm for vm in before if not fleet.view.vms[vm].is_available]
            n_over += bool(n_violations(fleet))
            n_taken_over += sum(is_over(fleet, vm) for vm in taken)
        took = (fleet.now - began_at).total_seconds()
        print(
            f"design with failures seed {seed}: {took:.0f} s, VMs taken from a pool "
            f"over its budget {n_taken_over}, seconds with a pool over it by "
            f"failures {n_over}"
        )


def is_over(fleet: FleetDriver, vm: str) -> bool:
    """Return whether the pool of a VM that was just taken is over its budget."""
    pool = fleet.view.vms[vm].pool
    n_out = sum(not other.is_available for other in fleet.view.vms_of(pool))
    return n_out > fleet.view.pool(pool).max_unavailable


def recorded_demand(seed: int, seconds: int) -> list[tuple[int, ...]]:
    """Return what three pools are asked for in each second, in slots.

    Each queue peaks in turn at five times its mean for a few seconds, then drops to
    a twentieth. One pool's mean grows past its size for an hour in the middle.
    """
    rng = random.Random(seed)
    demand = []
    for second in range(seconds):
        now = []
        for pool in range(3):
            is_peak = (second + 20 * pool) % 60 < 5
            factor = 5.0 if is_peak else 0.64
            mean = 20.0
            if pool == 0 and seconds * 0.25 < second < seconds * 0.5:
                mean, factor = 56.0, 1.0
            now.append(int(mean * factor * rng.uniform(0.8, 1.2)))
        demand.append(tuple(now))
    return demand


def measure_moves() -> None:
    """Print moves and waiting with hysteresis, without it, and without moves."""
    seconds = 4 * 3600
    hasty = MoveSettings(window=SECOND, n_windows=1, n_slots_reserved=0)
    print("moves: VM moves, waiting slot-seconds, idle share of slots")
    for seed in range(N_SEEDS):
        demand = recorded_demand(seed, seconds)
        cases = (("hysteresis", MoveSettings()), ("none", hasty), ("no moves", None))
        for name, settings in cases:
            print(f"seed {seed} {name}:", *follow(demand, settings), flush=True)


def follow(demand: list[tuple[int, ...]], settings: MoveSettings | None):
    """Play demand to a small fleet; return moves, waiting and the idle share."""
    fleet = FleetDriver(
        drain_time=lambda vm: 10 * SECOND, boot_time=lambda vm: 5 * SECOND
    )
    fleet.put("default", SiteSpec(moves=settings is not None))
    fleet.moves = MovePlanner(settings)
    pools = ("a", "b", "c", "s")
    for pool in pools:
        fleet.put(pool, PoolSpec(spare=pool == "s", max_unavailable=2))
        fleet.add_pool(pool, spare=pool == "s", max_unavailable=2)
        for i in range(4):
            fleet.add_vm(f"{pool}{i}", pool)
    queued = [0, 0, 0]
    waiting = idle = total = 0
    for asked in demand:
        fleet.step()
        for i, pool in enumerate(pools[:3]):
            n_slots = SLOTS * sum(vm.is_available for vm in fleet.view.vms_of(pool))
            queued[i] += asked[i]
            served = min(queued[i], n_slots)
            queued[i] = min(queued[i] - served, n_slots * MAX_WAIT_SECONDS)
            waiting += queued[i]
            idle += n_slots - served
            total += n_slots
            teams = (TeamDemand(team="t", n_running=served, n_waiting=queued[i]),)
            msg = PoolDemand(
                pool=pool,
                epoch=1,
                teams=teams,
                n_slots=n_slots,
                n_idle=n_slots - served,
            )
            fleet.moves.handle_demand(msg, fleet.now)
    return fleet.n_moves, waiting, f"{idle / total:.2f}"


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parts = {
        "moves": measure_moves,
        "failures": measure_failures,
        "waves": measure_waves,
    }
    parser.add_argument("part", nargs="*", help=", ".join(parts))
    for part in parser.parse_args().part or parts:
        parts[part]()


if __name__ == "__main__":
    main()
