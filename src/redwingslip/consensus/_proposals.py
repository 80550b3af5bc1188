"""Pending proposals of a leader."""

import asyncio

import msgspec

from ._messages import LogEntry
from .exceptions import ProposalOutcomeUnknownError

__all__ = ["Proposals"]


class _Proposal(msgspec.Struct, frozen=True):
    """The term of a proposal's entry and the future for its outcome."""

    term: int
    fut: asyncio.Future


class Proposals:
    """Pending proposals by the index of their log entry."""

    __slots__ = ("_by_index",)

    def __init__(self) -> None:
        self._by_index: dict[int, _Proposal] = {}

    def add(self, entry: LogEntry) -> asyncio.Future:
        """Return a future for the outcome of an entry."""
        replaced = self._by_index.get(entry.index)
        if replaced is not None:
            _fail(replaced)
        fut = asyncio.get_running_loop().create_future()
        self._by_index[entry.index] = _Proposal(entry.term, fut)
        return fut

    def resolve(self, entry: LogEntry, outcome: object) -> None:
        """Resolve the proposal at the index of an applied entry, if there is one.

        An entry of another term has replaced the proposed one, so that proposal fails.
        """
        proposal = self._by_index.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term != entry.term:
            _fail(proposal)
        elif not proposal.fut.done():
            proposal.fut.set_result(outcome)

    def fail_all(self) -> None:
        """Fail all pending proposals, as their outcome is unknown."""
        for proposal in self._by_index.values():
            _fail(proposal)
        self._by_index.clear()


def _fail(proposal: _Proposal) -> None:
    if not proposal.fut.done():
        error = ProposalOutcomeUnknownError(
            "leadership was lost before the outcome was known"
        )
        proposal.fut.set_exception(error)
