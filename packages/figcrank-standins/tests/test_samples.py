import pytest

from figcrank.protocol.objects import decode_config_value
from figcrank.standins.samples import herdtrace, patna, sample_objects
from figcrank.state import Key, PresentedKey, ProfileMode


def test_sample_key_opens_the_sample_workspace():
    config = sample_objects()
    (key,) = [
        decode_config_value(stored.value) for stored in config.objects if stored.kind == "key"
    ]
    assert isinstance(key, Key)
    presented = PresentedKey.from_text(config.key)
    assert presented.key_id == key.key_id
    assert key.matches(presented.secret)


def test_sample_profiles_cover_every_mode():
    stored = [entry for entry in sample_objects().objects if entry.kind == "profile"]
    profiles = [decode_config_value(entry.value) for entry in stored]
    assert {profile.mode for profile in profiles} == set(ProfileMode)
    assert [profile.name for profile in profiles] == [entry.name for entry in stored]


@pytest.mark.parametrize(
    ("sizes", "slots", "connections"), [(patna(), 5, 35), (herdtrace(), 3, 40)]
)
def test_sizes_are_those_of_the_users(sizes, slots, connections):
    assert len(sizes.groups) == 3
    assert len(sizes.workspaces) == 8
    for group in sizes.groups:
        assert len({server.availability_zone for server in group.servers}) == 3
        assert (group.slots_per_server, group.connections_per_server) == (slots, connections)
