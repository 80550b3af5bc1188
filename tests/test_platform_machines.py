"""Tests of the calls to the platform for machines, over HTTP against a stand-in."""

import msgspec
from starlette.responses import Response

from redwingslip.platform import MachineClient
from redwingslip.scheduling import (
    MachineOutcome,
    MachineState,
    OrderOutcomeUnknownError,
)
from tests.support_odd import N_LEVELS, ODD_NUMBERS, with_deep_field
from tests.support_remote import RemoteTestCase


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
