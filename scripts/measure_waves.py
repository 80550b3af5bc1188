"""Compare waves with the least possible time, and moves with and without hysteresis.

Everything runs on a manual clock over the replicated state and the planners, without
processes or a network.
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
MAX_WAIT_S = 30
N_SEEDS = 3


class Durations:
    """Drain and boot times of each VM, drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def drain(self, vm: str) -> timedelta:
        """Return the drain time of a VM."""
        return random.Random(f"{self._seed} drain {vm}").randint(5, 30) * SECOND

    def boot(self, vm: str) -> timedelta:
        """Return the time from a VM's reboot order until it serves."""
        return random.Random(f"{self._seed} boot {vm}").randint(90, 240) * SECOND

    def min_outage_s(self, vm: str) -> float:
        """Return the least seconds that a VM is out of service in a wave."""
        return (self.drain(vm) + self.boot(vm)).total_seconds()


def build_fleet(
    n_pools: int, n_vms_per_pool: int, n_dcs: int, durations: Durations, **budget
):
    """Return a fleet whose pools are spread over data centres, four VMs to a rack.

    The last pool is the spare pool.
    """
    fleet = FleetDriver(drain_time=durations.drain, boot_time=durations.boot)
    n_vms_placed = Counter()
    for i in range(n_pools):
        pool = f"pool-{i:03}"
        fleet.add_pool(pool, spare=i == n_pools - 1, **budget)
        for j in range(n_vms_per_pool + (i < n_pools * 0.3 and n_vms_per_pool == 6)):
            dc = f"dc{(i + j // 2) % n_dcs}"
            rack = f"rack-{n_vms_placed[dc] // 4:03}"
            n_vms_placed[dc] += 1
            fleet.add_vm(f"{pool}-{j}", pool, dc=dc, rack=rack)
    return fleet


def min_wave_s(fleet: FleetDriver, durations: Durations) -> float:
    """Return a lower bound of the seconds of a wave that knows every duration.

    A pool needs at least the makespan of the best division of its VMs over as many
    lanes as VMs may be out of service. Each failure domain in a pool needs at least
    the sum of its outages divided by its own limit.
    """
    sums = defaultdict(float)
    times_of = defaultdict(list)
    for vm in fleet.view.vms.values():
        spec = fleet.view.pool(vm.pool)
        outage_s = durations.min_outage_s(vm.name)
        times_of[vm.pool].append(outage_s)
        domain = (vm.pool, vm.data_centre)
        sums[domain] += outage_s / spec.max_unavailable_per_data_centre
        sums[(*domain, vm.rack)] += outage_s / spec.max_unavailable_per_rack
    pools = [
        best_makespan(times, fleet.view.pool(pool).max_unavailable)
        for pool, times in times_of.items()
    ]
    return max(*pools, *sums.values())


def best_makespan(times: list[float], n_lanes: int) -> float:
    """Return the least makespan of all divisions of the times over the lanes."""
    best = sum(times)
    for lanes in itertools.product(range(n_lanes), repeat=len(times) - 1):
        sums = [0.0] * n_lanes
        for lane, time_s in zip((0, *lanes), times, strict=True):
            sums[lane] += time_s
        best = min(best, max(sums))
    return best


def count_violations(fleet: FleetDriver) -> int:
    """Count the budgets that are exceeded, in a fleet without failures."""
    n_out = Counter()
    for vm in fleet.view.vms.values():
        if not vm.is_available:
            domain = (vm.pool, vm.data_centre)
            n_out.update([(vm.pool,), domain, (*domain, vm.rack)])
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
    fleet: FleetDriver, max_parallel: int, n_leader_changes: int
) -> tuple[float, int]:
    """Run a wave with `n_leader_changes` changes of the leader, one every 120 s.

    Returns
    -------
    tuple of float and int
        Seconds that the wave took, and budget violations summed over all steps.
    """
    fleet.put("wave", WaveSpec(max_parallel=max_parallel))
    fleet.plan()
    began_at = fleet.now
    violations = 0
    while not fleet.view.waves["wave"].is_done:
        fleet.step()
        violations += count_violations(fleet)
        if n_leader_changes and fleet.now.seconds % 120 == 0:
            fleet.replace_leader()
            n_leader_changes -= 1
    return (fleet.now - began_at).total_seconds(), violations


def measure_waves() -> None:
    """Print the time of waves, its lower bound, and the time with one VM at a time."""
    unlimited = 1_000_000
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
    print("waves: seconds, lower bound, ratio, violations, refused proposals")
    for name, n_pools, n_vms_per_pool, n_dcs, budget in sites:
        for seed in range(N_SEEDS):
            durations = Durations(seed)
            fleet = build_fleet(n_pools, n_vms_per_pool, n_dcs, durations, **budget)
            min_s = min_wave_s(fleet, durations)
            sequential_s = sum(durations.min_outage_s(vm) for vm in fleet.view.vms)
            took_s, violations = run_wave(fleet, unlimited, n_leader_changes=3)
            print(
                f"{name} {len(fleet.view.vms)} VMs {budget} seed {seed}: {took_s:.0f} "
                f"{min_s:.0f} {took_s / min_s:.2f} {violations} {fleet.n_refused}; "
                f"one at a time at least {sequential_s:.0f}",
                flush=True,
            )
    for name, n_pools, n_vms_per_pool, n_dcs, budget in sites[:3]:
        fleet = build_fleet(n_pools, n_vms_per_pool, n_dcs, Durations(0), **budget)
        took_s, violations = run_wave(fleet, 1, n_leader_changes=0)
        print(f"{name} {budget} one at a time: {took_s:.0f} s, {violations} violations")


def measure_failures() -> None:
    """Print the time and violations of a wave while single VMs and a rack fail."""
    for seed in range(N_SEEDS):
        rng = random.Random(seed)
        durations = Durations(seed)
        fleet = build_fleet(108, 6, 7, durations, max_unavailable=1)
        fleet.put("wave", WaveSpec())
        n_seconds_over = n_taken_over_budget = 0
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
            n_seconds_over += bool(count_violations(fleet))
            n_taken_over_budget += sum(is_over_budget(fleet, vm) for vm in taken)
        took_s = (fleet.now - began_at).total_seconds()
        print(
            f"design with failures seed {seed}: {took_s:.0f} s, VMs taken from a pool "
            f"over its budget {n_taken_over_budget}, seconds with a pool over budget "
            f"due to failures {n_seconds_over}"
        )


def is_over_budget(fleet: FleetDriver, vm: str) -> bool:
    """Return whether the pool of a VM has more VMs out of service than allowed."""
    pool = fleet.view.vms[vm].pool
    n_out = sum(not other.is_available for other in fleet.view.vms_of(pool))
    return n_out > fleet.view.pool(pool).max_unavailable


def generate_demand(seed: int, seconds: int) -> list[tuple[int, ...]]:
    """Return the demand of three pools in each second, in slots.

    Each pool peaks in turn at five times its mean for 5 s of each minute and has 0.64
    times its mean otherwise. In the second quarter of the time, which is one hour of
    the four that `measure_moves` simulates, the first pool's demand is 56 slots without
    peaks, which is more than the pool has. All values vary at random by up to 20 %.
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
    """Print moves and waiting with hysteresis, without it, and without moves at all."""
    seconds = 4 * 3600
    without_hysteresis = MoveSettings(window=SECOND, n_windows=1, n_slots_reserved=0)
    print("moves: VM moves, waiting slot-seconds, idle share of slots")
    for seed in range(N_SEEDS):
        demand = generate_demand(seed, seconds)
        cases = (
            ("hysteresis", MoveSettings()),
            ("none", without_hysteresis),
            ("no moves", None),
        )
        for name, settings in cases:
            print(f"seed {seed} {name}:", *simulate_moves(demand, settings), flush=True)


def simulate_moves(demand: list[tuple[int, ...]], settings: MoveSettings | None):
    """Simulate demand on a small fleet.

    Returns
    -------
    tuple of int, int and str
        VM moves, slot-seconds of waiting, and the idle share of all slots.
    """
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
    for n_requested in demand:
        fleet.step()
        for i, pool in enumerate(pools[:3]):
            n_slots = SLOTS * sum(vm.is_available for vm in fleet.view.vms_of(pool))
            queued[i] += n_requested[i]
            served = min(queued[i], n_slots)
            queued[i] = min(queued[i] - served, n_slots * MAX_WAIT_S)
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
    """Run the parts given on the command line, all by default."""
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
