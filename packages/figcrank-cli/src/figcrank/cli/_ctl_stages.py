"""The ``logs --stages`` view: where the time of answered requests went, by kind and moment."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rich.table import Table

from figcrank.cli._ctl_output import Output

if TYPE_CHECKING:
    from figcrank.cli._ctl_logs import LogEvent

ANSWER_EVENTS = ("served", "refused")
# In the order in which an operation reaches them; in the log, with the suffix ``_ms``.
STAGES = ("primary", "position", "slot", "connect", "prepare", "server")
MS_PER_S = 1_000


@dataclass(frozen=True, slots=True)
class StageRow:
    """Requests of one kind that were answered in one span of time.

    :param from_s: start of the span, counted from the first line of the logs.
    :param mode: how the route reads.
    :param form: form of the operation.
    :param outcome: ``served``, or the failure.
    :param requests: number of logged requests.
    :param p50_ms: median of their times at the host.
    :param p99_ms: 99th percentile.
    :param mean_ms: mean time by stage; ``other`` is the time in none of them.
    """

    from_s: int
    mode: str
    form: str
    outcome: str
    requests: int
    p50_ms: int
    p99_ms: int
    mean_ms: dict[str, float]


def stage_rows(events: "Iterable[LogEvent]", span_s: int) -> list[StageRow]:
    """Return the stages of answered requests, by moment, mode, form and outcome.

    :param events: log events in the order of their times.
    :param span_s: length of a span; 0 for one span over all.
    """
    answers = defaultdict(list)
    start_ms = None
    for event in events:
        start_ms = event.at_ms if start_ms is None else start_ms
        if event.event not in ANSWER_EVENTS or "mode" not in event.fields:
            continue
        after_s = (event.at_ms - start_ms) // MS_PER_S
        from_s = after_s // span_s * span_s if span_s else 0
        fields = event.fields
        outcome = fields.get("failure") or event.event
        key = (from_s, fields["mode"], fields.get("form") or "-", outcome)
        answers[key].append(fields)
    return [_row(key, found) for key, found in sorted(answers.items())]


def _row(key: tuple[int, str, str, str], answers: list[dict]) -> StageRow:
    times_ms = sorted(fields.get("took_ms", 0) for fields in answers)
    count = len(answers)
    mean_ms = {
        stage: sum(fields.get(f"{stage}_ms", 0) for fields in answers) / count for stage in STAGES
    }
    mean_ms["other"] = max(0.0, sum(times_ms) / count - sum(mean_ms.values()))
    p99_ms = times_ms[min(count - 1, count * 99 // 100)]
    return StageRow(*key, count, times_ms[count // 2], p99_ms, mean_ms)


def show_stages(events: "Iterable[LogEvent]", span_s: int, output: Output) -> None:
    """Show where the time of answered requests went."""
    rows = stage_rows(events, span_s)
    names = [*STAGES, "other"]
    table = Table("from s", "mode", "form", "outcome", "requests", "p50", "p99", *names)
    for row in rows:
        table.add_row(
            str(row.from_s),
            row.mode,
            row.form,
            row.outcome,
            str(row.requests),
            str(row.p50_ms),
            str(row.p99_ms),
            *(f"{row.mean_ms[name]:.1f}" for name in names),
        )
    documents = [
        {
            "from_s": row.from_s,
            "mode": row.mode,
            "form": row.form,
            "outcome": row.outcome,
            "requests": row.requests,
            "p50_ms": row.p50_ms,
            "p99_ms": row.p99_ms,
            "mean_ms": {name: round(value, 1) for name, value in row.mean_ms.items()},
        }
        for row in rows
    ]
    output.show(documents, table)
