"""Queues and customers that the plan in force no longer has."""

from collections.abc import Iterable

import msgspec

from ._plan import Customer, Plan, Queue
from ._records import JobRecord

__all__ = ["RemovedEntries"]


class RemovedEntries(msgspec.Struct, frozen=True, kw_only=True):
    """Removed queues and customers, as they were last declared.

    Jobs outlive the plan under which they were accepted, and go on under these terms.

    Attributes
    ----------
    queues : dict of str to Queue
        Removed queues by name.
    customers : dict of str to Customer
        Removed customers by name.
    """

    queues: dict[str, Queue] = msgspec.field(default_factory=dict)
    customers: dict[str, Customer] = msgspec.field(default_factory=dict)

    def after_change(
        self, before: Plan, after: Plan, jobs: Iterable[JobRecord]
    ) -> "RemovedEntries":
        """Return the removed entries to keep once a plan has replaced another.

        Entries that no job refers to are dropped. Those of the plan that is replaced
        are kept even so: a job that its leader has just accepted may follow the new
        plan in the log.
        """
        queues_in_use, customers_in_use = set(), set()
        for job in jobs:
            queues_in_use.add(job.spec.queue)
            customers_in_use.add(job.spec.customer)
        return RemovedEntries(
            queues=_removed(
                self.queues, before.queues, after.queues, in_use=queues_in_use
            ),
            customers=_removed(
                self.customers,
                before.customers,
                after.customers,
                in_use=customers_in_use,
            ),
        )


def _removed(
    former: dict,
    before: Iterable[Queue | Customer],
    after: Iterable[Queue | Customer],
    *,
    in_use: set[str],
) -> dict:
    """Return the removed entries of one kind, by name."""
    kept = {name: entry for name, entry in former.items() if name in in_use}
    kept |= {entry.name: entry for entry in before}
    for entry in after:
        kept.pop(entry.name, None)
    return kept
