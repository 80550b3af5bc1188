"""The judge: what callers saw against what the endpoints recorded."""

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
    """One line of an endpoint's record file; the other fields are left out."""

    time: datetime
    event: str
    permit_id: str
    request_id: str
    team: str
    endpoint_id: str = ""
    body_sha256: str = ""

    @property
    def caller_request_id(self) -> str:
        """The id that the caller was told, without the attempt's number."""
        return self.request_id.partition(".")[0]


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """Counts over all requests that were handed in.

    Attributes
    ----------
    n_lost : int
        Requests without any outcome, or answered though no run of them ended.
    n_doubled : int
        Non-idempotent requests that were started more than once.
    n_false_refusals : int
        Requests refused as not run, of which a run was started.
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
        """Whether every promise was kept."""
        n_broken = self.n_lost + self.n_doubled
        return not n_broken + self.n_false_refusals + self.n_crossed


def read_runs(paths: Iterable[Path]) -> list[RunEvent]:
    """Return the lines of record files; a line that was cut off is left out."""
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
    """Compare what callers saw with what the endpoints recorded.

    A request is found again by its body, and a refusal by the id that the caller was
    told as well.
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
