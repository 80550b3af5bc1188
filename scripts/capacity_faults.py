"""How long changes and urgent work take while a process of the system is gone."""

import http.client
import json
import time

from .capacity_fleet import GIVE_UP_S, SETTLE_S, MeasuredFleet

__all__ = ["measure_faults"]

URGENT_POOL = "pool-000"
URGENT_SERVICE = "service-0"
URGENT_QUEUE = "urgent-open"
N_ROUNDS = 3
WATCH_S = 10.0
MAX_WAIT = "PT20S"
PAUSE_S = 0.02
LIMIT = 5_000


def measure_faults(fleet: MeasuredFleet) -> None:
    """Print times with an entry frozen, a dispatcher killed, the leader killed."""
    spec = {
        "pool": URGENT_POOL,
        "service": URGENT_SERVICE,
        "open": True,
        "urgent": True,
        "max_wait": MAX_WAIT,
    }
    fleet.put("queues", URGENT_QUEUE, spec)
    frozen = [_change_with_frozen_entry(fleet, i) for i in range(N_ROUNDS)]
    print(f"in force with an entry frozen: {_shown(frozen)} ms from acceptance")
    rest = _longest_urgent(fleet, 2.0)
    print(f"urgent request at rest: longest {rest:.0f} ms")
    killed = [_urgent_with_dispatcher_killed(fleet) for _ in range(N_ROUNDS)]
    print(f"urgent request, dispatcher killed: longest {_shown(killed)} ms")
    leaderless = [_change_with_leader_killed(fleet, i) for i in range(N_ROUNDS)]
    print(f"leader killed: a change is in force after {_shown(leaderless)} ms")


def _shown(times: list[float]) -> str:
    return " ".join(f"{t:.0f}" for t in times)


def _change_with_frozen_entry(fleet: MeasuredFleet, number: int) -> float:
    name = fleet.fleet.entry_ids[-1]
    fleet.fleet.freeze(name)
    try:
        return fleet.change_team(LIMIT + number)[1]
    finally:
        fleet.fleet.thaw(name)
        time.sleep(SETTLE_S)


def _urgent_with_dispatcher_killed(fleet: MeasuredFleet) -> float:
    """Return the longest answer at another entry around the kill."""
    name = _dispatcher_of(fleet, URGENT_POOL)
    asked = next(entry for entry in fleet.fleet.entry_ids if entry != name)
    _ask_urgent(fleet, asked)
    fleet.fleet.kill(name)
    longest = _longest_urgent(fleet, WATCH_S, asked)
    fleet.fleet.start(name)
    fleet.fleet.wait_ready()
    time.sleep(SETTLE_S)
    return longest


def _dispatcher_of(fleet: MeasuredFleet, pool: str) -> str:
    for name in fleet.fleet.entry_ids:
        if pool in fleet.get("/v1/status", name)["dispatched_pools"]:
            return name
    raise RuntimeError(f"nobody dispatches {pool}")


def _longest_urgent(
    fleet: MeasuredFleet, seconds: float, entry_id: str = "entry-1"
) -> float:
    end = time.monotonic() + seconds
    longest = 0.0
    while time.monotonic() < end:
        longest = max(longest, _ask_urgent(fleet, entry_id))
        time.sleep(PAUSE_S)
    return longest


def _ask_urgent(fleet: MeasuredFleet, entry_id: str) -> float:
    """Return ms until an urgent request was answered; a refusal is asked again."""
    began_at = time.monotonic()
    while time.monotonic() < began_at + GIVE_UP_S:
        conn = http.client.HTTPConnection(fleet.fleet.http[entry_id], timeout=GIVE_UP_S)
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
        time.sleep(PAUSE_S)
    raise TimeoutError("an urgent request was not answered")


def _change_with_leader_killed(fleet: MeasuredFleet, number: int) -> float:
    """Return ms from the kill until a change made after it is in force."""
    name = fleet.leader()
    fleet.fleet.kill(name)
    began_at = time.monotonic()
    while True:
        try:
            fleet.change_team(LIMIT + N_ROUNDS + number)
            break
        except RuntimeError:
            time.sleep(PAUSE_S)
    ended_at = time.monotonic()
    fleet.fleet.start(name)
    time.sleep(2 * SETTLE_S)
    return 1_000 * (ended_at - began_at)
