import pytest

from figcrank.coordination.configuration._ledger import Ledger
from figcrank.protocol import ConfigPush
from figcrank.state import ConfigObject, Key, ObjectId, Workspace


def workspace(version, rate=5):
    return ConfigObject(ObjectId("workspace", "crews"), version, Workspace("crews", rate, 5))


def key(version, withdrawn=False):
    value = Key("k1", "crews", "salt", "0" * 64, withdrawn)
    return ConfigObject(ObjectId("key", "k1"), version, value)


@pytest.fixture
def ledger():
    ledger = Ledger()
    ledger.apply(ConfigPush(0, 50, (workspace(10), key(40))), from_store=True)
    return ledger


def test_pull_from_before_the_first_list_gets_everything(ledger):
    assert ledger.changes_since(45) == ConfigPush(0, 50, (workspace(10), key(40)))
    assert ledger.changes_since(50) == ConfigPush(50, 50, ())


def test_whole_configuration_deletes_what_it_lacks(ledger):
    assert ledger.apply(ConfigPush(0, 60, (workspace(10),))) == ("k1",)
    assert ledger.snapshot.find("key", "k1") is None
    assert ledger.snapshot.revision == 60


def test_older_whole_configuration_deletes_nothing(ledger):
    assert ledger.apply(ConfigPush(0, 45, (workspace(10),))) == ()
    assert ledger.snapshot.find("key", "k1") is not None


def test_gap_keeps_the_revision(ledger):
    ledger.apply(ConfigPush(55, 56, (workspace(56, rate=9),)))
    assert ledger.snapshot.revision == 50
    assert ledger.snapshot.find("workspace", "crews").rate_per_s == 9


def test_older_version_changes_nothing(ledger):
    ledger.apply(ConfigPush(50, 51, (workspace(9, rate=9),)))
    assert ledger.snapshot.find("workspace", "crews").rate_per_s == 5


def test_withdrawal_is_told_once(ledger):
    push = ConfigPush(50, 51, (key(51, withdrawn=True),))
    assert ledger.apply(push) == ("k1",)
    assert ledger.apply(push) == ()


def test_only_the_store_itself_can_be_empty():
    ledger = Ledger()
    ledger.apply(ConfigPush(0, 0, ()))
    assert not ledger.is_loaded
    ledger.apply(ConfigPush(0, 0, ()), from_store=True)
    assert ledger.is_loaded
