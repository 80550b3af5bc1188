"""Tests of the calls to workers, over HTTP against a stand-in."""

from datetime import timedelta

from starlette.responses import JSONResponse

from redwingslip.jobs import ActiveRun, EndKind, TaskKey
from redwingslip.platform import WorkerClient
from redwingslip.scheduling import (
    OrderNotSentError,
    OrderOutcomeUnknownError,
    StartResult,
    VmReplacedError,
)
from tests.support_remote import RemoteTestCase, RemoteWorker, deep_response
from tests.support_scheduling import make_vm

KEY = TaskKey("5c0e7a21d94b36f8", 0, 1, 17)
RUN = ActiveRun(KEY, 2, "v1", 1, "00000bb8", 0)


class TestWorkerClient(RemoteTestCase):
    """Holds, starts and stops."""

    new_remote = RemoteWorker

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
