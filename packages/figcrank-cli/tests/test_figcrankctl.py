"""figcrankctl commands against one embedded host."""

import json
import subprocess
import sys
from dataclasses import dataclass

import pytest

OPERATOR_URL = "FIGCRANK_OPERATOR_URL"
OPERATOR_KEY = "FIGCRANK_OPERATOR_KEY"
COLUMNS = 80


@dataclass
class Ctl:
    """Runs figcrankctl with the operator URL and key of the host."""

    environment: dict

    def run(self, *arguments):
        command = [sys.executable, "-m", "figcrank.cli.figcrankctl", *arguments]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60, env=self.environment
        )

    def json(self, *arguments):
        done = self.run("--json", *arguments)
        assert done.returncode == 0, done.stderr
        return json.loads(done.stdout)


@pytest.fixture
def trace_file(tmp_path):
    return tmp_path / "spans.jsonl"


@pytest.fixture
def program(programs, trace_file):
    arguments = ("--embedded", "--listen", "127.0.0.1:0", "--trace-file", str(trace_file))
    return programs("figcrank.cli.figcrankd", *arguments)


@pytest.fixture
def ready(program):
    return program.read_ready()


@pytest.fixture
def ctl(ready):
    return Ctl(
        {
            OPERATOR_URL: ready["operator_url"],
            OPERATOR_KEY: ready["operator_key"],
            "USER": "tester",
        }
    )


@pytest.mark.parametrize(
    "arguments",
    [
        ("status",),
        ("hosts",),
        ("groups",),
        ("workspace", "list"),
        ("profile", "list"),
        ("service", "list"),
        ("key", "list"),
        ("config", "get"),
        ("explain",),
    ],
)
def test_tables_fit_the_terminal(ctl, arguments):
    done = ctl.run(*arguments)
    assert done.returncode == 0, done.stderr
    assert done.stdout.strip()
    assert max(map(len, done.stdout.splitlines())) <= COLUMNS
    assert done.stderr == ""


def test_edit_is_stored_applied_and_audited(ctl):
    done = ctl.json("workspace", "set", "demo", "--burst", "3000", "--wait", "10")
    assert done["stored"]["value"]["burst"] == 3000
    assert done["stored"]["value"]["rate_per_s"] == 1000
    assert done["in_force"]["missing"] == []
    (decision,) = ctl.json("explain", "workspace/demo")[0]["reply"]["decisions"]
    assert decision["inputs"]["operator"] == "tester"
    assert decision["inputs"]["version"] == str(done["stored"]["version"])


def test_conflict_shows_both_sides_and_changes_nothing(ctl):
    before = ctl.json("config", "get")
    arguments = ("workspace", "set", "demo", "--burst", "7", "--version", "1")
    done = ctl.run("--json", *arguments)
    assert done.returncode == 1
    conflict = json.loads(done.stdout)
    assert conflict["yours"]["burst"] == 7
    assert conflict["current"]["value"]["burst"] == 2000
    assert "conflict with another edit" in done.stderr
    assert ctl.json("config", "get") == before


def test_key_works_until_it_is_withdrawn(ctl, ready, new_caller):
    created = ctl.json("key", "create", "demo", "--wait", "10")
    caller = new_caller(created["key"], ready["service"])
    assert caller.run(ready["caller_url"], "select 1", profile="fresh").status == 200
    listed = ctl.run("--json", "key", "list").stdout + ctl.run("config", "get", "--json").stdout
    assert created["key_id"] in listed
    assert created["key"].rsplit("_", 1)[-1] not in listed
    same_id = ("key", "create", "demo", "--key-id", created["key_id"])
    assert "conflict with another edit" in ctl.run(*same_id).stderr
    done = ctl.run("key", "withdraw", created["key_id"], "--wait", "10")
    assert done.returncode == 0, done.stderr
    assert caller.run(ready["caller_url"], "select 1", profile="fresh").status == 401
    again = ctl.run(*same_id)
    assert again.returncode == 1
    assert "A withdrawn key stays withdrawn" in again.stderr


def test_profile_and_service_can_be_used_once_set(ctl, ready, new_caller):
    ctl.json(
        "profile", "set", "duty", "--mode", "bounded", "--max-staleness-ms", "2000", "--wait", "10"
    )
    ctl.json("service", "set", "rota", "--group", "roster-1", "--wait", "10")
    caller = new_caller(ready["key"], "rota")
    assert caller.run(ready["caller_url"], "select 1", profile="duty").status == 200


def test_config_get_output_can_be_applied(ctl, tmp_path):
    path = tmp_path / "config.json5"
    path.write_text(ctl.run("--json", "config", "get").stdout)
    assert {entry["change"] for entry in ctl.json("config", "diff", str(path))} == {"same"}
    profile = '{kind: "profile", name: "p", value: {name: "p", mode: "fresh"}}'
    path.write_text(f"// a comment\n[{profile}]")
    applied = ctl.json("config", "apply", str(path), "--wait", "10")
    assert len(applied["stored"]) == 1
    assert ctl.json("config", "apply", str(path))["unchanged"] == ["profile p"]
    path.write_text('[{kind: "profile", name: "p", value: null}]')
    assert ctl.json("config", "diff", str(path))[0]["change"] == "delete"
    assert ctl.json("config", "apply", str(path))["stored"][0]["value"] is None


def test_failed_apply_reports_the_number_of_stored_objects(ctl, tmp_path):
    path = tmp_path / "config.json"
    good = {"kind": "service", "name": "s", "value": {"name": "s", "group": "roster-1"}}
    bad = {"kind": "service", "name": "t", "value": {"name": "t", "group": "absent"}}
    path.write_text(json.dumps([good, bad]))
    done = ctl.run("config", "apply", str(path))
    assert done.returncode == 1
    assert "service t:" in done.stderr
    assert "Stored before it: 1" in done.stderr


def test_drain_switches_the_primary_and_restore_returns_the_server_to_service(ctl, poll):
    (group,) = ctl.json("groups")
    primary = group["views"][0]["status"]["primary"]
    assert ctl.run("server", "drain", group["name"], primary).returncode == 0

    def status():
        return ctl.json("groups")[0]["views"][0]["status"]

    moved = poll(lambda: status() if status()["primary"] not in ("", primary) else None, "switch")
    leaving = {server["server"] for server in moved["statuses"] if server["leaving"]}
    assert leaving == {primary}
    assert ctl.run("server", "restore", group["name"], primary).returncode == 0
    assert not any(server["leaving"] for server in status()["statuses"])
    switched = ctl.run("switch", group["name"], "--to", primary)
    assert switched.returncode == 0, switched.stderr
    poll(lambda: status()["primary"] == primary, "switch back")
    kinds = [entry["kind"] for entry in ctl.json("explain", primary)[0]["reply"]["decisions"]]
    assert {"drain", "restore", "promotion"} <= set(kinds)


def test_load_report_is_complete_and_trace_prints_one_line_per_span(
    ctl, program, ready, trace_file, tmp_path
):
    plot = tmp_path / "latencies.png"
    report = ctl.json(
        "load",
        *("--url", ready["caller_url"], "--key", ready["key"], "--service", ready["service"]),
        *("--profile", "fresh", "--rate-per-s", "40", "--duration-s", "1", "--plot", str(plot)),
    )
    assert report["sent"] + report["unsent"] == 40
    assert report["answered"] + sum(report["failures"].values()) == report["sent"] > 0
    latencies = [point["latency_ms"] for point in report["latencies"]]
    assert latencies == sorted(latencies)
    assert plot.read_bytes().startswith(b"\x89PNG")
    assert program.terminate() == 0
    hops = ctl.json("trace", str(trace_file))["hops"]
    assert [(hop["name"], hop["depth"]) for hop in hops][:2] == [
        ("caller.statements", 0),
        ("entry", 1),
    ]
    text = ctl.run("trace", str(trace_file)).stdout
    assert len(text.splitlines()) == len(hops) + 1


def test_unreachable_host_is_skipped_and_reported(ctl, ready):
    urls = ("--operator-url", "http://127.0.0.1:1", "--operator-url", ready["operator_url"])
    shown = ctl.run("status", *urls)
    assert shown.returncode == 0
    assert "no answer" in shown.stdout
    waited = ctl.run("workspace", "set", "demo", "--burst", "9", "--wait", "0.3", *urls)
    assert waited.returncode == 4
    assert "not yet in force at http://127.0.0.1:1" in waited.stderr
