"""Measure the time of one decision as the fleet grows, and fit a line.

A dispatcher's decision covers the arrival, the grant and the end of one request. A
planner's decision covers one changed demand of a pool. Both are timed in fleets of all
sizes; for the dispatcher, every team has requests waiting in the measured pool.
"""

import argparse
import itertools
import statistics
import time
from collections import deque
from datetime import timedelta
from random import Random

import msgspec

from redwingslip.dispatch import Dispatcher, DispatchSettings, Granted
from redwingslip.fleet import (
    AssignDispatcher,
    FleetState,
    PoolSpec,
    PutResource,
    QueueSpec,
    RegisterEntry,
    TeamSpec,
    VmSpec,
)
from redwingslip.peers import (
    EndpointReport,
    PermitDone,
    PermitRequest,
    PoolDemand,
    RunResult,
    TeamDemand,
)
from redwingslip.quota import AllotmentPlanner, QuotaSettings

N_WORKERS = 680
N_POOLS = 108
N_TEAMS = 90
SCALES = (0.125, 0.25, 0.5, 1.0, 2.0)
MILLISECOND = timedelta(milliseconds=1)
FOREVER = timedelta(days=365)


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """Numbers of VMs (the workers), pools and teams in a fleet."""

    n_workers: int
    n_pools: int
    n_teams: int


class Fleet:
    """A declared fleet in which one entry is the dispatcher of every pool."""

    def __init__(self, size: Size, *, limit: int | None) -> None:
        self.size = size
        self.state = FleetState()
        self.index = 0
        self.apply(RegisterEntry(entry_id="n", incarnation="1", address=""))
        for number in range(size.n_teams):
            self.apply(PutResource(name=f"t{number}", spec=TeamSpec(limit=limit)))
        for number in range(size.n_pools):
            self.apply(PutResource(name=f"p{number}", spec=PoolSpec()))
        self.apply(PutResource(name="q", spec=QueueSpec(pool="p0", service="s")))
        for number in range(size.n_workers):
            spec = VmSpec(pool=f"p{number % size.n_pools}", data_centre="d")
            self.apply(PutResource(name=f"v{number}", spec=spec))
        self.epochs = {}
        for number in range(size.n_pools):
            pool = f"p{number}"
            self.apply(AssignDispatcher(pool=pool, entry_id="n", incarnation="1"))
            self.epochs[pool] = self.index

    def apply(self, command) -> None:
        """Apply a command at the next index."""
        self.index += 1
        self.state.apply(self.index, command)


def make_dispatcher(fleet: Fleet) -> Dispatcher:
    """Return the first pool's dispatcher, which has confirmed all endpoints."""
    dispatcher = Dispatcher(
        pool="p0",
        epoch=fleet.epochs["p0"],
        cfg=DispatchSettings(),
        view=fleet.state.view,
        rng=Random(1),
    )
    dispatcher.set_lease_end(FOREVER)
    for vm in fleet.state.view.vms_of("p0"):
        report = EndpointReport(
            endpoint_id=vm.name,
            incarnation="1",
            service="s",
            address="",
            vm=vm.name,
            slots=8,
            leaving=False,
            clock=MILLISECOND,
            fencing_token=fleet.state.view.fencing_token(vm.name),
        )
        dispatcher.report(report, timedelta(0))
    return dispatcher


def time_dispatcher(fleet: Fleet, n_decisions: int) -> float:
    """Return the microseconds that one request takes to arrive, be granted and end."""
    dispatcher = make_dispatcher(fleet)
    numbers = itertools.count()
    now = timedelta(0)

    def request() -> None:
        number = next(numbers)
        msg = PermitRequest(
            request_id=str(number),
            entry_id="n",
            pool="p0",
            queue="q",
            service="s",
            team=f"t{number % fleet.size.n_teams}",
            urgent=True,
            deadline=timedelta(hours=1),
            max_run=timedelta(seconds=30),
        )
        dispatcher.request(msg, now)

    for _ in range(dispatcher.n_slots + 2 * fleet.size.n_teams):
        request()
    permits = [o for o in dispatcher.take_outputs() if isinstance(o, Granted)]
    permits = deque(output.permit for output in permits)
    # The time passed in never advances, so that the dispatcher's rate-limited demand
    # messages add no cost to the measurement.
    begin = time.perf_counter()
    for _ in range(n_decisions):
        permit = permits.popleft()
        done = PermitDone(
            permit_id=permit.permit_id,
            request_id=permit.request_id,
            pool="p0",
            endpoint_id=permit.endpoint_id,
            result=RunResult.COMPLETED,
            run_time=MILLISECOND,
        )
        dispatcher.done(done, now)
        request()
        for output in dispatcher.take_outputs():
            if isinstance(output, Granted):
                permits.append(output.permit)
    return (time.perf_counter() - begin) / n_decisions * 1e6


def time_demand(fleet: Fleet, n_decisions: int) -> float:
    """Return the microseconds of a changed demand that divides no limit again."""
    return _time_planner(fleet, n_decisions, timedelta(0))


def time_division(fleet: Fleet, n_decisions: int) -> float:
    """Return the microseconds of a changed demand that divides a limit again."""
    return _time_planner(fleet, n_decisions // 10, QuotaSettings().plan_interval)


def _time_planner(fleet: Fleet, n_decisions: int, step: timedelta) -> float:
    planner = AllotmentPlanner(cfg=QuotaSettings(), view=fleet.state.view)
    planner.handle_in_force(fleet.index, timedelta(0))
    now = timedelta(seconds=10)
    rng = Random(1)
    for pool in fleet.epochs:
        planner.handle_demand(_pool_demand(fleet, pool, rng.randrange(20)), now)
    for output in planner.take_outputs():
        if hasattr(output, "command"):
            fleet.apply(output.command)
    planner.view_changed(now)
    planner.take_outputs()
    pools = list(fleet.epochs)
    messages = [
        _pool_demand(fleet, pools[n % len(pools)], rng.randrange(20))
        for n in range(n_decisions)
    ]
    begin = time.perf_counter()
    for message in messages:
        now += step
        planner.handle_demand(message, now)
        planner.take_outputs()
    return (time.perf_counter() - begin) / n_decisions * 1e6


def _pool_demand(fleet: Fleet, pool: str, n_waiting: int) -> PoolDemand:
    team = TeamDemand(team="t0", n_running=2, n_waiting=n_waiting)
    return PoolDemand(
        pool=pool, epoch=fleet.epochs[pool], teams=(team,), n_slots=48, n_idle=0
    )


def print_fit(label: str, sizes: list[int], costs: list[float]) -> None:
    """Print the costs in microseconds and the least-squares line through them."""
    slope, intercept = statistics.linear_regression(sizes, costs)
    growth = slope * (sizes[-1] - sizes[0])
    print(f"\n{label}")
    for size, cost in zip(sizes, costs, strict=True):
        print(f"  {size:6d}  {cost:8.1f} us")
    print(f"  fit: {intercept:.1f} us + {slope * 1000:.2f} us for each 1000;")
    print(f"  {growth:+.1f} us from the smallest to the largest size")


def scale_size(factor: float, *, n_pools: int | None = None) -> Size:
    """Return the design size times a factor, with `n_pools` pools if given."""
    return Size(
        n_workers=int(N_WORKERS * factor),
        n_pools=n_pools or max(int(N_POOLS * factor), 1),
        n_teams=max(int(N_TEAMS * factor), 1),
    )


def main() -> None:
    """Time the decisions at every size and print the fits."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--decisions", type=int, default=10_000)
    parser.add_argument("--repeats", type=int, default=3)
    args = parser.parse_args()

    def min_cost_us(time_case, size: Size, limit: int | None) -> float:
        return min(
            time_case(Fleet(size, limit=limit), args.decisions)
            for _ in range(args.repeats)
        )

    sizes = [scale_size(factor) for factor in SCALES]
    costs = [min_cost_us(time_dispatcher, size, None) for size in sizes]
    workers = [size.n_workers for size in sizes]
    print_fit("dispatcher, workers, pools and teams grow: by workers", workers, costs)
    sizes = [scale_size(factor, n_pools=1) for factor in SCALES]
    costs = [min_cost_us(time_dispatcher, size, None) for size in sizes]
    print_fit("dispatcher, one pool with all workers: by workers", workers, costs)
    sizes = [scale_size(factor) for factor in SCALES]
    pools = [size.n_pools for size in sizes]
    costs = [min_cost_us(time_demand, size, 500) for size in sizes]
    print_fit("planner, a changed demand: by pools", pools, costs)
    costs = [min_cost_us(time_division, size, 500) for size in sizes]
    print_fit("planner, a limit divided over all pools: by pools", pools, costs)


if __name__ == "__main__":
    main()
