"""Measure the resource usage of each role as a system of local processes grows.

Each case prints its sizes, its values, and the least-squares line with its largest
residual. Memory, processor time and bytes are read from the kernel. Unless a case says
otherwise, the system is idle: its links carry empty frames and periodic messages only.
"""

import argparse
import itertools
import signal
import statistics
import sys
import tempfile
import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from redwingslip.observe import EventName

from .capacity_faults import measure_faults
from .capacity_fleet import POLL_S, SETTLE_S, MeasuredFleet, Role, print_fit
from .capacity_offline import (
    measure_snapshots,
    print_import_memory,
    print_message_sizes,
)
from .capacity_probe import read_memory_kb
from .capacity_wave import RATES, measure_wave

N_VMS = (85, 170, 340, 680)
N_ENDPOINTS = (85, 170, 340, 680)
N_ENTRIES = (2, 3, 5, 7)
N_VMS_FOR_ENTRIES = 170
N_ENTRIES_FOR_STATE = 6
N_CHANGES = 30
N_COST_CHANGES = 200
FIRST_TEAM_LIMIT = 1_000
N_LOG_ENTRIES = (1_000, 2_000, 3_000, 4_000)
N_WRITERS = 8


class Series:
    """Values of each measured quantity at growing sizes."""

    def __init__(self) -> None:
        self._sizes: dict[str, list[int]] = defaultdict(list)
        self._values: dict[str, list[float]] = defaultdict(list)
        self._units: dict[str, str] = {}

    def add(self, name: str, size: int, value: float, unit: str) -> None:
        """Add a value at a size."""
        self._sizes[name].append(size)
        self._values[name].append(value)
        self._units[name] = unit

    def print(self) -> None:
        """Print each quantity with its least-squares line."""
        for name, sizes in self._sizes.items():
            print_fit(name, sizes, self._values[name], self._units[name])


def add_rates(series: Series, fleet: MeasuredFleet, size: int, seconds: float) -> None:
    """Measure for some seconds; add the rates of each role and of all processes."""
    counters = fleet.measure_usage(seconds)
    for attribute, unit in RATES.items():
        for role, value in fleet.mean_by_role(counters, attribute).items():
            series.add(f"{role} {attribute}", size, value, unit)
        total = sum(getattr(c, attribute) for c in counters.values())
        series.add(f"all processes {attribute}", size, total, unit)


def add_memory(series: Series, fleet: MeasuredFleet, size: int) -> None:
    """Add the memory of each role."""
    for role, (resident, anonymous) in fleet.memory_kb().items():
        series.add(f"{role} resident", size, resident, "kB")
        series.add(f"{role} anonymous", size, anonymous, "kB")


def measure_state(fleet: MeasuredFleet, seconds: float) -> None:
    """Measure growing numbers of VMs, pools and teams without endpoints."""
    print(f"state: VMs, {N_ENTRIES_FOR_STATE} entries, no endpoints")
    series = Series()
    for n_vms in N_VMS:
        fleet.declare(n_vms)
        time.sleep(SETTLE_S)
        add_memory(series, fleet, n_vms)
        add_rates(series, fleet, n_vms, seconds)
        series.add("data folder", n_vms, fleet.disk_bytes(fleet.leader()), "B")
        seconds_to_start, resident = restart_follower(fleet)
        series.add("restart of a follower", n_vms, seconds_to_start, "s")
        series.add("follower resident after restart", n_vms, resident, "kB")
    series.print()


def measure_endpoints(fleet: MeasuredFleet, seconds: float) -> None:
    """Measure growing numbers of endpoints with all resources declared."""
    print(f"endpoints: with {N_VMS[-1]} VMs declared, {N_ENTRIES_FOR_STATE} entries")
    series = Series()
    for n_endpoints in N_ENDPOINTS:
        fleet.add_endpoints(n_endpoints)
        time.sleep(2 * SETTLE_S)
        add_memory(series, fleet, n_endpoints)
        add_rates(series, fleet, n_endpoints, seconds)
    series.print()


def measure_change_cost(fleet: MeasuredFleet) -> None:
    """Print the mean cost of a change, less the usage of the idle system before."""
    leader = fleet.leader()
    idle = fleet.measure_usage(SETTLE_S)
    n_bytes = fleet.disk_bytes(leader)
    busy = fleet.measure_usage_while(lambda: make_changes(fleet))
    n_written = fleet.disk_bytes(leader) - n_bytes
    seconds = busy[leader].seconds
    print(f"{N_COST_CHANGES} changes in {seconds:.2f} s: data folder +{n_written} B")
    for name in sorted(busy):
        cpu = busy[name].cpu_percent - idle[name].cpu_percent
        sent = busy[name].link_bytes_out - idle[name].link_bytes_out
        cpu_ms = cpu * 10 * seconds / N_COST_CHANGES
        n_sent = sent * seconds / N_COST_CHANGES
        is_leader = " (leader)" if name == leader else ""
        print(
            f"  {name}{is_leader}: {cpu_ms:.2f} ms of processor time and "
            f"{n_sent:.0f} B sent a change, beyond the idle system"
        )


def make_changes(fleet: MeasuredFleet) -> None:
    """Change a team many times, one change after another."""
    for i in range(N_COST_CHANGES):
        fleet.put_team("team-01", FIRST_TEAM_LIMIT + i, entry_id="entry-2")


def time_changes(fleet: MeasuredFleet) -> tuple[list[float], list[float]]:
    """Return each change's ms until acceptance, and from there until in force."""
    times = [fleet.time_team_change(FIRST_TEAM_LIMIT + i) for i in range(N_CHANGES)]
    return [t[0] for t in times], [t[1] for t in times]


def print_change_times(fleet: MeasuredFleet, title: str) -> None:
    """Print the median and maximum of the times of changes."""
    accepted, in_force = time_changes(fleet)
    print(
        f"{title}: {N_CHANGES} changes: accepted after median "
        f"{statistics.median(accepted):.0f} ms, max {max(accepted):.0f}; then in force "
        f"after median {statistics.median(in_force):.0f} ms, max {max(in_force):.0f}",
        flush=True,
    )


def restart_follower(fleet: MeasuredFleet) -> tuple[float, int]:
    """Kill and restart a follower.

    Returns
    -------
    tuple of float and int
        Seconds until the follower logged its start, and its resident memory in kB
        after it settled.
    """
    name = fleet.names_of_role(Role.FOLLOWER)[0]
    fleet.system.kill(name)
    log = fleet.folder / f"{name}.jsonl"
    size = log.stat().st_size
    began_at = time.monotonic()
    fleet.system.start(name)
    while EventName.PROCESS_STARTED.encode() not in log.read_bytes()[size:]:
        time.sleep(POLL_S)
    seconds = time.monotonic() - began_at
    time.sleep(SETTLE_S)
    return seconds, read_memory_kb(fleet.pids()[name])[0]


def measure_log(fleet: MeasuredFleet) -> None:
    """Measure memory while changes fill the replicated log up to its snapshot."""
    print("log: config changes beyond the declarations")
    series = Series()
    for n_done, n_target in itertools.pairwise((0, *N_LOG_ENTRIES)):
        limits = range(FIRST_TEAM_LIMIT + n_done, FIRST_TEAM_LIMIT + n_target)
        with ThreadPoolExecutor(N_WRITERS) as pool:
            list(pool.map(lambda n: fleet.put_team(f"team-{n % 8:02}", n), limits))
        time.sleep(SETTLE_S)
        add_memory(series, fleet, n_target)
    series.print()


def measure_entries(folder: Path, seconds: float) -> None:
    """Measure systems with growing numbers of entries."""
    print(f"entries: {N_VMS_FOR_ENTRIES} VMs declared, no endpoints")
    series = Series()
    for n_entries in N_ENTRIES:
        fleet = MeasuredFleet(folder / f"entries-{n_entries}", n_entries)
        try:
            fleet.start()
            fleet.declare(N_VMS_FOR_ENTRIES)
            time.sleep(SETTLE_S)
            add_memory(series, fleet, n_entries)
            add_rates(series, fleet, n_entries, seconds)
            print_change_times(fleet, f"{n_entries} entries")
        finally:
            fleet.close()
    series.print()


def measure_growth(folder: Path, seconds: float) -> None:
    """Measure one growing system: state, endpoints, changes, faults and log."""
    fleet = MeasuredFleet(folder / "growth", N_ENTRIES_FOR_STATE)
    try:
        fleet.start()
        measure_state(fleet, seconds)
        measure_endpoints(fleet, seconds)
        print_change_times(fleet, f"{N_VMS[-1]} VMs and endpoints")
        measure_change_cost(fleet)
        measure_faults(fleet)
        measure_log(fleet)
    finally:
        fleet.close()


def measure_waves(folder: Path, seconds: float) -> None:
    """Measure a wave without a platform and one with a platform."""
    for with_platform in (False, True):
        measure_wave(
            folder / f"wave-{with_platform}",
            seconds,
            n_vms=N_VMS[-1],
            n_entries=N_ENTRIES_FOR_STATE,
            with_platform=with_platform,
        )


def measure_offline(folder: Path, seconds: float) -> None:
    """Measure the quantities that need no running system."""
    measure_snapshots()
    print_import_memory()
    print_message_sizes()


CASES = {
    "offline": measure_offline,
    "entries": measure_entries,
    "growth": measure_growth,
    "waves": measure_waves,
}


def main() -> None:
    """Run the cases given on the command line, all by default."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("cases", nargs="*", default=list(CASES), metavar="CASE")
    parser.add_argument(
        "--seconds", type=float, default=10, help="duration of each reading in seconds"
    )
    args = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with tempfile.TemporaryDirectory() as folder:
        for case in args.cases:
            CASES[case](Path(folder), args.seconds)


if __name__ == "__main__":
    main()
