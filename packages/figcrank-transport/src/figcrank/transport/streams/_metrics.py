"""Counters, gauges and latency histograms in the Prometheus text exposition format.

A client library would add a tenth to the memory use of the process, for a few lines of formatting.
"""

from collections.abc import Callable

BUCKETS_MS = (5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400)  # up to the longest limit
PREFIX = "figcrank"


class Metrics:
    """Registry of this host's metrics."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}
        self._histograms: dict[tuple[str, str], list[float]] = {}
        self._gauges: list[Callable[[], dict[str, float]]] = []

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increase a counter."""
        key = (name, tuple(labels.items()))
        self._counters[key] = self._counters.get(key, 0) + amount

    def observe_latency(self, name: str, label: str, took_ms: float) -> None:
        """Add a latency to a histogram.

        :param label: value of the ``mode`` label.
        """
        histogram = self._histograms.get((name, label))
        if histogram is None:
            histogram = self._histograms[name, label] = [0.0] * (len(BUCKETS_MS) + 2)
        index = next((i for i, top_ms in enumerate(BUCKETS_MS) if took_ms <= top_ms), -2)
        histogram[index] += 1
        histogram[-1] += took_ms

    def add_gauges(self, gauges: Callable[[], dict[str, float]]) -> None:
        """Add a callback that returns gauge values by name, called on each rendering."""
        self._gauges.append(gauges)

    def render(self) -> str:
        """Return all metrics as text."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            text = ",".join(f'{key}="{word}"' for key, word in labels)
            lines.append(f"{PREFIX}_{name}_total{{{text}}} {value:g}")
        for (name, label), histogram in sorted(self._histograms.items()):
            lines.extend(_histogram_lines(f"{PREFIX}_{name}_ms", label, histogram))
        for source in self._gauges:
            lines.extend(f"{PREFIX}_{name} {value:g}" for name, value in source().items())
        return "\n".join(lines) + "\n"


def _histogram_lines(name: str, label: str, histogram: list[float]) -> list[str]:
    lines = []
    total = 0.0
    for top, count in zip((*BUCKETS_MS, "+Inf"), histogram, strict=False):
        total += count
        lines.append(f'{name}_bucket{{mode="{label}",le="{top}"}} {total:g}')
    lines.append(f'{name}_sum{{mode="{label}"}} {histogram[-1]:g}')
    lines.append(f'{name}_count{{mode="{label}"}} {total:g}')
    return lines
