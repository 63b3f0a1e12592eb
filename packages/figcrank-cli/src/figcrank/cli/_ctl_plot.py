"""Latency plots."""

import warnings

from hdrh.histogram import HdrHistogram

from figcrank.cli._ctl_errors import FileError

US_PER_MS = 1_000
DOTS_PER_INCH = 120
_PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100)


def plot_latencies(histogram: HdrHistogram, path: str) -> None:
    """Plot latency by percentile.

    :param histogram: latencies in microseconds.
    :param path: file to write; its suffix selects the image format.
    :raises FileError: if the file cannot be written.
    """
    # Imported here because it is slow to import and only used for plots.
    with warnings.catch_warnings():
        warnings.simplefilter("ignore")
        from matplotlib.figure import Figure

    figure = Figure(layout="constrained")
    axes = figure.add_subplot()
    positions = range(len(_PERCENTILES))
    latencies_ms = [histogram.get_value_at_percentile(p) / US_PER_MS for p in _PERCENTILES]
    axes.plot(positions, latencies_ms, marker="o")
    axes.set_xticks(positions, [f"{p:g}" for p in _PERCENTILES])
    axes.set_xlabel("percentile")
    axes.set_ylabel("latency in ms, from the scheduled send time")
    axes.grid(True)
    try:
        figure.savefig(path, dpi=DOTS_PER_INCH)
    except (OSError, ValueError) as error:
        expected = "a writable image file such as latencies.png or latencies.svg"
        raise FileError(path, "", expected) from error
