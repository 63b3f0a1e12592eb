"""Invalid input produces a one-line error and the documented exit code, and changes nothing."""

import argparse
import socket

import argcomplete
import pytest

from figcrank.cli._ctl_parser import build_parser
from figcrank.cli.figcrankctl import main

KEY = "operator-key-of-a-test"
WORKSPACE = ("workspace", "set", "w")
LOAD = ("load", "--url", "http://127.0.0.1:1", "--key", "k", "--service", "s", "--profile", "p")


@pytest.fixture(autouse=True)
def environment(monkeypatch):
    for name in ("FIGCRANK_OPERATOR_URL", "FIGCRANK_OPERATOR_KEY", "FIGCRANK_KEY"):
        monkeypatch.delenv(name, raising=False)


@pytest.fixture
def closed_url():
    """Return a URL whose port is bound but refuses connections."""
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{bound.getsockname()[1]}"


def run(capsys, *arguments):
    """Return the exit code and the single line printed to standard error."""
    try:
        code = main(arguments)
    except SystemExit as stop:
        code = stop.code
    written = capsys.readouterr()
    assert written.out == ""
    assert "Traceback" not in written.err
    (line,) = written.err.splitlines()
    return code, line


@pytest.mark.parametrize(
    "arguments",
    [
        (),
        ("absent",),
        ("key",),
        ("key", "absent"),
        ("status", "--absent"),
        ("status", "extra"),
        ("stat",),
        ("status", "--js"),
        ("server", "drain", "g"),
        ("server", "drain", "", "s"),
        ("switch",),
        ("explain", "a", "b"),
        ("trace",),
        ("config", "apply"),
        ("config", "get", "--kind", "absent"),
        ("workspace", "set"),
        (*WORKSPACE, "--burst", "0"),
        (*WORKSPACE, "--burst", "-1"),
        (*WORKSPACE, "--burst", "1.5"),
        (*WORKSPACE, "--burst", "٣"),
        (*WORKSPACE, "--burst", "9" * 400),
        (*WORKSPACE, "--burst", "1", "--version", "x"),
        (*WORKSPACE, "--burst", "1", "--wait", "-1"),
        (*WORKSPACE, "--burst", "1", "--wait", "nan"),
        (*WORKSPACE, "--burst", "1", "--wait", "inf"),
        ("profile", "set", "p"),
        ("profile", "set", "p", "--mode", "absent"),
        ("service", "set", "s"),
        ("key", "create"),
        ("key", "create", "w", "--key-id", "a_b"),
        ("key", "withdraw"),
        (*LOAD, "--rate-per-s", "1"),
        (*LOAD, "--rate-per-s", "0", "--duration-s", "1"),
        (*LOAD, "--rate-per-s", "1", "--duration-s", "1e9"),
        (*LOAD, "--rate-per-s", "1", "--duration-s", "1", "--connections", "99999"),
    ],
)
def test_invalid_arguments(capsys, arguments):
    code, line = run(capsys, *arguments)
    assert code == 2
    assert line.startswith("figcrankctl: ")
    assert "--help" in line


@pytest.mark.parametrize(
    "arguments",
    [
        WORKSPACE,
        ("profile", "set", "p", "--mode", "fresh", "--max-staleness-ms", "5"),
        ("profile", "set", "p", "--mode", "bounded"),
        (*LOAD, "--rate-per-s", "100000", "--duration-s", "3600"),
        ("load", "--url", "x", "--service", "s", "--profile", "p", *("--rate-per-s", "1"))
        + ("--duration-s", "1"),
    ],
)
def test_incompatible_arguments(capsys, closed_url, arguments):
    code, _ = run(capsys, *arguments, "--operator-url", closed_url, "--operator-key", KEY)
    assert code == 2


@pytest.mark.parametrize(
    ("options", "expected"),
    [
        ((), "FIGCRANK_OPERATOR_URL"),
        (("--operator-url", "http://127.0.0.1:1"), "FIGCRANK_OPERATOR_KEY"),
        (("--operator-url", "https://127.0.0.1:1", "--operator-key", KEY), "http://IP:PORT"),
        (("--operator-url", "http://localhost:1", "--operator-key", KEY), "http://IP:PORT"),
        (("--operator-url", "http://127.0.0.1:0", "--operator-key", KEY), "http://IP:PORT"),
        (("--operator-url", "http://127.0.0.1:1", "--operator-key", "ключ"), "ASCII"),
        (("--operator-url", "http://127.0.0.1:1", "--operator-key", "a\nb"), "ASCII"),
    ],
)
def test_malformed_url_or_key(capsys, options, expected):
    code, line = run(capsys, "status", *options)
    assert code == 2
    assert expected in line


@pytest.mark.parametrize(
    "arguments",
    [
        ("status",),
        ("hosts",),
        ("explain",),
        ("switch", "g"),
        ("key", "create", "w"),
        ("config", "get"),
        (*WORKSPACE, "--burst", "1", "--wait", "1"),
    ],
)
def test_unreachable_host(capsys, closed_url, arguments):
    code, line = run(capsys, *arguments, "--operator-url", closed_url, "--operator-key", KEY)
    assert code == 3
    assert "No host could be reached" in line
    assert "--operator-url" in line


def test_load_against_an_unreachable_host(capsys, closed_url):
    arguments = ("load", "--url", closed_url, *LOAD[3:], "--rate-per-s", "9", "--duration-s", "1")
    assert run(capsys, *arguments)[0] == 3


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("no JSON", "JSON with comments"),
        ("", "JSON with comments"),
        ("[" * 5_000, "JSON with comments"),
        ("{}", "a list of objects"),
        ("[1]", "kind, name and value"),
        ('[{"kind":"profile","name":"p"}]', "kind, name and value"),
        ('[{"kind":"profile","name":"p","value":null,"extra":1}]', "one of the keys"),
        ('[{"kind":"absent","name":"p","value":null}]', "[0].kind"),
        ('[{"kind":["x"],"name":"p","value":null}]', "[0].kind"),
        ('[{"kind":"profile","name":"","value":null}]', "[0].name"),
        ('[{"kind":"profile","name":"p","value":null,"version":-1}]', "[0].version"),
        ('[{"kind":"profile","name":"p","value":null,"version":true}]', "[0].version"),
        ('[{"kind":"profile","name":"p","value":7}]', "a profile or null"),
        ('[{"kind":"profile","name":"p","value":{"name":"p"}}]', "[0].value"),
        ('[{"kind":"profile","name":"p","value":{"name":"p","mode":"x"}}]', "[0].value"),
        ('[{"kind":"service","name":"s","value":{"name":"s","grp":"g"}}]', "[0].value.grp"),
        ('[{"kind":"key","name":"k","value":{"type":"profile"}}]', "[0].value"),
        ('[{"kind":"key","name":"k","value":null},{"kind":"key","name":"k","value":null}]', "once"),
    ],
)
@pytest.mark.parametrize("action", ["apply", "diff"])
def test_invalid_configuration_file(capsys, closed_url, tmp_path, action, text, expected):
    path = tmp_path / "config.json5"
    path.write_text(text)
    options = ("--operator-url", closed_url, "--operator-key", KEY)
    code, line = run(capsys, "config", action, str(path), *options)
    assert code == 2
    assert line.startswith(f"figcrankctl: {path}")
    assert expected in line
    assert "nothing was changed" in line


@pytest.mark.parametrize("command", [("config", "check"), ("trace",)])
@pytest.mark.parametrize("content", [None, b"\xff\xfe\n", b"[\n"])
def test_unreadable_or_invalid_local_file(capsys, tmp_path, command, content):
    path = tmp_path / "file"
    if content is not None:
        path.write_bytes(content)
    code, line = run(capsys, *command, str(path))
    assert code == 2
    assert str(path) in line


def test_trace_of_an_empty_file(capsys, tmp_path):
    path = tmp_path / "spans"
    path.touch()
    assert run(capsys, "trace", str(path))[0] == 1


def test_commands_are_completed():
    completer = argcomplete.CompletionFinder(build_parser(), always_complete_options=False)
    words = completer._get_completions(["figcrankctl"], "ke", "", None)
    assert [word.strip() for word in words] == ["key"]


def test_exit_codes_are_in_the_help():
    text = build_parser().format_help()
    assert isinstance(build_parser(), argparse.ArgumentParser)
    for code in range(5):
        assert f"\n  {code}  " in text
