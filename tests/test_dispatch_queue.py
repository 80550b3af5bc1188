"""Tests of the queue of one team and of its heaps."""

import unittest
from datetime import timedelta

from redwingslip.dispatch._queue import LazyHeap, TeamQueue, WaitingRequest
from redwingslip.peers import PermitRequest
from tests import SECOND


def make_waiting(
    number: int, *, urgent: bool = True, deadline=60 * SECOND
) -> WaitingRequest:
    """Return a waiting request that arrived at time 0."""
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
        """Add one batch request and 39 urgent ones."""
        self.queue = TeamQueue(n_others_in_a_row=8, patience=20 * SECOND)
        self.batch = make_waiting(0, urgent=False)
        self.queue.push(0.0, self.batch, urgent=False)
        for number in range(1, 40):
            request = make_waiting(number, deadline=(100 - number) * SECOND)
            self.queue.push(request.deadline.total_seconds(), request, urgent=True)

    def take_next(self, now: timedelta) -> WaitingRequest:
        """Remove and return the next request."""
        self.queue.head(now)
        return self.queue.pop()

    def test_batch_goes_within_nine_grants_once_it_has_waited_long(self):
        """Urgent requests must not starve batch requests.

        A batch request goes after eight urgent ones once its patience has expired.
        """
        before_patience = [self.take_next(19 * SECOND) for _ in range(20)]
        self.assertNotIn(self.batch, before_patience)
        after_patience = [self.take_next(20 * SECOND) for _ in range(9)]
        self.assertIn(self.batch, after_patience)

    def test_urgent_requests_go_by_deadline(self):
        """The urgent request with the earliest deadline goes first."""
        self.assertEqual(self.take_next(SECOND).number, 39)

    def test_urgent_request_that_will_be_late_goes_last(self):
        """Requests that can still end in time go before likely late ones."""
        first = self.queue.head(SECOND)
        first.likely_start_by = SECOND
        self.assertNotEqual(self.take_next(2 * SECOND).number, first.number)
        rest = [self.take_next(2 * SECOND) for _ in range(39)]
        self.assertEqual(rest[-1], first)

    def test_removed_requests_are_never_taken(self):
        """A request that was cancelled is never returned and no longer counted."""
        for _ in range(39):
            request = self.queue.head(SECOND)
            request.is_waiting = False
            self.queue.remove(request)
        self.assertEqual(self.take_next(SECOND), self.batch)
        self.assertEqual(self.queue.n_waiting, 0)


class TestLazyHeap(unittest.TestCase):
    """Lazy removal from a heap."""

    def test_rebuild_frees_removed_entries(self):
        """Many cancellations must not keep the cancelled requests in memory."""
        heap = LazyHeap()
        requests = [make_waiting(number) for number in range(10_000)]
        for request in requests:
            heap.push(request.number, request)
        for request in requests[1:]:
            request.is_waiting = False
            heap.note_removed()
        self.assertLess(len(heap), 200)
        self.assertIs(heap.pop(), requests[0])


if __name__ == "__main__":
    unittest.main()
