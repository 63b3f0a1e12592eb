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


def test_stages_tell_where_the_time_of_requests_went(tmp_path, capsys):
    """Guards against answers of which only the total is known: a queue looks like a slow server."""
    path = tmp_path / "host.log"
    fields = {"host": "h", "event": "served", "mode": "primary", "form": "read"}
    lines = [
        {**fields, "at_ms": 1_000, "took_ms": 30, "slot_ms": 20, "server_ms": 5},
        {**fields, "at_ms": 1_100, "took_ms": 50, "connect_ms": 15, "server_ms": 7},
        {**fields, "at_ms": 4_000, "event": "refused", "failure": "busy", "took_ms": 700},
    ]
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))
    assert main(["--json", "logs", str(path), "--stages", "--span-s", "2"]) == 0
    served, refused = json.loads(capsys.readouterr().out)
    assert (served["from_s"], served["requests"], served["outcome"]) == (0, 2, "served")
    assert served["mean_ms"]["slot"] == 10.0
    assert served["mean_ms"]["other"] == 40.0 - 10.0 - 7.5 - 6.0
    assert (refused["from_s"], refused["outcome"]) == (2, "busy")
