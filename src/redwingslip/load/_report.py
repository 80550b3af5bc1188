"""The report of a load: counts, latencies, shares and the check of outcomes."""

from collections import Counter
from collections.abc import Iterable, Sequence
from datetime import datetime, timedelta

import msgspec
from hdrh.histogram import HdrHistogram

from ._outcomes import CallOutcome, OutcomeKind
from ._shares import ShareReport
from ._verdict import Verdict

__all__ = ["LoadReport", "QueueReport", "format_report", "make_report"]

MAX_LATENCY_MS = 24 * 3_600_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class QueueReport(msgspec.Struct, frozen=True, kw_only=True):
    """Outcomes of the requests of one queue, one team or the whole load.

    Attributes
    ----------
    n_not_asked : int
        Arrivals that were not sent because too many requests were open; they count as
        untimely.
    timely : float
        Fraction of all arrivals whose complete answer came within the deadline.
    percentiles_ms : dict
        Percentiles of the time to the complete answer in ms, over answered requests.
    refusals : dict
        Number of refused requests by the title of the problem document.
    """

    n_arrivals: int
    n_answered: int
    n_timely: int
    n_not_run: int
    n_unknown: int
    n_cancelled: int
    n_not_asked: int
    n_lost: int
    timely: float
    percentiles_ms: dict[str, int]
    refusals: dict[str, int]


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """The results of a load.

    Attributes
    ----------
    seed : int
        Seed of the load.
    began_at : datetime
        Wall-clock time at which the load began.
    duration : timedelta
        Time during which requests arrived.
    total : QueueReport
        Outcomes of all requests.
    queues, teams : dict
        Outcomes by queue and by team.
    shares : ShareReport
        Share nearness and buffer cost.
    verdict : Verdict or None
        Result of the check against the endpoints' records; None without record files.
    arrivals_per_second, answered_per_second : tuple of int
        Numbers of arrivals and answers in each second of the load, for the plot.
    """

    seed: int
    began_at: datetime
    duration: timedelta
    total: QueueReport
    queues: dict[str, QueueReport]
    teams: dict[str, QueueReport]
    shares: ShareReport
    verdict: Verdict | None
    arrivals_per_second: tuple[int, ...] = ()
    answered_per_second: tuple[int, ...] = ()

    def to_json(self) -> bytes:
        """Return the report as JSON."""
        return msgspec.json.format(msgspec.json.encode(self), indent=2)


def make_report(
    seed: int,
    began_at: datetime,
    duration: timedelta,
    outcomes: Sequence[CallOutcome],
    shares: ShareReport,
    verdict: Verdict | None,
) -> LoadReport:
    """Summarise the outcomes, shares and verdict of a load."""
    answered = [call for call in outcomes if call.kind is OutcomeKind.ANSWERED]
    return LoadReport(
        seed=seed,
        began_at=began_at,
        duration=duration,
        total=_summarize(outcomes),
        queues=_summarize_by(outcomes, "queue"),
        teams=_summarize_by(outcomes, "team"),
        shares=shares,
        verdict=verdict,
        arrivals_per_second=_per_second((c.began_at for c in outcomes), duration),
        answered_per_second=_per_second(
            (c.began_at + c.took for c in answered), duration
        ),
    )


def _summarize_by(
    outcomes: Sequence[CallOutcome], field: str
) -> dict[str, QueueReport]:
    """Return a report for each value of a field of the outcomes."""
    names = sorted({getattr(call, field) for call in outcomes})
    return {
        name: _summarize([call for call in outcomes if getattr(call, field) == name])
        for name in names
    }


def _summarize(outcomes: Sequence[CallOutcome]) -> QueueReport:
    kinds = Counter(call.kind for call in outcomes)
    refused = [call for call in outcomes if call.kind is OutcomeKind.NOT_RUN]
    n_timely = sum(call.is_timely for call in outcomes)
    return QueueReport(
        n_arrivals=len(outcomes),
        n_answered=kinds[OutcomeKind.ANSWERED],
        n_timely=n_timely,
        n_not_run=kinds[OutcomeKind.NOT_RUN],
        n_unknown=kinds[OutcomeKind.UNKNOWN],
        n_cancelled=kinds[OutcomeKind.CANCELLED],
        n_not_asked=kinds[OutcomeKind.NOT_ASKED],
        n_lost=kinds[OutcomeKind.LOST],
        timely=n_timely / len(outcomes) if outcomes else 0.0,
        percentiles_ms=_percentiles(outcomes),
        refusals=dict(sorted(Counter(call.title for call in refused).items())),
    )


def _percentiles(outcomes: Iterable[CallOutcome]) -> dict[str, int]:
    """Return latency percentiles of the answered requests, in ms."""
    histogram = HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
    for call in outcomes:
        if call.kind is OutcomeKind.ANSWERED:
            histogram.record_value(max(1, call.took // timedelta(milliseconds=1)))
    if not histogram.get_total_count():
        return {}
    return {f"p{p:g}": histogram.get_value_at_percentile(p) for p in PERCENTILES}


def _per_second(times: Iterable[timedelta], duration: timedelta) -> tuple[int, ...]:
    """Return how many of the times fall into each second of the duration."""
    n_seconds = -(-duration // timedelta(seconds=1))
    counts = Counter(at // timedelta(seconds=1) for at in times)
    return tuple(counts[second] for second in range(n_seconds))


def format_report(report: LoadReport) -> str:
    """Return the report as text for people."""
    seconds = report.duration.total_seconds()
    lines = [f"load of {seconds:g} s, seed {report.seed}", ""]
    lines.append(
        f"{'':22}{'asked':>8}{'timely':>8}{'late':>6}{'not run':>8}{'unknown':>8}"
        f"{'cancel':>7}{'p50 ms':>8}{'p99 ms':>8}"
    )
    rows = {"all": report.total}
    rows |= {f"queue {name}": row for name, row in report.queues.items()}
    rows |= {f"team {name}": row for name, row in report.teams.items()}
    lines += [_format_row(name, row) for name, row in rows.items()]
    lines.append("")
    for title, count in report.total.refusals.items():
        lines.append(f"refused, {title}: {count}")
    if report.total.n_not_asked:
        lines.append(f"not asked, too many open: {report.total.n_not_asked}")
    shares = report.shares
    if shares.nearness is not None:
        lines.append(
            f"share nearness {shares.nearness:.3f} over {shares.n_windows} full seconds"
        )
    if shares.buffer_cost is not None:
        lines.append(f"buffer cost {shares.buffer_cost:.3f}")
    if report.verdict is not None:
        counts = msgspec.structs.asdict(report.verdict).items()
        count_texts = [
            f"{name[2:].replace('_', ' ')} {count}" for name, count in counts
        ]
        lines.append("judge: " + ", ".join(count_texts))
    return "\n".join(lines) + "\n"


def _format_row(name: str, row: QueueReport) -> str:
    times = row.percentiles_ms
    return (
        f"{name:22.22}{row.n_arrivals:8}{row.timely:8.3f}"
        f"{row.n_answered - row.n_timely:6}{row.n_not_run:8}{row.n_unknown:8}"
        f"{row.n_cancelled:7}{times.get('p50', 0):8}{times.get('p99', 0):8}"
    )
