"""Tests of the calls to workers and to the platform, over HTTP against a stand-in."""

import unittest
from datetime import timedelta

import msgspec
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from redwingslip.http import HttpLimits, HttpServer, build_app
from redwingslip.jobs import ActiveRun, EndKind, TaskKey
from redwingslip.platform import AdviceClient, MachineClient, WorkerClient
from redwingslip.scheduling import (
    MachineOutcome,
    MachineState,
    OrderNotSentError,
    OrderOutcomeUnknownError,
    StartResult,
    VmReplacedError,
)
from tests.support_odd import DEEP_LIST, N_LEVELS, ODD_NUMBERS, with_deep_field
from tests.support_scheduling import make_vm

KEY = TaskKey("5c0e7a21d94b36f8", 0, 1, 17)
RUN = ActiveRun(KEY, 2, "v1", 1, "00000bb8", 0)


class _Remote:
    """A server that gives a fixed answer and keeps the last call."""

    def __init__(self):
        self.answer = Response(status_code=200)
        self.path = self.body = self.headers = None

    async def handle(self, req):
        self.path = str(req.url.path)
        body = await req.body()
        self.body = msgspec.json.decode(body) if body else None
        self.headers = req.headers
        return self.answer


class _Worker(_Remote):
    """A worker, one incarnation after the other at one address.

    Attributes
    ----------
    born : int
        Start time of the present incarnation.
    lists : Response or None
        Answer to a hold; one without runs by default.
    orders : list
        Paths of the calls, with the incarnation that received each.
    cursors : list of int
        Cursors of the holds.
    """

    def __init__(self):
        super().__init__()
        self.born = 1
        self.lists = None
        self.orders = []
        self.cursors = []

    async def handle(self, req):
        answer = await super().handle(req)
        self.orders.append((self.path, self.born))
        if self.path != "/hold":
            return answer
        self.cursors.append(self.body["ackCursor"])
        return self.lists or JSONResponse({"clockMs": 1, "born": self.born})


def deep_response(doc, status=200):
    """Return a response that is nested more deeply than a decoder follows."""
    body = with_deep_field(msgspec.json.encode(doc))
    return Response(body, status, media_type="application/json")


class RemoteTestCase(unittest.IsolatedAsyncioTestCase):
    """A test with a remote server on loopback."""

    new_remote = _Remote

    async def asyncSetUp(self):
        self.remote = self.new_remote()
        await self.start_server()

    async def start_server(self, port=0):
        """Start the remote server."""
        route = Route("/{path:path}", self.remote.handle, methods=["GET", "POST"])
        self.server = HttpServer(build_app([route]), HttpLimits(), port=port)
        await self.server.start()

    async def asyncTearDown(self):
        await self.client.close()
        await self.server.stop(timedelta(0))

    def reply(self, doc, status=200):
        self.remote.answer = JSONResponse(doc, status_code=status)

    def reply_deeply(self, doc, status=200):
        """Answer with a document that is nested more deeply than a decoder follows."""
        self.remote.answer = deep_response(doc, status)


class TestWorkerClient(RemoteTestCase):
    """Holds, starts and stops."""

    new_remote = _Worker

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client = WorkerClient()
        self.vm = make_vm(address=self.server.address)

    async def hold(self):
        return await self.client.hold(
            self.vm, fence=7, cursor=57, until_ms=486000, wait_ms=0
        )

    async def start(self):
        return await self.client.start(
            self.vm, RUN, payload="(text)", ticket="", fence=7, until_ms=486000
        )

    async def stop(self):
        await self.client.stop(self.vm, KEY, 2, fence=7)

    def list(self, doc):
        """Set the answer to holds."""
        self.remote.lists = JSONResponse(doc)

    async def restart_worker(self):
        """Replace the worker by its next incarnation at the same address."""
        port = int(self.server.address.rpartition(":")[2])
        await self.server.stop(timedelta(0))
        self.remote.born += 1
        self.remote.orders.clear()
        await self.start_server(port)

    async def test_an_order_reaches_no_later_incarnation(self):
        """Guards against a run that the next VM of the same name carries out."""
        self.reply({"clockMs": 5})
        for order in (self.start, self.stop):
            with self.subTest(order=order.__name__):
                await order()
                await self.restart_worker()
                with self.assertRaises(VmReplacedError):
                    await order()
                self.assertEqual(self.remote.orders, [("/hold", self.remote.born)])
                self.vm = make_vm(address=self.vm.address, born_ms=self.remote.born)

    async def test_a_poll_acknowledges_no_ends_of_a_later_incarnation(self):
        """Guards against ends that a VM drops unseen, as its predecessor had as many.

        A poll may also be carried out seconds later, when there are ends.
        """
        await self.hold()
        await self.restart_worker()
        self.remote.cursors.clear()
        with self.assertRaises(VmReplacedError):
            await self.hold()
        self.assertEqual(self.remote.cursors, [0])

    async def test_a_connection_is_identified_once(self):
        """Guards against a hold before each order, which doubles the calls."""
        self.reply({"clockMs": 5})
        for _ in range(3):
            await self.start()
            await self.hold()
        paths = [path for path, _ in self.remote.orders if path != "/run-start"]
        self.assertEqual(paths, ["/hold"] * 4)

    async def test_a_refused_hold_refuses_the_order(self):
        """Guards against tasks that wait for a VM that is unhealthy."""
        for status, reason, result in (
            (409, "fence", StartResult.SUPERSEDED),
            (429, "", StartResult.UNHEALTHY),
            (503, "", StartResult.UNHEALTHY),
        ):
            self.remote.lists = JSONResponse(
                {"clockMs": 1, "reason": reason}, status_code=status
            )
            with self.subTest(status=status):
                self.assertEqual((await self.start()).result, result)
        self.remote.lists = JSONResponse({}, status_code=421)
        with self.assertRaises(VmReplacedError):
            await self.start()
        self.assertNotIn("/run-start", [path for path, _ in self.remote.orders])

    async def test_an_order_to_a_vm_that_cannot_be_identified_is_not_sent(self):
        for answer in (
            JSONResponse({"clockMs": 1}, status_code=500),
            JSONResponse({"running": []}),
        ):
            self.remote.lists = answer
            with self.subTest(answer=answer.body), self.assertRaises(OrderNotSentError):
                await self.start()
        self.assertNotIn("/run-start", [path for path, _ in self.remote.orders])

    async def test_a_hold_decodes_both_lists(self):
        self.vm = make_vm(address=self.server.address, born_ms=9)
        self.list(
            {
                "clockMs": 482113,
                "born": 9,
                "running": [["5c0e7a21d94b36f8.0.1.17", 2, "0bb8", 41, 230]],
                "endedRuns": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
            }
        )
        report = await self.hold()
        self.assertEqual((report.clock_ms, report.born_ms), (482113, 9))
        (run,) = report.runs
        self.assertEqual((run.key, run.number, run.percent), (KEY, 2, 41))
        (end,) = report.ends
        self.assertEqual((end.cursor, end.key.index, end.kind), (58, 9, EndKind.DONE))
        self.assertEqual(self.remote.body["ackCursor"], 57)
        self.assertEqual(self.remote.headers["target-instance"], "v1")

    async def test_an_answer_with_as_many_ends_as_fit_may_lack_some(self):
        """Guards against runs that seem to be lost, as their ends come in the next."""
        for n_ends, has_more in ((499, False), (500, True)):
            rows = [
                [number, f"{KEY.job_id}.0.0.{number}", 1, "done", ""]
                for number in range(1, n_ends + 1)
            ]
            self.list({"clockMs": 1, "born": 1, "endedRuns": rows})
            self.assertEqual((await self.hold()).has_more_ends, has_more)

    async def test_after_invalid_lists_the_outcome_is_unknown(self):
        await self.hold()
        for lists in (
            {"clockMs": 1, "running": [["no.task", 1, "", 1]]},
            {"clockMs": 1, "endedRuns": [[1, "a.0.0.0", 1, "melted", ""]]},
            {"running": []},
            [],
        ):
            self.list(lists)
            with self.subTest(lists=lists), self.assertRaises(OrderOutcomeUnknownError):
                await self.hold()

    async def test_after_an_odd_row_the_outcome_is_unknown(self):
        """Guards against an odd row that ends replicas, or every later poll of a VM."""
        run = ["a.0.0.0", 1, "", 50, 9]
        end = [1, "a.0.0.0", 1, "done", ""]
        huge = 10**30
        runs = (
            ["a.0.0", *run[1:]],
            ["a.-1.0.0", *run[1:]],
            [f"a.0.0.{huge}", *run[1:]],
            [5, *run[1:]],
            [None, *run[1:]],
            ["a.0.0.0", "1", "", 50],
            ["a.0.0.0", 1.5, "", 50],
            ["a.0.0.0", -1, "", 50],
            ["a.0.0.0", huge, "", 50],
            ["a.0.0.0", 1, None, 50],
            ["a.0.0.0", 1, "", "nan"],
            ["a.0.0.0", 1, "", -1],
            ["a.0.0.0", 1, "", huge],
            ["a.0.0.0", 1, "", 50, "inf"],
            ["a.0.0.0", 1, "", 50, huge],
            ["a.0.0.0", 1, ""],
            5,
        )
        ends = (
            [huge, *end[1:]],
            [-1, *end[1:]],
            ["1", *end[1:]],
            [1, 5, 1, "done", ""],
            [1, f"a.0.{huge}.0", 1, "done", ""],
            [1, "a.0.0.0", huge, "done", ""],
            [1, "a.0.0.0", 1, ["done"], ""],
            [1, "a.0.0.0", 1, "lost", ""],
            [1, "a.0.0.0", 1, "rejected", ""],
            [1, "a.0.0.0", 1, "done", None],
            [1, "a.0.0.0", 1, "done", 5],
            [1, "a.0.0.0", 1, "done"],
            {},
        )
        await self.hold()
        for field, good, rows in (("running", run, runs), ("endedRuns", end, ends)):
            for row in rows:
                self.list({"clockMs": 1, field: [good, row]})
                with (
                    self.subTest(field=field, row=row),
                    self.assertRaises(OrderOutcomeUnknownError),
                ):
                    await self.hold()

    async def test_after_an_odd_clock_the_outcome_is_unknown(self):
        """Guards against a reading after which all true ones count as delayed."""
        await self.hold()
        for odd in ({"clockMs": 2**64}, {"clockMs": -1}, {"clockMs": 1, "born": 2**63}):
            self.list(odd)
            with self.subTest(odd=odd), self.assertRaises(OrderOutcomeUnknownError):
                await self.hold()

    async def test_a_start_with_an_odd_clock_gives_no_clock(self):
        """Guards against a reading after which all true ones count as delayed."""
        self.reply({"clockMs": 2**64})
        outcome = await self.start()
        self.assertEqual(outcome.result, StartResult.ACCEPTED)
        self.assertIsNone(outcome.clock_ms)

    async def test_after_lists_nested_too_deeply_the_outcome_is_unknown(self):
        """Guards against an agent whose polls fail again and again by one answer."""
        await self.hold()
        self.remote.lists = deep_response({"clockMs": 1, "running": []})
        with self.assertRaises(OrderOutcomeUnknownError):
            await self.hold()
        self.client = WorkerClient()
        with self.assertRaises(OrderNotSentError):
            await self.start()

    async def test_an_answer_nested_too_deeply_leaves_its_status(self):
        """Guards against a start order that is neither answered nor repeated."""
        for status, result in ((200, StartResult.ACCEPTED), (409, StartResult.REFUSED)):
            self.reply_deeply({"clockMs": 5}, status)
            with self.subTest(status=status):
                self.assertEqual((await self.start()).result, result)

    async def test_a_start_sends_all_fields(self):
        self.reply({"clockMs": 5})
        outcome = await self.start()
        self.assertEqual(outcome.result, StartResult.ACCEPTED)
        self.assertEqual(
            self.remote.body,
            {
                "task": "5c0e7a21d94b36f8.0.1.17",
                "runId": 2,
                "spec": "(text)",
                "notAfterMs": 486000,
                "fencingToken": 7,
                "checkpoint": "00000bb8",
            },
        )

    async def test_refusals(self):
        for status, reason, result in (
            (409, "fence", StartResult.SUPERSEDED),
            (409, "old", StartResult.OLD),
            (409, "late", StartResult.LATE),
            (409, "room", StartResult.NO_ROOM),
            (409, "ticket", StartResult.NO_TICKET),
            (400, "", StartResult.REFUSED),
            (429, "", StartResult.UNHEALTHY),
            (503, "", StartResult.UNHEALTHY),
        ):
            self.reply({"clockMs": 5, "reason": reason}, status)
            with self.subTest(status=status, reason=reason):
                self.assertEqual((await self.start()).result, result)

    async def test_another_incarnation_at_the_address(self):
        self.reply({}, 421)
        with self.assertRaises(VmReplacedError):
            await self.start()

    async def test_after_a_server_error_the_run_may_have_started(self):
        self.reply({}, 502)
        with self.assertRaises(OrderOutcomeUnknownError):
            await self.start()

    async def test_unreachable_worker(self):
        self.vm = make_vm(address="127.0.0.1:9")
        with self.assertRaises(OrderNotSentError):
            await self.start()

    async def test_an_odd_address_is_never_connected(self):
        """Guards against a polling that ends by an address that can't be called."""
        for port in ("99999", "-1", "http", "9" * 5000):
            self.vm = make_vm(address=f"127.0.0.1:{port}")
            with self.subTest(port=port):
                with self.assertRaises(OrderNotSentError):
                    await self.hold()
                with self.assertRaises(OrderNotSentError):
                    await self.start()

    async def test_a_stop_of_an_unknown_run_succeeds(self):
        self.reply({}, 404)
        await self.stop()


class TestAdviceClient(RemoteTestCase):
    """Requests for the workers that may run a step."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client = AdviceClient(self.server.address)

    async def test_suitable_workers_have_tickets(self):
        self.reply({"good": [["v1", "c81e"]], "validityMs": 3000})
        advice = await self.client.request_advice(
            ("5c0e7a21d94b36f8", 0, 1), ("v1", "v2")
        )
        self.assertEqual(advice.tickets, {"v1": "c81e"})
        self.assertEqual(advice.validity, timedelta(seconds=3))
        body = {"step": "5c0e7a21d94b36f8.0.1", "workers": ["v1", "v2"]}
        self.assertEqual(self.remote.body, body)

    async def test_a_busy_service_gives_no_advice(self):
        self.reply({}, 429)
        with self.assertRaises(OrderOutcomeUnknownError):
            await self.client.request_advice(("5c0e7a21d94b36f8", 0, 1), ("v1",))

    async def test_an_odd_answer_gives_no_advice(self):
        """Guards against requests for advice that end by one answer."""
        for odd in (
            {"good": [], "validityMs": 10**30},
            {"good": [], "validityMs": -1},
            {"good": None},
            {"good": "v1"},
        ):
            self.reply(odd)
            with self.subTest(odd=odd), self.assertRaises(OrderOutcomeUnknownError):
                await self.client.request_advice(("5c0e7a21d94b36f8", 0, 1), ("v1",))

    async def test_an_answer_nested_too_deeply_gives_no_advice(self):
        """Guards against requests for advice that end by one answer."""
        body = b'{"good":' + b"[" * N_LEVELS
        self.remote.answer = Response(body, media_type="application/json")
        with self.assertRaises(OrderOutcomeUnknownError):
            await self.client.request_advice(("5c0e7a21d94b36f8", 0, 1), ("v1",))

    async def test_odd_rows_leave_the_others(self):
        """Guards against a step that never runs for one row of another writer."""
        rows = (b"5", b"null", b'["v1"]', b'["v1",5]', b'["v1","\xff"]', DEEP_LIST)
        for row in rows:
            body = b'{"good":[' + row + b',["v2","c8"]],"validityMs":5}'
            self.remote.answer = Response(body, media_type="application/json")
            with self.subTest(row=row[:9]):
                advice = await self.client.request_advice(("j", 0, 1), ("v1", "v2"))
                self.assertEqual(advice.tickets, {"v2": "c8"})


class TestMachineClient(RemoteTestCase):
    """The list of machines, moves and maintenance."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client = MachineClient(self.server.address, holder="c1")

    async def test_list_of_machines(self):
        self.reply(
            {
                "machines": [
                    {
                        "machine": "m1",
                        "pool": "s1",
                        "state": "upkeep",
                        "zone": "z",
                        "labels": ["a"],
                        "capacity": {"cpu": 5, "memMb": 6, "gpu": 0},
                        "id": None,
                    }
                ],
                "nextPageToken": None,
            }
        )
        (view,) = await self.client.list_machines()
        self.assertEqual(view.state, MachineState.MAINTENANCE)
        self.assertEqual((view.vm_id, view.capacity.cpu), ("", 5))

    async def test_invalid_list_of_machines(self):
        self.reply({"machines": 5})
        with self.assertRaises(OrderOutcomeUnknownError):
            await self.client.list_machines()

    async def test_list_of_machines_nested_too_deeply(self):
        """Guards against a leader that never reads the list again."""
        body = b'{"machines":' + b"[" * N_LEVELS
        self.remote.answer = Response(body, media_type="application/json")
        with self.assertRaises(OrderOutcomeUnknownError):
            await self.client.list_machines()

    async def test_a_reason_nested_too_deeply_is_none(self):
        """Guards against an order for a machine whose outcome is dropped."""
        self.reply_deeply({"reason": "fence"}, 409)
        outcome = await self.client.move("m", "p", fence=1)
        self.assertEqual(outcome, MachineOutcome.BUSY)

    async def test_a_deep_field_beside_the_machines_leaves_them(self):
        self.reply_deeply({"machines": [{"machine": "m", "pool": "p", "state": "up"}]})
        (view,) = await self.client.list_machines()
        self.assertEqual(view.machine, "m")

    async def test_odd_entries_leave_the_others(self):
        """Guards against a list that can't be used for one entry of another writer."""
        good = {"machine": "m1", "pool": "s1", "state": "up"}
        odd = [
            {},
            5,
            None,
            [good],
            {**good, "machine": None},
            {**good, "machine": 5},
            {**good, "state": "sleeping"},
            {**good, "state": 1},
            {**good, "labels": "a"},
            {**good, "id": 5},
            *({**good, "capacity": {"cpu": number}} for number in ODD_NUMBERS),
        ]
        encoded = [msgspec.json.encode(entry) for entry in odd]
        encoded.append(msgspec.json.encode(good).replace(b"s1", b"\xff"))
        encoded.append(with_deep_field(msgspec.json.encode(good)))
        last = msgspec.json.encode({**good, "machine": "m2"})
        for entry in encoded:
            with self.subTest(entry=entry[:80]):
                body = b'{"machines":[' + entry + b"," + last + b"]}"
                self.remote.answer = Response(body, media_type="application/json")
                views = await self.client.list_machines()
                self.assertEqual([view.machine for view in views], ["m2"])

    async def test_orders_send_lease_holder_and_fencing_token(self):
        self.reply({})
        outcome = await self.client.maintain("m1", 4, fence=12)
        self.assertEqual(outcome, MachineOutcome.DONE)
        self.assertEqual(self.remote.body, {"machine": "m1", "wave": 4})
        self.assertEqual(self.remote.headers["lease-holder"], "c1")
        self.assertEqual(self.remote.headers["fencing-token"], "12")

    async def test_outcomes(self):
        for status, reason, outcome in (
            (409, "fence", MachineOutcome.SUPERSEDED),
            (409, "busy", MachineOutcome.BUSY),
            (409, "wave", MachineOutcome.NOT_OF_WAVE),
            (400, "", MachineOutcome.UNKNOWN_MACHINE),
            (429, "", MachineOutcome.LATER),
            (500, "", MachineOutcome.NO_ANSWER),
        ):
            self.reply({"reason": reason}, status)
            with self.subTest(status=status):
                self.assertEqual(await self.client.move("m", "p", fence=1), outcome)
