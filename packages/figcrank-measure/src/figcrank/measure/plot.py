"""Plots each measure over several runs: ``python -m figcrank.measure.plot OUT.png RUN.jsonl ...``.

A run is the output of ``python -m figcrank.measure``, one JSON object a line.
"""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

import matplotlib.pyplot as plt
import msgspec
from matplotlib.axes import Axes

from figcrank.measure._report import Measure

COLUMNS = 3
PANEL_WIDTH_INCHES = 4.5
PANEL_HEIGHT_INCHES = 3.0

_decoder = msgspec.json.Decoder(Measure)


def read_run(path: Path) -> tuple[Measure, ...]:
    """Return the measures of one run.

    :raises msgspec.DecodeError: if a line is not a measure.
    """
    lines = path.read_text(encoding="utf-8").splitlines()
    return tuple(_decoder.decode(line) for line in lines)


def plot_runs(runs: Sequence[tuple[Measure, ...]], target: Path) -> None:
    """Draw one panel a bounded measure and unit, the runs from left to right, bounds dashed.

    :param runs: the runs, oldest first.
    :param target: the PNG file to write.
    """
    bounded = [measure for run in runs for measure in run if measure.bound is not None]
    panels = sorted({(measure.measure, measure.unit) for measure in bounded})
    rows = -(-len(panels) // COLUMNS)
    size = (COLUMNS * PANEL_WIDTH_INCHES, rows * PANEL_HEIGHT_INCHES)
    figure, axes = plt.subplots(rows, COLUMNS, figsize=size, squeeze=False)
    for axis, panel in zip(axes.flat, panels, strict=False):
        _draw_panel(axis, panel, runs)
    for axis in axes.flat[len(panels) :]:
        axis.set_visible(False)
    figure.tight_layout()
    figure.savefig(target)
    plt.close(figure)


def main(arguments: Sequence[str] | None = None) -> int:
    """Read the runs named and write the plot; return the exit status."""
    parser = argparse.ArgumentParser(description="Plot measures over several runs.")
    parser.add_argument("target", type=Path, help="PNG file to write")
    parser.add_argument("runs", type=Path, nargs="+", help="runs, oldest first")
    options = parser.parse_args(arguments)
    plot_runs([read_run(path) for path in options.runs], options.target)
    return 0


def _draw_panel(axis: Axes, panel: tuple[str, str], runs: Sequence[tuple[Measure, ...]]) -> None:
    name, unit = panel
    chosen = [
        [m for m in run if (m.measure, m.unit) == panel and m.bound is not None] for run in runs
    ]
    scenarios = sorted({measure.scenario for run in chosen for measure in run})
    for scenario in scenarios:
        points = [
            (number, measure.value)
            for number, run in enumerate(chosen, start=1)
            for measure in run
            if measure.scenario == scenario
        ]
        axis.plot(*zip(*points, strict=True), marker="o", markersize=3)
    for bound in sorted({measure.bound for run in chosen for measure in run}):
        axis.axhline(bound, linestyle="--", color="black", linewidth=0.8)
    axis.set_title(f"{name}, {len(scenarios)} scenarios", fontsize=9)
    axis.set_ylabel(unit, fontsize=8)
    axis.set_xticks(range(1, len(runs) + 1))
    axis.set_xlabel("run", fontsize=8)


if __name__ == "__main__":
    sys.exit(main())
