"""Tests of the operators' interface, over real sockets."""

import asyncio
import contextlib
import unittest
from datetime import timedelta
from unittest import mock

import msgspec

from redwingslip.callers import authenticate, hash_secret
from redwingslip.callers.exceptions import UnauthorizedError
from redwingslip.fleet import FleetState, PoolSpec, PutResource, TeamSpec
from redwingslip.http import HttpLimits
from redwingslip.operators import NoLeaderError, ProcessStatus, operator_routes
from tests.support_http import LONG, HttpTestCase, json_of
from tests.support_odd import ODD_NUMBERS

SHORT = timedelta(milliseconds=100)
TOKEN = "operator-token"


class LocalFleet:
    """A fleet service without replicas: a fleet state and its changes."""

    def __init__(self):
        self.state = FleetState()
        self.index = 0
        self.changes = []
        self.oldest = 0
        self.in_force_index = 0
        self.has_leader = True
        self.changed = asyncio.Event()

    @property
    def view(self):
        """Return the view."""
        return self.state.view

    def status(self):
        """Return the status of an entry with a leader."""
        return ProcessStatus(
            entry_id="e1",
            has_lease=True,
            leader_id="r1",
            applied_index=self.index,
            in_force_index=self.in_force_index,
        )

    async def propose(self, command, timeout):
        """Apply a command immediately."""
        if not self.has_leader:
            raise NoLeaderError("no leader is known")
        self.index += 1
        outcome, changes = self.state.apply(self.index, command)
        self.changes += changes
        self.changed.set()
        return outcome

    async def changes_after(self, index, timeout):
        """Return the changes after `index`; wait for one if there is none."""
        if index < self.oldest:
            return None
        if not self._after(index) and timeout:
            self.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), timeout.total_seconds())
        return self._after(index)

    def _after(self, index):
        return tuple(change for change in self.changes if change.index > index)


class OperatorTestCase(HttpTestCase):
    """A test case with a pool, a team and the operators' interface."""

    async def asyncSetUp(self):
        """Declare a pool and a team, and serve the routes."""
        await super().asyncSetUp()
        self.fleet = LocalFleet()
        for name, spec in (("a", PoolSpec()), ("smiths", TeamSpec(limit=5))):
            put = PutResource(name=name, spec=spec)
            await self.fleet.propose(put, timedelta(0))
        self.server = await self.serve(
            operator_routes(self.fleet, HttpLimits(), [hash_secret(TOKEN)])
        )

    async def request(self, method, path, body=b"", **headers):
        """Send a request with a token; header names have '_' in place of '-'."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        named.setdefault("Authorization", f"Bearer {TOKEN}")
        return await self.send(method, path, headers=named, body=body)


class TestWrite(OperatorTestCase):
    """Tests of PUT and DELETE."""

    async def test_written_resource_is_read_back_with_its_version(self):
        """The answers to a write and to a later read have the same body and ETag."""
        body = {"spec": {"pool": "a", "data_centre": "dc1"}}
        put = await self.request("PUT", "/v1/vms/vm1", body)
        got = await self.request("GET", "/v1/vms/vm1")
        self.assertEqual((put.status, got.status), (200, 200))
        self.assertEqual(put.body, got.body)
        self.assertEqual(got.headers["etag"], '"3"')
        record = json_of(got)
        self.assertEqual(record["kind"], "vms")
        self.assertEqual(record["spec"]["slots"], 8)
        self.assertEqual(record["status"]["phase"], "serving")
        self.assertFalse(record["in_force"])
        self.fleet.in_force_index = 3
        self.assertTrue(json_of(await self.request("GET", "/v1/vms/vm1"))["in_force"])

    async def test_read_record_may_be_written_back(self):
        """A record that is read, changed and written back applies to its version only.

        A second write of the same record conflicts with the first.
        """
        record = json_of(await self.request("GET", "/v1/teams/smiths"))
        record["spec"]["limit"] = 7
        first = await self.request("PUT", "/v1/teams/smiths", record)
        second = await self.request("PUT", "/v1/teams/smiths", record)
        self.assertEqual((first.status, second.status), (200, 412))
        self.assertEqual(json_of(second)["version"], json_of(first)["version"])

    async def test_conflicting_write_gets_the_current_version(self):
        """Of two writes with the same If-Match, the second gets 412."""
        body = {"spec": {"spare": True}}
        first = await self.request("PUT", "/v1/pools/a", body, If_Match='"1"')
        second = await self.request("PUT", "/v1/pools/a", body, If_Match='"1"')
        self.assertEqual((first.status, second.status), (200, 412))
        self.assertEqual(second.headers["etag"], first.headers["etag"])
        self.assertIn("3", json_of(second)["detail"])

    async def test_versions_and_revisions_have_a_bound(self):
        """Guards against a link between processes that fails by one number."""
        for digits in ("9" * 17, "9" * 5000):
            for method, path, headers in (
                ("PUT", "/v1/pools/a", {"If_Match": f'"{digits}"'}),
                ("DELETE", "/v1/pools/a", {"If_Match": digits}),
                ("GET", f"/v1/pools?watch={digits}", {}),
            ):
                body = {"spec": {}} if method == "PUT" else b""
                answer = await self.request(method, path, body, **headers)
                self.assertEqual(answer.status, 422, (method, len(digits)))
        for odd in ODD_NUMBERS:
            body = {"spec": {}, "version": odd}
            answer = await self.request("PUT", "/v1/pools/a", body)
            self.assertEqual(
                (answer.status, json_of(answer)["field"]), (422, "version")
            )

    async def test_conditions_on_existence(self):
        """If-None-Match: * only creates, and If-Match: * only overwrites a resource."""
        body = {"spec": {}}
        existing = await self.request("PUT", "/v1/pools/a", body, If_None_Match="*")
        created = await self.request("PUT", "/v1/pools/b", body, If_None_Match="*")
        absent = await self.request("PUT", "/v1/pools/c", body, If_Match="*")
        statuses = (existing.status, created.status, absent.status)
        self.assertEqual(statuses, (412, 200, 412))

    async def test_resend_gets_the_first_outcome(self):
        """A resend with the same Idempotency-Key changes nothing."""
        options = {"If_Match": '"1"', "Idempotency_Key": "op-1"}
        first = await self.request("PUT", "/v1/pools/a", {"spec": {}}, **options)
        again = await self.request("PUT", "/v1/pools/a", {"spec": {}}, **options)
        self.assertEqual((first.status, again.status), (200, 200))
        self.assertEqual(first.headers["etag"], again.headers["etag"])

    async def test_unknown_field_is_refused_with_the_nearest_name(self):
        """The answer names an unknown field, and the known field most like it."""
        body = {"spec": {"min_servin": 1}}
        answer = await self.request("PUT", "/v1/pools/a", body)
        self.assertEqual(answer.status, 422)
        self.assertEqual(json_of(answer)["field"], "spec.min_servin")
        self.assertIn("'min_serving'", json_of(answer)["detail"])

    async def test_refusal_of_a_value_names_its_field(self):
        """Each refusal of a value names the invalid field."""
        cases = (
            ("pools/a", {"spec": {"min_serving": -1}}, "spec.min_serving"),
            ("vms/v", {"spec": {"pool": "x", "data_centre": "d"}}, "spec.pool"),
            ("pools/a", {"spec": {}, "kind": "vms"}, "kind"),
            ("pools/a", {"spec": {}, "name": "b"}, "name"),
            ("pools/a", {"sepc": {}}, "sepc"),
            ("pools/a", {}, "body"),
            ("pools/a", [], "body"),
            ("pools/A", {"spec": {}}, "name"),
            ("sites/x", {"spec": {}}, "name"),
        )
        for path, body, field in cases:
            with self.subTest(path=path, body=body):
                answer = await self.request("PUT", f"/v1/{path}", body)
                self.assertEqual(answer.status, 422, answer.body)
                self.assertEqual(json_of(answer)["field"], field, answer.body)

    async def test_answer_without_a_leader_asks_for_a_resend(self):
        """Without a leader the answer states that the change may still be applied."""
        self.fleet.has_leader = False
        answer = await self.request("PUT", "/v1/pools/a", {"spec": {}})
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertIn("same Idempotency-Key", json_of(answer)["detail"])
        self.assertEqual(json_of(answer)["outcome"], "unknown")

    async def test_deletion(self):
        """A resource in use can't be deleted, and an absent one gets 404."""
        await self.request(
            "PUT", "/v1/vms/v", {"spec": {"pool": "a", "data_centre": "d"}}
        )
        used = await self.request("DELETE", "/v1/pools/a")
        unused = await self.request("DELETE", "/v1/teams/smiths", If_Match='"2"')
        absent = await self.request("DELETE", "/v1/teams/smiths")
        statuses = (used.status, unused.status, absent.status)
        self.assertEqual(statuses, (422, 200, 404))
        self.assertIn("vms/v", json_of(used)["detail"])


class TestAccess(OperatorTestCase):
    """Tests of access by token."""

    async def test_every_route_requires_a_token(self):
        """Every route refuses a missing or wrong token, and changes nothing."""
        routes = (
            ("GET", "/v1/pools"),
            ("GET", "/v1/pools/a"),
            ("PUT", "/v1/pools/a"),
            ("DELETE", "/v1/pools/a"),
            ("POST", "/v1/teams/smiths/keys"),
            ("GET", "/v1/status"),
            ("GET", "/v1/pools?watch=0"),
        )
        for method, path in routes:
            for authorization in ("Bearer wrong", f"Basic {TOKEN}", "Bearer "):
                with self.subTest(path=path, authorization=authorization):
                    answer = await self.request(
                        method, path, Authorization=authorization
                    )
                    self.assertEqual(answer.status, 401)
        self.assertEqual(self.fleet.index, 2)


class TestKeys(OperatorTestCase):
    """Tests of granting and withdrawing keys."""

    async def test_secret_is_shown_once_and_stored_as_a_hash(self):
        """The granted secret is valid; no later answer contains it or its hash."""
        granted = json_of(await self.request("POST", "/v1/teams/smiths/keys"))
        secret, name = granted["secret"], granted["name"]
        self.assertEqual(authenticate(self.fleet.view, secret), "smiths")
        for path in (f"/v1/keys/{name}", "/v1/keys"):
            body = (await self.request("GET", path)).body.decode()
            self.assertIn(name, body)
            self.assertNotIn(secret.rpartition(".")[2], body)
            self.assertNotIn(hash_secret(secret), body)
        self.assertNotIn(secret, str(self.fleet.changes))

    async def test_withdrawn_key_is_refused(self):
        """A key is refused after its deletion."""
        granted = json_of(await self.request("POST", "/v1/teams/smiths/keys"))
        await self.request("DELETE", f"/v1/keys/{granted['name']}")
        with self.assertRaises(UnauthorizedError):
            authenticate(self.fleet.view, granted["secret"])

    async def test_resent_grant_shows_no_secret(self):
        """A resent grant creates no second key, and its answer has no secret.

        A secret in that answer would be a new one that no key has.
        """
        path = "/v1/teams/smiths/keys"
        first = await self.request("POST", path, Idempotency_Key="grant-1")
        again = await self.request("POST", path, Idempotency_Key="grant-1")
        self.assertEqual((first.status, again.status), (201, 409))
        self.assertNotIn("secret", json_of(again))
        keys = json_of(await self.request("GET", "/v1/keys"))["items"]
        self.assertEqual(len(keys), 1)

    async def test_key_of_an_unknown_team(self):
        """A key can be granted only to a declared team."""
        answer = await self.request("POST", "/v1/teams/none/keys")
        self.assertEqual(answer.status, 422)


class TestWatch(OperatorTestCase):
    """Tests of ?watch=REV."""

    async def open_watch(self, path):
        """Open a watch; return a coroutine function that reads its next line.

        The line is None at the end of the stream.
        """
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(lambda: writer.transport.abort())
        head = f"GET {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n"
        writer.write(head.encode() + b"\r\n")
        async with asyncio.timeout(LONG.total_seconds()):
            await reader.readuntil(b"\r\n\r\n")

        async def next_line():
            async with asyncio.timeout(LONG.total_seconds()):
                n_bytes = int(await reader.readline(), 16)
                chunk = await reader.readexactly(n_bytes + 2)
            return msgspec.json.decode(chunk) if n_bytes else None

        return next_line

    async def test_watch_continues_from_a_revision(self):
        """Each change after the revision is one line, followed by a bookmark."""
        next_line = await self.open_watch("/v1/pools?watch=0")
        self.assertEqual((await next_line())["resource"]["name"], "a")
        self.assertEqual((await next_line())["bookmark"], 2)
        await self.request("PUT", "/v1/pools/a", {"spec": {"spare": True}})
        self.assertTrue((await next_line())["resource"]["spec"]["spare"])
        self.assertEqual((await next_line())["bookmark"], 3)
        await self.request("DELETE", "/v1/pools/a")
        deleted = {"kind": "pools", "name": "a"}
        self.assertEqual((await next_line())["deleted"], deleted)

    async def test_watch_ends_when_the_server_stops(self):
        """A stop ends a watch after a complete line, before the grace time is over."""
        with mock.patch("redwingslip.operators._watch.IDLE_TIMEOUT", SHORT):
            next_line = await self.open_watch("/v1/pools?watch=2")
            self.assertEqual((await next_line())["bookmark"], 2)
            stop = asyncio.create_task(self.server.stop(timedelta(hours=1)))
            await asyncio.wait_for(stop, LONG.total_seconds())
            while (line := await next_line()) is not None:
                self.assertEqual(line["bookmark"], 2)

    async def test_revision_that_is_too_old(self):
        """A watch from a revision that is no longer available gets 410.

        The answer contains the current revision.
        """
        self.fleet.oldest = 2
        answer = await self.request("GET", "/v1/pools?watch=1")
        self.assertEqual(answer.status, 410)
        self.assertEqual(json_of(answer)["version"], 2)


if __name__ == "__main__":
    unittest.main()
