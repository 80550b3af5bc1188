"""Measure times of changes and urgent requests with a process frozen or killed."""

import http.client
import json
import time

from .capacity_fleet import SETTLE_S, TIMEOUT_S, MeasuredFleet

__all__ = ["measure_faults"]

URGENT_POOL = "pool-000"
URGENT_SERVICE = "service-0"
URGENT_QUEUE = "urgent-open"
N_ROUNDS = 3
OBSERVE_S = 10.0
QUEUE_MAX_WAIT = "PT20S"
RETRY_PAUSE_S = 0.02
FIRST_TEAM_LIMIT = 5_000


def measure_faults(fleet: MeasuredFleet) -> None:
    """Print times with an entry frozen, a dispatcher killed and the leader killed."""
    spec = {
        "pool": URGENT_POOL,
        "service": URGENT_SERVICE,
        "open": True,
        "urgent": True,
        "max_wait": QUEUE_MAX_WAIT,
    }
    fleet.put("queues", URGENT_QUEUE, spec)
    frozen_ms = [_time_change_with_frozen_entry(fleet, i) for i in range(N_ROUNDS)]
    print(
        f"in force with an entry frozen: {_format_times(frozen_ms)} ms after acceptance"
    )
    idle_ms = _max_urgent_ms(fleet, 2.0)
    print(f"urgent request without a fault: longest {idle_ms:.0f} ms")
    urgent_ms = [_max_urgent_ms_after_kill(fleet) for _ in range(N_ROUNDS)]
    print(f"urgent request, dispatcher killed: longest {_format_times(urgent_ms)} ms")
    leaderless_ms = [_time_change_with_leader_killed(fleet, i) for i in range(N_ROUNDS)]
    print(
        f"leader killed: a change is in force after {_format_times(leaderless_ms)} ms"
    )


def _format_times(times_ms: list[float]) -> str:
    return " ".join(f"{t:.0f}" for t in times_ms)


def _time_change_with_frozen_entry(fleet: MeasuredFleet, number: int) -> float:
    name = fleet.system.entry_ids[-1]
    fleet.system.freeze(name)
    try:
        return fleet.time_team_change(FIRST_TEAM_LIMIT + number)[1]
    finally:
        fleet.system.thaw(name)
        time.sleep(SETTLE_S)


def _max_urgent_ms_after_kill(fleet: MeasuredFleet) -> float:
    """Kill the dispatcher; return the longest answer time at another entry in ms."""
    name = _find_dispatcher(fleet, URGENT_POOL)
    other_entry = next(entry for entry in fleet.system.entry_ids if entry != name)
    _time_urgent_request(fleet, other_entry)
    fleet.system.kill(name)
    max_ms = _max_urgent_ms(fleet, OBSERVE_S, other_entry)
    fleet.system.start(name)
    fleet.system.wait_ready()
    time.sleep(SETTLE_S)
    return max_ms


def _find_dispatcher(fleet: MeasuredFleet, pool: str) -> str:
    for name in fleet.system.entry_ids:
        if pool in fleet.get("/v1/status", name)["dispatched_pools"]:
            return name
    raise RuntimeError(f"no entry reports that it dispatches pool {pool}")


def _max_urgent_ms(
    fleet: MeasuredFleet, seconds: float, entry_id: str = "entry-1"
) -> float:
    end = time.monotonic() + seconds
    max_ms = 0.0
    while time.monotonic() < end:
        max_ms = max(max_ms, _time_urgent_request(fleet, entry_id))
        time.sleep(RETRY_PAUSE_S)
    return max_ms


def _time_urgent_request(fleet: MeasuredFleet, entry_id: str) -> float:
    """Return ms until an urgent request is answered with 200, with retries until then.

    Raises
    ------
    TimeoutError
        If there is no such answer within `TIMEOUT_S`.
    """
    began_at = time.monotonic()
    while time.monotonic() < began_at + TIMEOUT_S:
        conn = http.client.HTTPConnection(
            fleet.system.http_addresses[entry_id], timeout=TIMEOUT_S
        )
        try:
            conn.request(
                "POST",
                f"/v1/queues/{URGENT_QUEUE}/requests",
                json.dumps({"sleep_s": 0}),
                {"Content-Type": "application/json"},
            )
            status = conn.getresponse().status
        finally:
            conn.close()
        if status == http.HTTPStatus.OK:
            return 1_000 * (time.monotonic() - began_at)
        time.sleep(RETRY_PAUSE_S)
    raise TimeoutError("an urgent request was not answered with 200 in time")


def _time_change_with_leader_killed(fleet: MeasuredFleet, number: int) -> float:
    """Return ms from the kill until a change that was sent after it is in force."""
    name = fleet.leader()
    fleet.system.kill(name)
    began_at = time.monotonic()
    while True:
        try:
            fleet.time_team_change(FIRST_TEAM_LIMIT + N_ROUNDS + number)
            break
        except RuntimeError:
            time.sleep(RETRY_PAUSE_S)
    ended_at = time.monotonic()
    fleet.system.start(name)
    time.sleep(2 * SETTLE_S)
    return 1_000 * (ended_at - began_at)
