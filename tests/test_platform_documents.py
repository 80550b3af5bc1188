"""Tests of the platform's documents: which are decoded, and which are refused."""

import asyncio
import unittest

import msgspec

from redwingslip.decoding import MAX_WHOLE
from redwingslip.jobs import (
    Amounts,
    JobsMachine,
    Queue,
    Repetition,
    StartWave,
    encode_command,
)
from redwingslip.platform import DocumentError
from redwingslip.platform._documents import (
    MAX_WAVE_S,
    decode_deregistration,
    decode_job,
    decode_plan,
    decode_report,
    decode_wave,
)
from tests.support_odd import (
    DEEP_BODY,
    ODD_ADDRESSES,
    ODD_NUMBERS,
    with_deep_field,
)

ROUTE = {
    "name": "r1",
    "host": "h.example",
    "pathPrefix": "/a/",
    "kind": "unsafe",
    "timeoutMs": 3000,
    "targetLatencyMs": 600,
    "priority": 1,
    "service": "s1",
    "maxAttempts": 4,
    "stretch": 1.6,
    "public": False,
}
TENANT = {
    "name": "t1",
    "apiKeys": ["k1", "k2"],
    "weight": 20,
    "maxCount": {"cpu": 1000, "memMb": 2000, "gpu": 0},
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "s1", "enforcesCapacity": True, "standby": False}],
    "limits": {"maxBodyBytes": 262144},
    "tenants": [TENANT],
}
QUEUE = Queue(name="r1", host="h", path_prefix="/a/", pool="s1")
REPORT = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 482113,
    "sequence": 4,
    "machine": "m-1",
    "born": 1700,
}


def encode(doc, **changes):
    """Return an encoded document with some fields changed, or left out if None."""
    doc = {**doc, **changes}
    return msgspec.json.encode({k: v for k, v in doc.items() if v is not None})


class TestDecodePlan(unittest.TestCase):
    """Configurations."""

    def test_every_field_is_decoded(self):
        body = encode(CONFIG)
        plan = decode_plan(body)
        self.assertEqual(plan.version, 7)
        self.assertEqual(plan.document, body)
        (queue,) = plan.queues
        self.assertEqual((queue.pool, queue.max_attempts), ("s1", 4))
        self.assertEqual((queue.stretch, queue.target_latency_ms), (1.6, 600))
        (customer,) = plan.customers
        self.assertEqual(customer.keys, ("k1", "k2"))
        self.assertEqual(customer.limit, Amounts(1000, 2000, 0))

    def assert_refused(self, field, **changes):
        with self.assertRaises(DocumentError) as caught:
            decode_plan(encode(CONFIG, **changes))
        self.assertIn(field, str(caught.exception))

    def test_truncated(self):
        with self.assertRaises(DocumentError):
            decode_plan(encode(CONFIG)[:-20])

    def test_unknown_service(self):
        self.assert_refused("queue r1", routes=[{**ROUTE, "service": "nowhere"}])

    def test_two_queues_at_one_address(self):
        self.assert_refused("queue r2", routes=[ROUTE, {**ROUTE, "name": "r2"}])

    def test_no_timeout(self):
        self.assert_refused("timeoutMs", routes=[{**ROUTE, "timeoutMs": 0}])

    def test_no_weight(self):
        self.assert_refused("customer t1", tenants=[{**TENANT, "weight": 0}])

    def test_shared_key(self):
        self.assert_refused("customer t2", tenants=[TENANT, {**TENANT, "name": "t2"}])

    def test_missing_fields(self):
        for field in ("version", "routes", "services"):
            self.assert_refused(field, **{field: None})

    def test_wrong_types(self):
        self.assert_refused("version", version="7")
        self.assert_refused("routes", routes={})

    def test_not_text(self):
        with self.assertRaises(DocumentError):
            decode_plan(b"\xff\xfe\x00")


class TestDecodeJob(unittest.TestCase):
    """Submissions."""

    def decode(self, doc):
        body = doc if isinstance(doc, bytes) else msgspec.json.encode(doc)
        return asyncio.run(
            decode_job(body, job_id="0" * 16, queue=QUEUE, customer="t1")
        )

    def test_every_field_is_decoded(self):
        step = {
            "count": 4,
            "cpu": 500,
            "memMb": 256,
            "gpu": 1,
            "estimateMs": 900,
            "checkpointing": True,
            "gang": True,
            "rackSensitive": True,
            "constraints": "a",
            "dataRack": "r1-3",
            "antiAffinity": 2,
            "speculative": True,
            "longRunning": True,
            "image": "i",
            "targetMs": 50,
            "fills": True,
            "missBudget": 3,
        }
        (decoded,) = self.decode({"spec": "x", "steps": [step]}).steps
        self.assertEqual(decoded.need, Amounts(500, 256, 1))
        self.assertEqual(decoded.label, "a")
        self.assertEqual(decoded.max_per_vm, 2)
        self.assertEqual(decoded.disruption_budget, 3)
        for name in (
            "has_checkpoints",
            "is_gang",
            "is_rack_bound",
            "is_speculative",
            "is_long_running",
            "is_filler",
        ):
            self.assertTrue(getattr(decoded, name), name)

    def test_occurrences(self):
        job = self.decode(
            {"steps": [], "repeatCount": 3, "startAtMs": 5, "intervalMs": 7}
        )
        expected = Repetition(first_at_ms=5, interval_ms=7, count=3)
        self.assertEqual(job.repetition, expected)

    def test_refused(self):
        for doc in (
            b"{",
            b"",
            b"[]",
            {"spec": "x" * 4001},
            {"spec": 7},
            {"steps": [{"count": 1, "after": [0]}]},
            {"steps": [{"count": -1}]},
            {"steps": [{"count": "1"}]},
            {"steps": [{"count": 10**9}]},
            {"steps": [{"count": 1}], "repeatCount": 10**9},
            {"repeatCount": 10**9},
        ):
            with self.subTest(doc=doc), self.assertRaises(DocumentError):
                self.decode(doc)


class TestDeepNesting(unittest.TestCase):
    """Documents that are nested more deeply than a decoder follows."""

    def test_every_document_is_refused(self):
        """Guards against a reader that ends by the depth of one document."""
        for name, decode in (
            ("config", decode_plan),
            ("wave", decode_wave),
            ("leave", decode_deregistration),
            ("report", lambda body: decode_report(body, vm_id="i-1")),
            (
                "job",
                lambda body: asyncio.run(
                    decode_job(body, job_id="0", queue=QUEUE, customer="")
                ),
            ),
        ):
            with self.subTest(name=name), self.assertRaises(DocumentError):
                decode(DEEP_BODY)

    def test_an_unknown_field_is_no_exception(self):
        with self.assertRaises(DocumentError):
            decode_report(with_deep_field(encode(REPORT)), vm_id="i-1")


class TestOddNumbers(unittest.TestCase):
    """Numbers that the log can't hold, or that count nothing."""

    def assert_refused(self, field, decode, body):
        """Decode a document and expect an error that names the field."""
        with self.subTest(field=field, body=body[-80:]):
            with self.assertRaises(DocumentError) as caught:
                decode(body)
            self.assertIn(field, str(caught.exception))

    def test_reports(self):
        """Guards against a report that fails in the log or outweighs all later ones."""

        def decode(body):
            return decode_report(body, vm_id="i-1")

        for odd in ODD_NUMBERS:
            for name in ("sequence", "born", "clockMs"):
                self.assert_refused(name, decode, encode(REPORT, **{name: odd}))
            for name in ("cpu", "memMb", "gpu"):
                body = encode(REPORT, capacity={**REPORT["capacity"], name: odd})
                self.assert_refused(f"capacity.{name}", decode, body)

    def test_capacity_that_no_machine_has(self):
        """Guards against a VM that seems to have room for everything."""
        body = encode(REPORT, capacity={"cpu": 10**12})
        self.assert_refused(
            "capacity.cpu", lambda body: decode_report(body, vm_id="i-1"), body
        )

    def test_deregistrations(self):
        for odd in ODD_NUMBERS:
            self.assert_refused("born", decode_deregistration, encode({"born": odd}))

    def test_jobs(self):
        """Guards against a job that fails in the log, or frees room by running."""

        def decode(body):
            return asyncio.run(decode_job(body, job_id="0", queue=QUEUE, customer=""))

        for odd in ODD_NUMBERS:
            for name in ("repeatCount", "startAtMs", "intervalMs"):
                self.assert_refused(name, decode, encode({name: odd}))
            for name in (
                "count",
                "cpu",
                "memMb",
                "gpu",
                "estimateMs",
                "antiAffinity",
                "targetMs",
                "missBudget",
            ):
                self.assert_refused(name, decode, encode({"steps": [{name: odd}]}))

    def test_configurations(self):
        """Guards against a plan that fails in the log."""
        for odd in ODD_NUMBERS:
            self.assert_refused("version", decode_plan, encode(CONFIG, version=odd))
            for name in ("timeoutMs", "targetLatencyMs", "maxAttempts"):
                body = encode(CONFIG, routes=[{**ROUTE, name: odd}])
                self.assert_refused(name, decode_plan, body)
            body = encode(CONFIG, tenants=[{**TENANT, "maxCount": {"cpu": odd}}])
            self.assert_refused("maxCount.cpu", decode_plan, body)
        for odd in (10**30, -(10**30)):
            body = encode(CONFIG, routes=[{**ROUTE, "priority": odd}])
            self.assert_refused("priority", decode_plan, body)

    def test_waves(self):
        """Guards against a wave whose end no snapshot can hold."""
        wave = {"wave": 1, "machines": ["m1"], "durationS": 20, "maxCount": 2}
        for odd in (*ODD_NUMBERS, 1e300, 2**64 // 1000):
            for name in ("wave", "durationS", "maxCount"):
                self.assert_refused(name, decode_wave, encode(wave, **{name: odd}))
        self.assert_refused(
            "durationS",
            decode_wave,
            encode(wave, durationS=0).replace(b":0", b":1e400"),
        )

    def test_the_largest_accepted_wave_fits_into_a_snapshot(self):
        """Guards against replicas that all end at their next snapshot."""
        wave = {"wave": MAX_WHOLE, "machines": ["m1"], "maxCount": MAX_WHOLE}
        order = decode_wave(encode(wave, durationS=MAX_WAVE_S))
        machine = JobsMachine()
        command = StartWave(
            number=order.number,
            machines=order.machines,
            duration_ms=order.duration_ms,
            max_at_once=order.max_at_once,
            now_ms=MAX_WHOLE,
        )
        machine.apply(1, encode_command(command))
        copy = JobsMachine()
        copy.restore(1, machine.snapshot())
        self.assertEqual(copy.state.waves, machine.state.waves)

    def test_numbers_of_true_documents_are_accepted(self):
        report = decode_report(
            encode(REPORT, born=1_700_000_000_000, remainingMs=-1), vm_id="i-1"
        )
        self.assertEqual(report.vm.born_ms, 1_700_000_000_000)
        plan = decode_plan(encode(CONFIG, routes=[{**ROUTE, "priority": -1}]))
        self.assertEqual(plan.queues[0].priority, -1)


class TestOtherDocuments(unittest.TestCase):
    """Reports, waves and deregistrations."""

    def test_a_report_becomes_a_vm_record(self):
        report = decode_report(encode(REPORT), vm_id="i-1")
        self.assertEqual(report.vm.vm_id, "i-1")
        self.assertEqual(report.vm.pool, "s1")
        self.assertEqual(report.vm.born_ms, 1700)
        self.assertEqual(report.vm.capacity, Amounts(16000, 32768, 0))
        self.assertFalse(report.vm.is_draining)
        self.assertEqual((report.sequence, report.clock_ms), (4, 482113))

    def test_an_invalid_report_is_refused(self):
        for changes in (
            {"state": "sleeping"},
            {"service": None},
            {"capacity": 5},
            {"sequence": "x"},
            {"address": None},
        ):
            with self.subTest(changes=changes), self.assertRaises(DocumentError):
                decode_report(encode(REPORT, **changes), vm_id="i-1")

    def test_a_report_with_an_odd_address_is_refused(self):
        """Guards against a VM that no call can reach in place of a true one."""
        for address in ODD_ADDRESSES:
            with self.subTest(address=address):
                with self.assertRaises(DocumentError) as caught:
                    decode_report(encode(REPORT, address=address), vm_id="i-1")
                self.assertIn("address: ", str(caught.exception))

    def test_draining(self):
        report = decode_report(encode(REPORT, state="draining"), vm_id="i-1")
        self.assertTrue(report.vm.is_draining)

    def test_a_wave(self):
        body = b'{"wave":1,"machines":["m1"],"durationS":20,"maxCount":2}'
        wave = decode_wave(body)
        self.assertEqual((wave.number, wave.machines), (1, ("m1",)))
        self.assertEqual((wave.duration_ms, wave.max_at_once), (20_000, 2))

    def test_a_deregistration_may_have_no_body(self):
        self.assertEqual(decode_deregistration(b""), 0)
        self.assertEqual(decode_deregistration(b'{"born":5}'), 5)
