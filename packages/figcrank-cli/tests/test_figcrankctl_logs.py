"""The ``logs`` command on log files of two hosts."""

import json

import pytest

from figcrank.cli.figcrankctl import main


def line(at_ms, host, event, **fields):
    return json.dumps({"at_ms": at_ms, "t_ms": 5, "host": host, "event": event, **fields})


@pytest.fixture
def logs(tmp_path):
    one = tmp_path / "one.log"
    one.write_text(
        "\n".join(
            [
                "collector: " + line(1_000, "a", "server_unreachable", group="g", server="s1"),
                line(1_300, "a", "refused", id="r1", group="g", failure="in_doubt", reason="lost"),
                line(99_000, "a", "primary_changed", group="g", server="s9"),
                "not a line",
                '{"cut',
            ]
        )
    )
    other = tmp_path / "two.log"
    other.write_text(
        "\n".join(
            [
                line(1_200, "b", "replacement_begun", group="g", reason="unreachable"),
                line(1_250, "b", "replacement_begun", group="other", reason="leaving"),
                line(1_400, "b", "over_limit", id="r2", workspace="w"),
                line(1_401, "b", "over_limit", id="r3", workspace="w"),
            ]
        )
    )
    return [str(one), str(other)]


def test_request_history_includes_events_of_its_group_from_all_hosts(logs, capsys):
    assert main(["logs", *logs, "--request", "r1"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert [text.split()[-1 - text.split()[::-1].index("group=g")] for text in lines]
    assert [part.split()[2] if part[0] == " " else part.split()[3] for part in lines] == [
        "server_unreachable",
        "replacement_begun",
        "refused",
    ]
    assert lines[-1].startswith(">")


def test_state_changes_are_sorted_by_time(logs, capsys):
    assert main(["--json", "logs", *logs, "--beliefs"]) == 0
    events = json.loads(capsys.readouterr().out)
    assert [event["at_ms"] for event in events] == [1_000, 1_200, 1_250, 99_000]


def test_rejections_are_counted_by_reason_and_workspace(logs, capsys, tmp_path):
    picture = tmp_path / "refusals.png"
    assert main(["--json", "logs", *logs, "--plot", str(picture)]) == 0
    counts = json.loads(capsys.readouterr().out)
    assert {"reason": "over the limit", "workspace": "w", "requests": 2} in counts
    assert picture.stat().st_size > 0


def test_unknown_request_and_unreadable_file_are_reported(logs, capsys):
    assert main(["logs", *logs, "--request", "nobody"]) == 2
    assert "nobody" in capsys.readouterr().err
    assert main(["logs", "/does/not/exist"]) == 2
