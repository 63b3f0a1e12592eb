"""figcrankd exits with status 2 and reports every error in invalid settings."""

import socket
import subprocess
import sys


def run(*arguments):
    command = [sys.executable, "-m", "figcrank.cli.figcrankd", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


def test_every_settings_error_is_printed(tmp_path):
    path = tmp_path / "host.json5"
    path.write_text('{fleet: 1, host: {name: "a"}, extra: 2}')
    result = run("--config", str(path))
    assert result.returncode == 2
    assert result.stdout == ""
    for name in ("fleet", "extra", "host.availability_zone", "platform_address", "secrets"):
        assert f"{path}: {name}: " in result.stderr
    assert "Traceback" not in result.stderr


def test_unreadable_file_is_printed(tmp_path):
    result = run("--config", str(tmp_path / "absent.json5"), "--check")
    assert result.returncode == 2
    assert "expected a readable UTF-8 file" in result.stderr


def test_bad_listen_address_is_printed():
    result = run("--embedded", "--listen", "somewhere")
    assert result.returncode == 2
    assert "ip:port" in result.stderr


def test_address_in_use_is_printed():
    with socket.create_server(("127.0.0.1", 0)) as taken:
        result = run("--embedded", "--listen", f"127.0.0.1:{taken.getsockname()[1]}")
    assert result.returncode == 2
    assert "host.caller_address" in result.stderr
    assert "Traceback" not in result.stderr


def test_trace_file_that_cannot_be_written_is_printed(tmp_path):
    result = run("--embedded", "--listen", "127.0.0.1:0", "--trace-file", str(tmp_path))
    assert result.returncode == 2
    assert "trace_file" in result.stderr
    assert "Traceback" not in result.stderr
