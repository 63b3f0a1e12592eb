import pytest

from figcrank.coordination.configuration._versioned_config import VersionedConfig
from figcrank.protocol import ConfigPush
from figcrank.state import ConfigObject, Key, ObjectId, Workspace


def workspace(version, rate=5):
    return ConfigObject(ObjectId("workspace", "crews"), version, Workspace("crews", rate, 5))


def key(version, withdrawn=False, workspace="crews"):
    value = Key("k1", workspace, "salt", "0" * 64, withdrawn)
    return ConfigObject(ObjectId("key", "k1"), version, value)


@pytest.fixture
def config():
    config = VersionedConfig()
    config.apply(ConfigPush(0, 50, (workspace(10), key(40))), from_store=True)
    return config


def test_pull_from_before_the_first_list_gets_all_objects(config):
    assert config.changes_since(45) == ConfigPush(0, 50, (workspace(10), key(40)))
    assert config.changes_since(50) == ConfigPush(50, 50, ())


def test_complete_push_deletes_objects_that_it_lacks(config):
    assert config.apply(ConfigPush(0, 60, (workspace(10),))) == ("k1",)
    assert config.snapshot.find("key", "k1") is None
    assert config.snapshot.revision == 60


def test_older_complete_push_deletes_nothing(config):
    assert config.apply(ConfigPush(0, 45, (workspace(10),))) == ()
    assert config.snapshot.find("key", "k1") is not None


def test_push_after_a_gap_keeps_the_revision(config):
    config.apply(ConfigPush(55, 56, (workspace(56, rate=9),)))
    assert config.snapshot.revision == 50
    assert config.snapshot.find("workspace", "crews").rate_per_s == 9


def test_older_version_changes_nothing(config):
    config.apply(ConfigPush(50, 51, (workspace(9, rate=9),)))
    assert config.snapshot.find("workspace", "crews").rate_per_s == 5


def test_withdrawal_is_returned_once(config):
    push = ConfigPush(50, 51, (key(51, withdrawn=True),))
    assert config.apply(push) == ("k1",)
    assert config.apply(push) == ()


def test_key_that_moves_to_another_workspace_is_returned(config):
    """Queued requests and open transactions of the key went on under its former workspace."""
    assert config.apply(ConfigPush(50, 51, (key(51, workspace="fleet"),))) == ("k1",)
    assert config.apply(ConfigPush(51, 52, (key(52, workspace="fleet"),))) == ()


def test_only_the_store_can_be_empty():
    config = VersionedConfig()
    config.apply(ConfigPush(0, 0, ()))
    assert not config.is_loaded
    config.apply(ConfigPush(0, 0, ()), from_store=True)
    assert config.is_loaded
