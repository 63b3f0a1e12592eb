"""Tests the validation of settings, which reports all problems together."""

import pytest

from figcrank.protocol import SettingsError
from figcrank.transport import Settings

VALID_SETTINGS = """
{
  // Settings of a fleet with a single host.
  fleet: "test",
  host: {
    name: "host-1", availability_zone: "az-1",
    caller_address: "127.0.0.1:0", operator_address: "127.0.0.1:0",
    peer_address: "127.0.0.1:0", gossip_address: "127.0.0.1:0",
  },
  platform_address: "127.0.0.1:9000",
  secrets: ["0123456789abcdef"],
  operator_keys: ["fedcba9876543210"],
  groups: [{
    name: "g", slots_per_server: 3, connections_per_server: 35,
    servers: [{name: "a", availability_zone: "az-1", address: "127.0.0.1:9001"}],
  }],
  timings: {tick_ms: 5},
}
"""


def problems_of(text):
    with pytest.raises(SettingsError) as caught:
        Settings.from_text(text, "host.json5")
    return {problem.path: problem for problem in caught.value.problems}


def test_valid_settings():
    settings = Settings.from_text(VALID_SETTINGS, "host.json5")
    assert settings.host.name == "host-1"
    assert settings.timings.tick_ms == 5
    assert settings.timings.server_timeout_ms == 200
    assert settings.groups[0].servers[0].address == "127.0.0.1:9001"


def test_all_structural_problems_are_reported_together():
    text = VALID_SETTINGS.replace('fleet: "test"', "fleet: 7, fleat: 1").replace(
        "tick_ms: 5", "tick_ms: 1.5"
    )
    text = text.replace('availability_zone: "az-1",\n', "\n", 1)
    found = problems_of(text)
    assert set(found) == {"fleet", "fleat", "timings.tick_ms", "host.availability_zone"}
    assert found["fleet"].value == "7"
    assert found["fleet"].expected == "a string"
    assert found["host.availability_zone"].value == "(absent)"


def test_all_semantic_problems_are_reported_together():
    text = VALID_SETTINGS.replace("127.0.0.1:9001", "localhost:9001").replace(
        "tick_ms: 5", "tick_ms: 0"
    )
    text = text.replace('name: "host-1"', 'name: "host~1"')
    assert set(problems_of(text)) == {
        "groups[0].servers[0].address",
        "timings.tick_ms",
        "host.name",
    }


def test_syntax_error_reports_its_line():
    assert set(problems_of('{\n  fleet: "a",\n  host: }\n')) == {"line 3"}


def test_secrets_are_hidden():
    found = problems_of(VALID_SETTINGS.replace('["0123456789abcdef"]', '"short-secret"'))
    assert "short-secret" not in found["secrets"].value


def test_missing_file_raises_a_settings_error(tmp_path):
    with pytest.raises(SettingsError):
        Settings.from_file(str(tmp_path / "absent.json5"))
