"""Tests of the queue of one team."""

import unittest
from datetime import timedelta

from redwingslip.dispatch._queue import LazyHeap, TeamQueue, WaitingRequest
from redwingslip.peers import PermitRequest
from tests import SECOND


def make_waiting(
    number: int, *, urgent: bool = True, deadline=60 * SECOND
) -> WaitingRequest:
    """Return a request that came at the origin of time."""
    req = PermitRequest(
        request_id=str(number),
        entry_id="n",
        pool="a",
        queue="q",
        service="s",
        team="x",
        urgent=urgent,
        deadline=deadline,
        max_run=SECOND,
    )
    return WaitingRequest(req, number=number, now=timedelta(0), work=1.0)


class TestTeamQueue(unittest.TestCase):
    """Which request of a team goes first."""

    def setUp(self):
        """Let one batch request wait behind many urgent ones."""
        self.queue = TeamQueue(n_others_in_a_row=8, patience=20 * SECOND)
        self.batch = make_waiting(0, urgent=False)
        self.queue.push(0.0, self.batch, urgent=False)
        for number in range(1, 40):
            item = make_waiting(number, deadline=(100 - number) * SECOND)
            self.queue.push(item.deadline.total_seconds(), item, urgent=True)

    def take(self, now: timedelta) -> WaitingRequest:
        """Take the next request."""
        self.queue.head(now)
        return self.queue.pop()

    def test_batch_goes_within_nine_grants_once_it_has_waited_long(self):
        """Urgent work does not starve batch work."""
        early = [self.take(19 * SECOND) for _ in range(20)]
        self.assertNotIn(self.batch, early)
        late = [self.take(20 * SECOND) for _ in range(9)]
        self.assertIn(self.batch, late)

    def test_urgent_requests_go_by_deadline(self):
        """The one that is due first goes first."""
        self.assertEqual(self.take(SECOND).number, 39)

    def test_urgent_request_that_will_be_late_goes_last(self):
        """Slots go first to what can still be answered in time."""
        first = self.queue.head(SECOND)
        first.likely_start_by = SECOND
        self.assertNotEqual(self.take(2 * SECOND).number, first.number)
        rest = [self.take(2 * SECOND) for _ in range(39)]
        self.assertEqual(rest[-1], first)

    def test_removed_requests_are_never_taken(self):
        """A cancelled request leaves no trace, wherever it waits."""
        for _ in range(39):
            item = self.queue.head(SECOND)
            item.is_waiting = False
            self.queue.remove(item)
        self.assertEqual(self.take(SECOND), self.batch)
        self.assertEqual(self.queue.n_waiting, 0)


class TestLazyHeap(unittest.TestCase):
    """Removing from a heap."""

    def test_dead_entries_never_outnumber_the_living_for_long(self):
        """A wave of cancellations frees the memory of the requests."""
        heap = LazyHeap()
        items = [make_waiting(number) for number in range(10_000)]
        for item in items:
            heap.push(item.number, item)
        for item in items[1:]:
            item.is_waiting = False
            heap.note_removed()
        self.assertLess(len(heap), 200)
        self.assertIs(heap.pop(), items[0])


if __name__ == "__main__":
    unittest.main()
