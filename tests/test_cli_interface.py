"""Tests of the command line's client against the real resource interface."""

import asyncio
import pathlib
import tempfile
import unittest
from datetime import timedelta

import msgspec

from redwingslip.cli._apply import ApplyAction, apply_documents, compare_documents
from redwingslip.cli._client import ClientSettings, Document, OperatorClient
from redwingslip.cli._documents import read_documents
from redwingslip.cli.exceptions import (
    ConflictError,
    InvalidInputError,
    NotAdmittedError,
    NotFoundError,
    NotInForceError,
    TooOldError,
    UnauthorizedError,
    UnknownOutcomeError,
)
from redwingslip.fleet import Kind

from .test_operators_routes import TOKEN, OperatorTestCase

SHORT_TIMEOUT = timedelta(milliseconds=300)

DOCUMENTS = [
    Document(kind=Kind.VM, name="v1", spec={"pool": "p", "data_centre": "d"}),
    Document(kind=Kind.POOL, name="p", spec={"min_serving": 1}),
    Document(kind=Kind.KEY, name="k", spec={"team": "smiths", "sha256": "ab" * 32}),
    Document(kind=Kind.WAVE, name="w", spec={"pools": ["p"]}),
    Document(
        kind=Kind.QUEUE,
        name="q",
        spec={"pool": "p", "service": "s", "max_run": "PT1M30S"},
    ),
]


class TestRealInterface(OperatorTestCase):
    """Behaviour that the fake server of the other tests might get wrong."""

    def client(self, *, token: str = TOKEN, **options) -> OperatorClient:
        """Return a client of the interface."""
        servers = (f"http://{self.address}",)
        return OperatorClient(ClientSettings(servers=servers, token=token, **options))

    async def test_second_apply_changes_nothing(self):
        """Truncated hashes and ISO 8601 durations compare as equal."""
        client = self.client()
        with tempfile.NamedTemporaryFile() as file:
            file.write(msgspec.json.encode(DOCUMENTS))
            file.flush()
            documents = read_documents([pathlib.Path(file.name)])
        results = await apply_documents(client, documents)
        self.assertEqual({r.action for r in results}, {ApplyAction.CREATED}, results)
        results = await apply_documents(client, documents)
        self.assertEqual({r.action for r in results}, {ApplyAction.UNCHANGED}, results)
        self.assertEqual(await compare_documents(client, documents), [])

    async def test_status_and_wait_in_force(self):
        """The index in force is read from the status."""
        client = self.client()
        written = await client.put(DOCUMENTS[1], if_version=0)
        with self.assertRaises(NotInForceError):
            await client.wait_in_force(written.version, SHORT_TIMEOUT)
        self.fleet.in_force_index = written.version
        await client.wait_in_force(written.version, SHORT_TIMEOUT)
        self.assertTrue((await client.get(Kind.POOL, "p")).in_force)

    async def test_each_kind_of_refusal_has_its_own_error(self):
        """Each status of the interface is converted to the right error."""
        client = self.client()
        await apply_documents(client, DOCUMENTS)
        with self.assertRaises(ConflictError):
            await client.put(DOCUMENTS[1], if_version=0)
        with self.assertRaises(NotFoundError):
            await client.get(Kind.VM, "absent")
        with self.assertRaises(NotFoundError):
            await client.delete(Kind.VM, "absent")
        with self.assertRaises(InvalidInputError):
            await client.delete(Kind.POOL, "p")
        bad = Document(kind=Kind.VM, name="v", spec={"pool": "p", "rack": 5})
        with self.assertRaises(InvalidInputError):
            await client.put(bad, if_version=0)
        with self.assertRaises(UnauthorizedError):
            await self.client(token="other").status()
        await client.delete(Kind.VM, "v1")
        with self.assertRaisesRegex(NotAdmittedError, "still being removed"):
            await client.put(DOCUMENTS[0], if_version=0)

    async def test_without_a_leader_the_outcome_is_unknown(self):
        """The answer and the error state that the write may still be applied."""
        self.fleet.has_leader = False
        client = self.client(timeout=SHORT_TIMEOUT)
        with self.assertRaises(UnknownOutcomeError):
            await client.put(DOCUMENTS[1], if_version=0)

    async def test_watch_shows_changes_and_deletions(self):
        """A watch begins at the revision of the list."""
        client = self.client()
        revision = (await client.list(Kind.POOL)).revision
        seen = []
        is_seen = asyncio.Event()

        async def follow() -> None:
            async for line in client.watch(Kind.POOL, revision):
                if line.resource is not None:
                    seen.append(line.resource.name)
                    is_seen.set()
                if line.deleted is not None:
                    seen.append(f"-{line.deleted.name}")
                    return

        watching = asyncio.create_task(follow())
        await client.put(DOCUMENTS[1], if_version=0)
        await is_seen.wait()
        await client.delete(Kind.POOL, "p")
        await watching
        self.assertEqual(seen, ["p", "-p"])

    async def test_watch_from_an_old_revision_ends(self):
        """The client raises the error after which it must list again."""
        self.fleet.oldest = 5
        with self.assertRaises(TooOldError):
            async for _ in self.client().watch(Kind.POOL, 1):
                pass


if __name__ == "__main__":
    unittest.main()
