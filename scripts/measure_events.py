"""Measure the time to emit an event, with each log setting and without a log."""

import argparse
import pathlib
import tempfile
import time

from redwingslip.clock import SystemClock
from redwingslip.observe import Event, EventLog, EventName, NullSink
from redwingslip.settings import LogSettings, RequestLogging

MICROSECONDS_PER_SECOND = 1e6

EVENT = Event(
    name=EventName.CALL_ENDED,
    request_id="entry-1-000123",
    team="team-1",
    queue="queue-1",
    pool="pool-1",
    endpoint_id="endpoint-1",
    permit_id="permit-1",
    status=200,
)


def measure(sink, n_events: int) -> float:
    """Return the microseconds that it takes to emit one event."""
    start = time.perf_counter()
    for _ in range(n_events):
        sink.emit(EVENT)
    return (time.perf_counter() - start) / n_events * MICROSECONDS_PER_SECOND


def main() -> None:
    """Print the time with each sink, and the bytes of a logged event."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--events", type=int, default=50_000)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "events.log")
        sinks = {"no log": NullSink()}
        for requests in RequestLogging:
            cfg = LogSettings(path=path, requests=requests)
            sinks[f"requests = {requests}"] = EventLog(
                cfg, process_id="entry-1", clock=SystemClock()
            )
        for name, sink in sinks.items():
            measure(sink, args.events // 10)
            print(f"{name}: {measure(sink, args.events):.2f} us per event")
        n_bytes = path.stat().st_size
        n_lines = sum(1 for _ in path.open("rb"))
        print(f"{n_bytes / n_lines:.0f} bytes per event")


if __name__ == "__main__":
    main()
