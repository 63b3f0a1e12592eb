"""Settings are checked as a whole before anything starts."""

import pytest

from figcrank.protocol import SettingsError
from figcrank.transport import Settings

GOOD = """
{
  // A host of a fleet of one.
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


def test_good_settings():
    settings = Settings.from_text(GOOD, "host.json5")
    assert settings.host.name == "host-1"
    assert settings.timings.tick_ms == 5
    assert settings.timings.server_timeout_ms == 200
    assert settings.groups[0].servers[0].address == "127.0.0.1:9001"


def test_every_fault_of_form_is_reported_at_once():
    text = GOOD.replace('fleet: "test"', "fleet: 7, fleat: 1").replace("tick_ms: 5", "tick_ms: 1.5")
    text = text.replace('availability_zone: "az-1",\n', "\n", 1)
    found = problems_of(text)
    assert set(found) == {"fleet", "fleat", "timings.tick_ms", "host.availability_zone"}
    assert found["fleet"].value == "7"
    assert found["fleet"].expected == "a string"
    assert found["host.availability_zone"].value == "(absent)"


def test_every_fault_of_meaning_is_reported_at_once():
    text = GOOD.replace("127.0.0.1:9001", "localhost:9001").replace("tick_ms: 5", "tick_ms: 0")
    text = text.replace('name: "host-1"', 'name: "host~1"')
    assert set(problems_of(text)) == {
        "groups[0].servers[0].address",
        "timings.tick_ms",
        "host.name",
    }


def test_syntax_fault_names_its_line():
    assert set(problems_of('{\n  fleet: "a",\n  host: }\n')) == {"line 3"}


def test_secrets_are_not_shown():
    found = problems_of(GOOD.replace('["0123456789abcdef"]', '"short-secret"'))
    assert "short-secret" not in found["secrets"].value


def test_missing_file_is_a_settings_fault(tmp_path):
    with pytest.raises(SettingsError):
        Settings.from_file(str(tmp_path / "absent.json5"))
