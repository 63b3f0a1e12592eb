import json

import pytest

from figcrank.cli.figcrankctl import main

UNUSED_URL = "http://127.0.0.1:9"


@pytest.fixture
def ctl(embedded_host, capfd):
    """Run a command against the embedded host; return exit status, output and errors."""

    def run(
        *arguments, key=embedded_host["operator_key"], url=embedded_host["operator_url"], more=()
    ):
        capfd.readouterr()
        urls = [part for each in (url, *more) for part in ("--operator-url", each)]
        status = main([*arguments, *urls, "--operator-key", key])
        return status, *capfd.readouterr()

    return run


@pytest.mark.parametrize("command", [["status"], ["hosts"], ["groups"], ["key", "list"]])
def test_tables_fit_eighty_columns(ctl, command):
    status, output, _ = ctl(*command)
    assert status == 0
    assert output and max(len(line) for line in output.splitlines()) <= 80


def test_json_is_machine_readable(ctl):
    _, output, _ = ctl("status", "--json")
    assert json.loads(output)["host"] == "host-1"


def test_an_edited_workspace_is_in_force_after_waiting(ctl):
    status, output, _ = ctl("workspace", "set", "crew", "--rate", "9", "--burst", "4", "--wait")
    assert status == 0
    assert "in force at: host-1" in output
    _, output, _ = ctl("workspace", "list", "--json")
    values = {item["value"]["name"]: item["value"] for item in json.loads(output)}
    assert (values["crew"]["rate_per_s"], values["crew"]["burst"]) == (9, 4)


def test_a_conflict_shows_both_sides(ctl):
    ctl("workspace", "set", "clash", "--rate", "9", "--burst", "4", "--wait")
    status, _, errors = ctl(
        "workspace", "set", "clash", "--rate", "7", "--burst", "7", "--expected-version", "1"
    )
    assert status == 1
    assert "burst=4" in errors and "burst=7" in errors


def test_a_key_is_shown_once_and_stops_when_withdrawn(ctl, embedded_host, new_caller):
    _, output, _ = ctl("key", "create", embedded_host["workspace"], "--json", "--wait")
    key = json.loads(output.splitlines()[0])["key"]
    caller = new_caller(key, embedded_host["service"])
    assert caller.run(embedded_host["caller_url"], "SELECT 1", profile="fresh").status == 200
    key_id = key.split("_")[1]
    assert ctl("key", "withdraw", key_id, "--wait")[0] == 0
    assert caller.run(embedded_host["caller_url"], "SELECT 1", profile="fresh").status == 401
    for command in (["key", "list"], ["key", "list", "--json"], ["config", "get", "--json"]):
        assert key.split("_")[2] not in ctl(*command)[1]
        assert 'digest":"' not in ctl(*command)[1].replace('digest":""', "")


def test_a_file_of_objects_is_compared_and_applied(ctl, tmp_path):
    path = tmp_path / "objects.json5"
    path.write_text('[{type: "profile", name: "age", mode: "bounded", max_staleness_ms: 900}]')
    assert ctl("config", "diff", str(path))[0] == 1
    assert ctl("config", "apply", str(path), "--wait")[0] == 0
    status, output, _ = ctl("config", "diff", str(path))
    assert (status, output.strip()) == (0, "No differences.")


@pytest.mark.parametrize(
    ("arguments", "expected", "hint"),
    [
        (["key", "withdraw", "absent"], 1, "key list"),
        (["key", "create", "absent"], 1, "workspace list"),
        (["switch", "absent"], 1, "absent"),
        (["config", "diff", "/absent.json5"], 2, "/absent.json5"),
        (["config", "check", "/absent.json5"], 2, "/absent.json5"),
    ],
)
def test_failures_have_a_status_and_one_line_that_helps(ctl, arguments, expected, hint):
    status, _, errors = ctl(*arguments)
    assert status == expected
    assert hint in errors
    assert len(errors.strip().splitlines()) == 1


def test_a_wrong_operator_key_is_refused(ctl):
    status, _, errors = ctl("status", key="wrong")
    assert (status, "--operator-key" in errors) == (1, True)


@pytest.mark.parametrize(
    ("url", "expected"), [(UNUSED_URL, 3), ("ftp://host", 2), ("http://host:x", 2)]
)
def test_an_unusable_url_has_its_own_status(ctl, url, expected):
    status, _, errors = ctl("status", url=url)
    assert status == expected
    assert "http://" in errors


def test_waiting_names_the_hosts_that_did_not_answer(ctl):
    arguments = ["workspace", "set", "late", "--rate", "1", "--burst", "1", "--wait"]
    status, output, _ = ctl(*arguments, "--wait-ms", "300", more=[UNUSED_URL])
    assert status == 1
    assert f"Not there yet: {UNUSED_URL}" in output
