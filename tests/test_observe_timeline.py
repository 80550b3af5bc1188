"""Tests of the time line."""

import itertools
import pathlib
import tempfile
import unittest
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from redwingslip.clock import ManualClock
from redwingslip.observe import (
    Event,
    EventLog,
    EventName,
    TimelineError,
    TimelineFilter,
    merge_timeline,
    render_picture,
    render_text,
)
from redwingslip.settings import LogSettings

MILLISECOND = timedelta(milliseconds=1)

ENTRY_STEPS = [EventName.CALL_SENT, EventName.CALL_ENDED, EventName.REQUEST_ANSWERED]


class Recorder:
    """Writes the logs of several processes, each with a clock of its own.

    Parameters
    ----------
    skews : dict
        Time by which each process's clock is ahead.
    """

    def __init__(self, folder: str, skews: dict[str, timedelta]) -> None:
        self.paths = [pathlib.Path(folder, f"{name}.log") for name in skews]
        self.clocks = {name: ManualClock() for name in skews}
        self.logs = {}
        lowest = min(skews.values())
        for path, (name, skew) in zip(self.paths, skews.items(), strict=True):
            self.clocks[name].advance(skew - lowest)
            self.logs[name] = EventLog(
                LogSettings(path=path), process_id=name, clock=self.clocks[name]
            )

    def emit(self, process: str, name: EventName, **fields) -> None:
        """Write an event, one millisecond after the previous one."""
        for clock in self.clocks.values():
            clock.advance(MILLISECOND)
        self.logs[process].emit(Event(name=name, **fields))

    def merge(self, event_filter: TimelineFilter | None = None):
        """Return the merged time line."""
        for log in self.logs.values():
            log.close()
        return merge_timeline(self.paths, event_filter)


class TestMergeTimeline(unittest.TestCase):
    """The order of the events of several processes."""

    def setUp(self):
        """Create a folder for the logs."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def make_recorder(self, **skews_ms: int) -> Recorder:
        """Return a recorder whose processes' clocks are off by milliseconds."""
        folder = tempfile.mkdtemp(dir=self.folder)
        return Recorder(folder, {k: v * MILLISECOND for k, v in skews_ms.items()})

    def test_request_keeps_its_steps_in_order_under_skew(self):
        """A grant precedes its call though the dispatcher is an hour ahead."""
        recorder = self.make_recorder(entry=0, dispatcher=3_600_000)
        recorder.emit("entry", EventName.REQUEST_RECEIVED, request_id="r")
        recorder.emit(
            "dispatcher", EventName.PERMIT_GRANTED, request_id="r", permit_id="p"
        )
        for name in ENTRY_STEPS:
            recorder.emit("entry", name, request_id="r", permit_id="p")
        names = [event.event.name for event in recorder.merge()]
        self.assertEqual(
            names,
            [EventName.REQUEST_RECEIVED, EventName.PERMIT_GRANTED, *ENTRY_STEPS],
        )

    def test_retry_keeps_each_permit_with_its_call(self):
        """The second permit of a retried request is not moved before the first."""
        recorder = self.make_recorder(entry=-50, dispatcher=0)
        recorder.emit("entry", EventName.REQUEST_RECEIVED, request_id="r")
        for permit in ("p1", "p2"):
            fields = {"request_id": "r", "permit_id": permit}
            recorder.emit("dispatcher", EventName.PERMIT_GRANTED, **fields)
            recorder.emit("entry", EventName.CALL_SENT, **fields)
            recorder.emit("entry", EventName.CALL_ENDED, **fields)
        recorder.emit("entry", EventName.REQUEST_ANSWERED, request_id="r")
        permits = [
            event.event.permit_id
            for event in recorder.merge()
            if event.event.name in (EventName.PERMIT_GRANTED, EventName.CALL_SENT)
        ]
        self.assertEqual(permits, ["p1", "p1", "p2", "p2"])

    def test_attempts_of_a_request_stay_in_order_under_skew(self):
        """A dispatcher's refusal ends one attempt; the next attempt follows it.

        By the clocks alone, the first grant would come after the answer, and the
        refusal of the second attempt before the first grant.
        """
        recorder = self.make_recorder(entry=0, first=90_000, second=-90_000)
        recorder.emit("entry", EventName.REQUEST_RECEIVED, request_id="r")
        grant = {"request_id": "r.0", "permit_id": "p0", "epoch": 3}
        recorder.emit("first", EventName.PERMIT_GRANTED, **grant)
        call = {"request_id": "r", "permit_id": "p0"}
        recorder.emit("entry", EventName.CALL_SENT, **call)
        recorder.emit("entry", EventName.CALL_ENDED, **call)
        recorder.emit("second", EventName.REQUEST_REFUSED, request_id="r.1", epoch=7)
        grant = {"request_id": "r.2", "permit_id": "p2", "epoch": 8}
        recorder.emit("first", EventName.PERMIT_GRANTED, **grant)
        call = {"request_id": "r", "permit_id": "p2"}
        recorder.emit("entry", EventName.CALL_SENT, **call)
        recorder.emit("entry", EventName.CALL_ENDED, **call)
        recorder.emit("entry", EventName.REQUEST_ANSWERED, request_id="r")
        expected = [
            EventName.REQUEST_RECEIVED,
            EventName.PERMIT_GRANTED,
            EventName.CALL_SENT,
            EventName.CALL_ENDED,
            EventName.REQUEST_REFUSED,
            EventName.PERMIT_GRANTED,
            EventName.CALL_SENT,
            EventName.CALL_ENDED,
            EventName.REQUEST_ANSWERED,
        ]
        merged = recorder.merge(TimelineFilter(request="r"))
        self.assertEqual([event.event.name for event in merged], expected)

    def test_leader_applies_before_followers_under_skew(self):
        """The process that logged its election is the leader, whatever its clock."""
        recorder = self.make_recorder(leader=5_000, follower=0, entry=-5_000)
        recorder.emit("leader", EventName.LEADER_ELECTED, term=2)
        for process in ("leader", "follower", "entry"):
            recorder.emit(process, EventName.COMMAND_APPLIED, index=7)
        recorder.emit("entry", EventName.DISPATCH_STARTED, pool="p", epoch=7)
        processes = [event.process for event in recorder.merge()]
        self.assertEqual(processes[:2], ["leader", "leader"])

    def test_epoch_begins_after_its_command(self):
        """A dispatcher starts after the leader has applied its assignment."""
        recorder = self.make_recorder(leader=60_000, entry=0)
        recorder.emit("leader", EventName.LEADER_ELECTED, term=1)
        recorder.emit("leader", EventName.COMMAND_APPLIED, index=9)
        recorder.emit("entry", EventName.DISPATCH_STARTED, pool="p", epoch=9)
        names = [event.event.name for event in recorder.merge()]
        self.assertEqual(names[-1], EventName.DISPATCH_STARTED)

    @given(
        st.lists(st.integers(-100_000, 100_000), min_size=4, max_size=4),
        st.lists(st.integers(0, 3), min_size=1, max_size=60),
    )
    def test_order_holds_under_any_skew(self, skews, choices):
        """Each request's steps stay in order whatever the clocks' skew."""
        names = ["entry-1", "entry-2", "dispatcher-1", "dispatcher-2"]
        recorder = self.make_recorder(**dict(zip(names, skews, strict=True)))
        written_order = self.write_interleaved(recorder, choices)
        merged = [
            (event.event.request_id, event.event.name) for event in recorder.merge()
        ]
        self.assertCountEqual(merged, written_order)
        for request in {request for request, _ in written_order}:
            expected = [name for r, name in written_order if r == request]
            self.assertEqual([name for r, name in merged if r == request], expected)
        if len(set(skews)) == 1:
            self.assertEqual(merged, written_order)

    @given(st.lists(st.integers(0, 3), min_size=1, max_size=60))
    def test_order_is_that_of_time_when_clocks_agree(self, choices):
        """Without skew the merged order is the order of writing."""
        recorder = self.make_recorder(
            **dict.fromkeys(("entry-1", "entry-2", "dispatcher-1", "dispatcher-2"), 0)
        )
        written_order = self.write_interleaved(recorder, choices)
        merged = [
            (event.event.request_id, event.event.name) for event in recorder.merge()
        ]
        self.assertEqual(merged, written_order)

    def write_interleaved(self, recorder: Recorder, choices: list[int]) -> list[tuple]:
        """Write the steps of four requests, interleaved by the choices."""
        order = []
        requests = [self.request_steps(f"r{i}", i) for i in range(4)]
        for choice in choices:
            step = next(requests[choice], None)
            if step is not None:
                process, name, request = step
                recorder.emit(process, name, request_id=request, permit_id=request)
                order.append((request, name))
        return order

    def request_steps(self, request: str, number: int):
        """Yield the steps of one request."""
        entry = f"entry-{number % 2 + 1}"
        yield entry, EventName.REQUEST_RECEIVED, request
        yield f"dispatcher-{number // 2 + 1}", EventName.PERMIT_GRANTED, request
        for name in ENTRY_STEPS:
            yield entry, name, request

    def test_order_does_not_depend_on_the_order_of_files(self):
        """The files may be named in any order, for example a rotated log last."""
        recorder = self.make_recorder(a=0, b=40)
        for number in range(6):
            recorder.emit("ab"[number % 2], EventName.LINK_UP, peer=str(number))
        expected = recorder.merge()
        for paths in itertools.permutations(recorder.paths):
            self.assertEqual(merge_timeline([*paths, paths[0]]), expected)

    def test_damaged_logs_are_read_as_far_as_they_go(self):
        """Lines that are not events and contradictory orders raise no error."""
        recorder = self.make_recorder(a=0, b=0)
        fields = {"request_id": "r", "permit_id": "p"}
        recorder.emit("a", EventName.CALL_ENDED, **fields)
        recorder.emit("a", EventName.REQUEST_RECEIVED, **fields)
        with recorder.paths[1].open("ab") as file:
            file.write(b'{"process": "b"}\n\xff\xfe\n[]\n{"timestamp": 1e300,')
            file.write(b'"process":"b","task_uuid":"u","task_level":[1],')
            file.write(b'"message_type":"link.up"}\n')
        self.assertEqual(len(recorder.merge()), 2)

    def test_missing_file_is_named(self):
        """The error names the file."""
        with self.assertRaisesRegex(TimelineError, "absent"):
            merge_timeline(["/absent.log"])

    def test_filter_keeps_matching_events(self):
        """An event must match all fields of a filter."""
        recorder = self.make_recorder(a=0)
        recorder.emit("a", EventName.VM_DRAINED, vm="v1", wave="w")
        recorder.emit("a", EventName.VM_DRAINED, vm="v2", wave="w")
        events = recorder.merge(TimelineFilter(vm="v2", wave="w"))
        self.assertEqual([event.event.vm for event in events], ["v2"])


class TestRender(unittest.TestCase):
    """The time line as text and as a picture."""

    def setUp(self):
        """Merge a short time line."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        recorder = Recorder(folder.name, {"a": timedelta(0), "b": timedelta(0)})
        recorder.emit("a", EventName.VM_DRAINED, vm="v1", wave="w")
        recorder.emit("b", EventName.VM_REBOOTED, vm="v1", wave="w")
        self.events = recorder.merge()

    def test_text_has_a_line_for_each_event(self):
        """A line holds time, process, name and fields."""
        first, second = render_text(self.events).splitlines()
        self.assertEqual(first.split()[1:], ["a", "vm.drained", "vm=v1", "wave=w"])
        self.assertLess(first, second)

    def test_picture_is_written_in_the_format_of_its_name(self):
        """PNG and SVG are chosen by the ending of the name."""
        for name, start in (("t.png", b"\x89PNG"), ("t.svg", b"<?xml")):
            with self.subTest(name):
                render_picture(self.events, self.folder / name)
                data = (self.folder / name).read_bytes()
                self.assertTrue(data.startswith(start))

    def test_picture_without_events_is_drawn(self):
        """An empty time line raises no error."""
        render_picture([], self.folder / "empty.svg")

    def test_picture_that_cannot_be_written_is_an_error(self):
        """An unknown format and a missing folder raise `TimelineError`."""
        for name in ("t.unknown", "absent/t.png"):
            with self.subTest(name), self.assertRaises(TimelineError):
                render_picture(self.events, self.folder / name)


if __name__ == "__main__":
    unittest.main()
