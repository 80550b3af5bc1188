"""Checks the outcomes that callers saw against the runs that endpoints recorded."""

from collections import Counter
from collections.abc import Iterable
from datetime import datetime
from pathlib import Path

import msgspec

from ._outcomes import CallOutcome, OutcomeKind

__all__ = ["RunEvent", "Verdict", "check_outcomes", "read_runs"]

START = "start"
END = "end"


class RunEvent(msgspec.Struct, frozen=True, kw_only=True):
    """The start or end of a run: the fields needed of a line of a record file."""

    time: datetime
    event: str
    permit_id: str
    request_id: str
    team: str
    endpoint_id: str = ""
    body_sha256: str = ""

    @property
    def caller_request_id(self) -> str:
        """The request id that the caller received, without the attempt's number."""
        return self.request_id.partition(".")[0]


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Counts over all requests that were sent.

    Attributes
    ----------
    n_asked : int
        Requests that were sent.
    n_lost : int
        Requests without any outcome, or answered although none of their runs ended.
    n_doubled : int
        Non-idempotent requests that were started more than once.
    n_false_refusals : int
        Requests that were refused as not run although a run was started.
    n_crossed : int
        Answers that belong to another request.
    """

    n_asked: int = 0
    n_answered: int = 0
    n_not_run: int = 0
    n_unknown: int = 0
    n_cancelled: int = 0
    n_lost: int = 0
    n_doubled: int = 0
    n_false_refusals: int = 0
    n_crossed: int = 0

    @property
    def is_clean(self) -> bool:
        """Whether no request was lost, run twice, falsely refused or crossed."""
        n_broken = self.n_lost + self.n_doubled
        return not n_broken + self.n_false_refusals + self.n_crossed


def read_runs(paths: Iterable[Path]) -> list[RunEvent]:
    """Return the lines of record files; an incomplete last line is skipped."""
    decoder = msgspec.json.Decoder(RunEvent)
    runs = []
    for path in paths:
        for line in path.read_bytes().splitlines(keepends=True):
            if line.endswith(b"\n") and line.strip():
                runs.append(decoder.decode(line))
    return runs


def check_outcomes(
    outcomes: Iterable[CallOutcome], runs: Iterable[RunEvent]
) -> Verdict:
    """Compare the callers' outcomes with the endpoints' records.

    The runs of a request are identified by its body, those of a refused request also by
    the request id that the caller received.
    """
    n_starts: Counter[str] = Counter()
    ended = set()
    started_ids = set()
    for run in runs:
        if run.event == START:
            n_starts[run.body_sha256] += 1
            started_ids.add(run.caller_request_id)
        elif run.event == END:
            ended.add(run.body_sha256)
    sent = [call for call in outcomes if call.kind is not OutcomeKind.NOT_ASKED]
    kinds = Counter(call.kind for call in sent)
    lost = [
        call
        for call in sent
        if call.kind is OutcomeKind.LOST
        or (call.kind is OutcomeKind.ANSWERED and call.body_sha256 not in ended)
    ]
    duplicated = [
        call for call in sent if not call.idempotent and n_starts[call.body_sha256] > 1
    ]
    false_refusals = [
        call
        for call in sent
        if call.kind is OutcomeKind.NOT_RUN
        and (n_starts[call.body_sha256] or call.request_id in started_ids)
    ]
    return Verdict(
        n_asked=len(sent),
        n_answered=kinds[OutcomeKind.ANSWERED],
        n_not_run=kinds[OutcomeKind.NOT_RUN],
        n_unknown=kinds[OutcomeKind.UNKNOWN],
        n_cancelled=kinds[OutcomeKind.CANCELLED],
        n_lost=len(lost),
        n_doubled=len(duplicated),
        n_false_refusals=len(false_refusals),
        n_crossed=sum(call.is_crossed for call in sent),
    )
