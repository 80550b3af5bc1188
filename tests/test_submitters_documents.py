"""Tests of the submitters' documents: which are decoded, and which field is refused."""

import asyncio
import unittest
from datetime import UTC, datetime

import msgspec

from redwingslip.jobs import Amounts, JobsState, Queue, SubmitJob
from redwingslip.submitters import InvalidJobDocumentError
from redwingslip.submitters._documents import decode_job, view_job
from tests.support_odd import DEEP_BODY, ODD_NUMBERS

QUEUE = Queue(name="q", host="h", path_prefix="/q/", pool="p")
REPEAT = {"first_at": "2026-01-01T00:00:00Z", "interval": "PT5S", "count": 3}
STEP = {"n_tasks": 2, "need": {"cpu": 500, "memory_mb": 10}}


def decode(**fields):
    """Return the decoded job of a document with one step and the given fields."""
    body = msgspec.json.encode({"steps": [STEP], **fields})
    return asyncio.run(
        decode_job(body, job_id="0" * 16, queue=QUEUE, customer="forges")
    )


class TestDecodeJob(unittest.TestCase):
    """A document is decoded in full, or refused."""

    def test_a_step_becomes_a_step_spec(self):
        spec = decode(
            payload="x", steps=[STEP, {**STEP, "after": [0], "is_speculative": True}]
        )
        self.assertEqual(spec.steps[0].need, Amounts(500, 10, 0))
        self.assertEqual(spec.steps[1].after, (0,))
        self.assertTrue(spec.steps[1].is_speculative)
        self.assertEqual((spec.queue, spec.pool, spec.customer), ("q", "p", "forges"))

    def test_schedule_of_occurrences_is_converted_to_ms(self):
        repetition = decode(repeat=REPEAT).repetition
        first_ms = datetime(2026, 1, 1, tzinfo=UTC).timestamp() * 1000
        self.assertEqual(repetition.first_at_ms, first_ms)
        self.assertEqual((repetition.interval_ms, repetition.count), (5000, 3))

    def test_each_error_names_its_field(self):
        cases = [
            ({"steps": []}, "steps"),
            ({"steps": [{"n_tasks": 0}]}, "steps"),
            ({"steps": [{"n_tasks": "x"}]}, "steps"),
            ({"steps": [{**STEP, "need": {"cpu": -1}}]}, "steps"),
            ({"steps": [{**STEP, "after": [0]}]}, "steps.0.after"),
            ({"steps": [{**STEP, "longRunning": True}]}, "steps"),
            ({"steps": [{"n_tasks": 10**9}]}, "steps"),
            ({"repeat": {**REPEAT, "count": 10**9}}, "steps"),
            ({"payload": "x" * 4001}, "payload"),
            ({"color": "red"}, "color"),
            (
                {
                    "repeat": {
                        "first_at": "2026-01-01T00:00:00",
                        "interval": "PT5S",
                        "count": 3,
                    }
                },
                "repeat.first_at",
            ),
        ]
        for fields, field_at_fault in cases:
            with (
                self.subTest(fields=str(fields)[:80]),
                self.assertRaises(InvalidJobDocumentError) as caught,
            ):
                decode(**fields)
            self.assertIn(field_at_fault, str(caught.exception))

    def test_odd_numbers_are_refused(self):
        """Guards against a job that fails in the log."""
        for odd in ODD_NUMBERS:
            for field, fields in (
                ("n_tasks", {"steps": [{**STEP, "n_tasks": odd}]}),
                ("estimate_ms", {"steps": [{**STEP, "estimate_ms": odd}]}),
                ("max_per_vm", {"steps": [{**STEP, "max_per_vm": odd}]}),
                ("target_ms", {"steps": [{**STEP, "target_ms": odd}]}),
                ("disruption_budget", {"steps": [{**STEP, "disruption_budget": odd}]}),
                ("need.cpu", {"steps": [{**STEP, "need": {"cpu": odd}}]}),
                ("repeat.count", {"repeat": {**REPEAT, "count": odd}}),
            ):
                with self.subTest(fields=fields):
                    with self.assertRaises(InvalidJobDocumentError) as caught:
                        decode(**fields)
                    self.assertIn(field, caught.exception.field)

    def test_interval_into_the_past_is_refused(self):
        with self.assertRaises(InvalidJobDocumentError) as caught:
            decode(repeat={**REPEAT, "interval": "-PT5S"})
        self.assertEqual(caught.exception.field, "repeat.interval")

    def test_body_that_is_no_json_object_is_refused(self):
        for body in (b"{", b"[]", b"\xff", DEEP_BODY):
            with self.assertRaises(InvalidJobDocumentError):
                asyncio.run(decode_job(body, job_id="0" * 16, queue=QUEUE, customer=""))


class TestViewJob(unittest.TestCase):
    """The status and progress of a job."""

    def test_progress_is_reported_per_step(self):
        state = JobsState()
        job = state.apply(SubmitJob(spec=decode(), now_ms=2_000))
        view = view_job(job)
        self.assertEqual(view.accepted_at, datetime.fromtimestamp(2, UTC))
        self.assertIsNone(view.ended_at)
        self.assertEqual((view.steps[0].n_tasks, view.steps[0].n_done), (2, 0))


if __name__ == "__main__":
    unittest.main()
