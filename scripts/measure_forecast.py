"""Measure what each part of the forecast does for pools whose demand comes in turns.

A model of a fleet without a network: arrivals, tasks on VMs and moves of machines take
simulated time, while the forecast and the planning of moves are those of the product.
"""

import argparse
import heapq
from collections import defaultdict, deque
from random import Random

import msgspec
from msgspec.structs import replace

from redwingslip.jobs import Amounts, StepSpec
from redwingslip.placement import (
    ArrivalSettings,
    ArrivalTrend,
    DemandForecast,
    ForecastSettings,
    PoolLoad,
    SizingSettings,
    plan_moves,
    with_reserves,
)

STEP_MS = 50
PLAN_MS = 100
REST_MS = 1200
# A move takes 1.5 s, is ordered one interval after it was planned, and the new VM
# reports itself some time after it.
MOVE_MS = 1500
REPORT_MS = 500
TURN_MS = 4500
VM_CPU = 4000
TASK_MS = 800
N_TASKS = 4
TARGET_MS = 2000
OPENING_MS = 3000
PLAIN = ForecastSettings(
    enabled=True,
    keep_initial=False,
    reserve_share=0,
    anticipate_rises=False,
    predict_cycles=False,
)
VARIANTS = {
    "present rule": None,
    "initial machines only": replace(PLAIN, keep_initial=True),
    "reserve of 0.5 only": replace(PLAIN, reserve_share=0.5),
    "reserve of 0.75 only": replace(PLAIN, reserve_share=0.75),
    "reserve of 1 only": replace(PLAIN, reserve_share=1),
    "rises only": replace(PLAIN, anticipate_rises=True),
    "cycles only": replace(PLAIN, predict_cycles=True),
    "all without cycles": ForecastSettings(enabled=True, predict_cycles=False),
    "all": ForecastSettings(enabled=True),
}


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """A fleet and its load.

    Attributes
    ----------
    n_vms : int
        VMs of each pool at the start.
    n_off : int
        Machines that are switched off at the start.
    peak : float
        Jobs a second of a pool during its turn.
    max_moves_share : float
        Share of the machines that may be moved at a time.
    order : str
        Pools that rise in turn, one letter each; `-` for a turn without a rise and `?`
        for a random pool.
    """

    n_vms: int = 30
    n_off: int = 40
    peak: float = 60.0
    order: str = "abcd-"
    max_moves_share: float = SizingSettings().max_moves_share


LOADS = {
    "in turn": Load(),
    "in random turns": Load(order="????-"),
    "in turn, more moves at a time": Load(max_moves_share=0.5),
    "in turn, smaller fleet": Load(n_vms=20, n_off=25),
    "in turn, smaller fleet, more moves": Load(n_vms=20, n_off=25, max_moves_share=0.5),
    "one peak": Load(order="a" + 60 * "-"),
    "steady": Load(order="a", peak=20),
}


class Vm:
    """A machine with its pool and the tasks that run on it."""

    __slots__ = ("idle_since", "n_runs", "name", "pool", "ready_ms", "target")

    def __init__(self, name: str, pool: str) -> None:
        self.name = name
        self.pool = pool
        self.n_runs = 0
        self.idle_since = 0
        self.ready_ms = 0
        self.target = ""


def arrivals_of(load: Load, rng: Random, duration_ms: int) -> list[tuple[int, str]]:
    """Return the times and pools of the jobs, in order."""
    arrivals = []
    for turn in range(duration_ms // TURN_MS):
        rising = load.order[turn % len(load.order)]
        if rising == "?":
            rising = rng.choice("abcd")
        for pool in "abcd":
            rate = load.peak if pool == rising else load.peak / 100
            at_ms = turn * TURN_MS + rng.expovariate(rate) * 1000
            while at_ms < (turn + 1) * TURN_MS:
                arrivals.append((int(at_ms), pool, pool == rising))
                at_ms += rng.expovariate(rate) * 1000
    return sorted(arrivals)


class Fleet:
    """The model of a fleet.

    Parameters
    ----------
    load : Load
        The fleet and its load.
    cfg : ForecastSettings or None
        Settings of the forecast; None for the present rule.
    seed : int
        Seed of the arrivals and of the errors of estimates.
    """

    def __init__(self, load: Load, cfg: ForecastSettings | None, seed: int) -> None:
        self.rng = Random(seed)
        self.sizing = SizingSettings(max_moves_share=load.max_moves_share)
        self.vms = [Vm(f"off-{n}", "off") for n in range(load.n_off)]
        self.vms += [Vm(f"{p}-{n}", p) for p in "abcd" for n in range(load.n_vms)]
        self.trend = ArrivalTrend(ArrivalSettings())
        self.forecast = DemandForecast(cfg) if cfg is not None else None
        self.waiting = {pool: deque() for pool in "abcd"}
        self.ends: list[tuple[int, int, Vm, list]] = []
        self.n_moves = 0
        self.on_ms = 0
        self.in_time = defaultdict(list)

    def accept(self, at_ms: int, pool: str, phase: str) -> None:
        """Accept a job; its estimate is off by a factor of up to e."""
        estimate_ms = int(TASK_MS * 2.718 ** self.rng.uniform(-1, 1))
        step = StepSpec(n_tasks=N_TASKS, need=Amounts(1000, 1), estimate_ms=estimate_ms)
        self.trend.record_job(pool, at_ms, (step,))
        if self.forecast is not None:
            self.forecast.record_job(pool, at_ms, (step,))
        job = [N_TASKS, at_ms + TASK_MS + TARGET_MS, phase]
        self.waiting[pool].extend([job] * N_TASKS)

    def end_runs(self, now_ms: int) -> None:
        """End the tasks whose time has come."""
        while self.ends and self.ends[0][0] <= now_ms:
            end_ms, _, vm, job = heapq.heappop(self.ends)
            vm.n_runs -= 1
            if not vm.n_runs:
                vm.idle_since = now_ms
            job[0] -= 1
            if not job[0]:
                self.in_time[job[2]].append(end_ms <= job[1])

    def place(self, now_ms: int) -> None:
        """Start waiting tasks on the fullest VMs that have room, late ones last."""
        for pool, tasks in self.waiting.items():
            is_late = [job[1] < now_ms + TASK_MS for job in tasks]
            if any(is_late) and not all(is_late):
                late = [job for job, flag in zip(tasks, is_late, strict=True) if flag]
                timely = [j for j, flag in zip(tasks, is_late, strict=True) if not flag]
                tasks.clear()
                tasks.extend(timely + late)
            while tasks:
                free = [
                    vm
                    for vm in self.vms
                    if vm.pool == pool
                    and vm.ready_ms <= now_ms
                    and not vm.target
                    and vm.n_runs < VM_CPU // 1000
                ]
                if not free:
                    break
                vm = max(free, key=lambda vm: vm.n_runs)
                vm.n_runs += 1
                end_ms = now_ms + int(TASK_MS * self.rng.uniform(0.5, 1.5))
                entry = (end_ms, self.rng.random(), vm, tasks.popleft())
                heapq.heappush(self.ends, entry)

    def plan(self, now_ms: int) -> None:
        """Begin the moves that were planned, and plan others."""
        for vm in self.vms:
            if vm.target and not vm.n_runs:
                vm.pool, vm.target = vm.target, ""
                vm.ready_ms = vm.idle_since = now_ms + MOVE_MS + REPORT_MS
                self.n_moves += 1
        loads = tuple(self.load_of(pool, now_ms) for pool in "abcd")
        off = [v.name for v in self.vms if v.pool == "off" and v.ready_ms <= now_ms]
        loads += (PoolLoad(pool="off", is_standby=True, idle=tuple(off)),)
        if self.forecast is not None:
            entries = with_reserves(loads, self.forecast, now_ms)
            loads = tuple(entry.load for entry in entries)
        n_moving = sum(
            vm.ready_ms - REPORT_MS > now_ms or bool(vm.target) for vm in self.vms
        )
        targets = {
            move.machine: move.pool for move in plan_moves(loads, n_moving, self.sizing)
        }
        for vm in self.vms:
            vm.target = targets.get(vm.name, vm.target)

    def load_of(self, pool: str, now_ms: int) -> PoolLoad:
        """Return the load of a pool."""
        coming = [
            vm
            for vm in self.vms
            if vm.target == pool or (vm.pool == pool and vm.ready_ms > now_ms)
        ]
        here = [
            vm
            for vm in self.vms
            if vm.pool == pool and vm.ready_ms <= now_ms and not vm.target
        ]
        idle = sorted((v for v in here if not v.n_runs), key=lambda v: v.idle_since)
        busy = sorted((v for v in here if v.n_runs), key=lambda v: v.n_runs)
        return PoolLoad(
            pool=pool,
            used=1000 * sum(vm.n_runs for vm in here),
            waiting=1000 * len(self.waiting[pool]),
            expected=self.trend.expected_cpu(pool, now_ms),
            room=VM_CPU * (len(here) + len(coming)),
            vm_room=VM_CPU,
            n_vms=len(here) + len(coming),
            idle=tuple(vm.name for vm in idle),
            resting=tuple(v.name for v in idle if now_ms - v.idle_since >= REST_MS),
            reclaimable=tuple(vm.name for vm in busy),
        )


def measure(load: Load, cfg: ForecastSettings | None, seed: int, n_s: int) -> Fleet:
    """Run the model for a time in seconds, the first 3 s without jobs."""
    fleet = Fleet(load, cfg, seed)
    start_ms = OPENING_MS
    arrivals = deque(arrivals_of(load, Random(seed), n_s * 1000))
    for now_ms in range(0, start_ms + n_s * 1000 + TURN_MS, STEP_MS):
        while arrivals and arrivals[0][0] + start_ms <= now_ms:
            at_ms, pool, is_rising = arrivals.popleft()
            is_opening = is_rising and at_ms % TURN_MS < OPENING_MS
            phase = "opening" if is_opening else "later" if is_rising else "calm"
            fleet.accept(at_ms + start_ms, pool, phase)
        fleet.end_runs(now_ms)
        fleet.place(now_ms)
        if now_ms % PLAN_MS == 0:
            fleet.plan(now_ms)
        fleet.on_ms += STEP_MS * sum(vm.pool != "off" for vm in fleet.vms)
    return fleet


def main() -> None:
    """Print the share of jobs in time, the moves and the machines that were on."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=66)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--loads", nargs="*", default=list(LOADS), choices=LOADS)
    args = parser.parse_args()
    for name in args.loads:
        print(f"\n{name}: {LOADS[name]}")
        print("| variant | opening | later | calm | moves | mean machines on |")
        print("|---|---|---|---|---|---|")
        for variant, cfg in VARIANTS.items():
            fleets = [
                measure(LOADS[name], cfg, seed, args.seconds)
                for seed in range(args.seeds)
            ]
            shares = []
            for phase in ("opening", "later", "calm"):
                ends = [end for fleet in fleets for end in fleet.in_time[phase]]
                shares.append(f"{sum(ends) / max(1, len(ends)):.3f}")
            n_moves = sum(fleet.n_moves for fleet in fleets) // args.seeds
            on_ms = sum(fleet.on_ms for fleet in fleets) / args.seeds
            on = on_ms / (args.seconds * 1000 + OPENING_MS + TURN_MS)
            print(f"| {variant} | {' | '.join(shares)} | {n_moves} | {on:.0f} |")


if __name__ == "__main__":
    main()
