import msgspec
import pytest

from figcrank.measure import Limit, Measure
from figcrank.measure.plot import main, read_run


@pytest.fixture
def run(tmp_path):
    path = tmp_path / "run.jsonl"
    lines = [
        Measure.from_value("failover_gap_ms", "primary dies", 474, "ms", Limit.AT_MOST, 1_500),
        Measure.from_value("replica_read_share", "fresh", 0.2, "ratio", Limit.REPORT),
    ]
    path.write_bytes(b"\n".join(msgspec.json.encode(line) for line in lines))
    return path


def test_plot_of_two_runs_is_a_png(run, tmp_path):
    target = tmp_path / "plot.png"
    assert main([str(target), str(run), str(run)]) == 0
    assert target.read_bytes().startswith(b"\x89PNG")


def test_line_that_is_no_measure_is_refused(tmp_path):
    path = tmp_path / "run.jsonl"
    path.write_text('{"measure":1}')
    with pytest.raises(msgspec.DecodeError):
        read_run(path)


@pytest.mark.parametrize(
    ("limit", "value", "ok"),
    [
        (Limit.AT_MOST, 5, True),
        (Limit.AT_MOST, 6, False),
        (Limit.AT_LEAST, 5, True),
        (Limit.AT_LEAST, 4, False),
        (Limit.REPORT, 99, True),
    ],
)
def test_value_is_held_against_its_bound(limit, value, ok):
    assert Measure.from_value("m", "s", value, "ms", limit, 5).ok is ok
