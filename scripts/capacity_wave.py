"""Measure what a maintenance wave costs each role, with and without a platform."""

import asyncio
import threading
import time
from datetime import timedelta
from pathlib import Path

from redwingslip.standins import PlatformStandin

from .capacity_fleet import ROLES, SETTLE_S, MeasuredFleet

__all__ = ["RATES", "measure_wave"]

RATES = {
    "cpu_percent": "% of a core",
    "link_bytes_out": "B/s",
    "link_bytes_in": "B/s",
    "link_segments": "segments/s",
    "http_bytes": "B/s",
}
REBOOT_TIME = timedelta(seconds=20)
POLL_S = 1.0
WAVE_TIMEOUT_S = 420.0


class PlatformThread:
    """A stand-in platform in its own thread, which only simulates reboots of VMs.

    Parameters
    ----------
    address : str
        ``host:port``; the platform listens on this port.
    vms : list of str
        Names of the VMs that the platform manages.
    """

    def __init__(self, address: str, vms: list[str]) -> None:
        self._port = int(address.rpartition(":")[2])
        self._vms = vms
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def start(self) -> None:
        """Start the thread and wait until the platform listens."""
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._start(), self._loop).result()

    async def _start(self) -> None:
        self._platform = PlatformStandin(
            dict.fromkeys(self._vms, ()), reboot_time=REBOOT_TIME, port=self._port
        )
        await self._platform.start()

    def stop(self) -> None:
        """Stop the event loop and wait until the thread has ended."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()


def measure_wave(
    folder: Path, seconds: float, *, n_vms: int, n_entries: int, with_platform: bool
) -> None:
    """Print usage without a wave and during one.

    With a platform, the wave can finish: its duration and the usage after it are
    printed too.
    """
    fleet = MeasuredFleet(folder, n_entries)
    vms = [f"vm-{i:04}" for i in range(n_vms)]
    platform = PlatformThread(fleet.system.platform_address, vms)
    try:
        fleet.start()
        if with_platform:
            platform.start()
        fleet.declare(n_vms)
        fleet.add_endpoints(n_vms)
        time.sleep(2 * SETTLE_S)
        _print_roles(fleet, "no wave", seconds)
        _run_wave(fleet, seconds, with_platform)
    finally:
        fleet.close()
        if with_platform:
            platform.stop()


def _run_wave(fleet: MeasuredFleet, seconds: float, with_platform: bool) -> None:
    began_at = time.monotonic()
    fleet.put("waves", "wave-1", {})
    time.sleep(2 * SETTLE_S)
    status = fleet.get("/v1/waves/wave-1")["status"]
    title = "wave" if with_platform else "wave without a platform"
    _print_roles(fleet, f"{title}, {len(status['active'])} VMs out of service", seconds)
    if not with_platform:
        return
    while status["state"] != "done" and time.monotonic() < began_at + WAVE_TIMEOUT_S:
        time.sleep(POLL_S)
        status = fleet.get("/v1/waves/wave-1")["status"]
    print(
        f"wave {status['state']} after {time.monotonic() - began_at:.0f} s: "
        f"{status['n_done']} VMs done, {status['n_skipped']} skipped, "
        f"{len(status['pending'])} pending"
    )
    time.sleep(SETTLE_S)
    _print_roles(fleet, "after the wave", seconds)


def _print_roles(fleet: MeasuredFleet, title: str, seconds: float) -> None:
    """Print the memory and the rates of each role."""
    counters = fleet.measure_usage(seconds)
    memory = fleet.memory_kb()
    for role in ROLES:
        rates = [
            f"{fleet.mean_by_role(counters, attribute)[role]:.5g} {unit}"
            for attribute, unit in RATES.items()
        ]
        print(f"{title}, {role}: {memory[role][0]} kB, {', '.join(rates)}", flush=True)
