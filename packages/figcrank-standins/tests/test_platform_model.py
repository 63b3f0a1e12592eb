from figcrank.protocol import (
    GetObject,
    HostList,
    ListHosts,
    ListObjects,
    PlatformFailed,
    PlatformHost,
    PutConflict,
    PutDone,
    PutObject,
    WatchObjects,
)
from figcrank.standins import PlatformModel


def put(platform, expected_version, value="{}", operation_id="op-1"):
    return platform.call(PutObject("profile", "fresh", expected_version, value, operation_id))


def test_version_is_the_store_revision():
    platform = PlatformModel()
    platform.put("workspace", "demo", "{}")
    assert put(platform, 0).stored.version == 2


def test_edit_on_an_old_version_conflicts():
    platform = PlatformModel()
    first = put(platform, 0)
    assert isinstance(put(platform, first.stored.version, '{"a":1}', "op-2"), PutDone)
    clash = put(platform, first.stored.version, '{"a":2}', "op-3")
    assert isinstance(clash, PutConflict)
    assert clash.current.value == '{"a":1}'


def test_repeated_edit_conflicts_and_shows_its_operation_id():
    platform = PlatformModel()
    put(platform, 0)
    again = put(platform, 0)
    assert isinstance(again, PutConflict)
    assert again.current.operation_id == "op-1"


def test_deleted_objects_are_listed_as_changes_only():
    platform = PlatformModel()
    put(platform, 0)
    put(platform, 1, None, "op-2")
    assert platform.call(ListObjects(("profile",))).objects == ()
    (tombstone,) = platform.call(ListObjects(("profile",), since=1)).objects
    assert (tombstone.value, tombstone.version) == (None, 2)


def test_deleted_object_is_created_anew():
    platform = PlatformModel()
    put(platform, 0)
    put(platform, 1, None, "op-2")
    assert put(platform, 0, "{}", "op-3").stored.version == 3


def test_watch_tells_changes_of_its_kinds():
    platform = PlatformModel()
    platform.put("key", "k1", "{}")
    put(platform, 0)
    changes = platform.call(WatchObjects(("profile",), 1, 0))
    assert [stored.name for stored in changes.objects] == ["fresh"]
    assert changes.revision == 2


def test_calls_are_counted_by_kind():
    platform = PlatformModel()
    put(platform, 0)
    platform.call(GetObject("profile", "fresh"))
    platform.call(GetObject("profile", "absent"))
    assert platform.calls == {"PutObject": 1, "GetObject": 2}


def test_hosts_are_as_set():
    platform = PlatformModel()
    hosts = (PlatformHost("h1", "sofia-a", "127.0.0.1:1", "127.0.0.1:2", leaving=True),)
    platform.set_hosts(hosts)
    assert platform.call(ListHosts()) == HostList(hosts)


def test_oversized_value_is_not_stored():
    platform = PlatformModel()
    assert isinstance(put(platform, 0, "x" * 1_000_001), PlatformFailed)
    assert platform.revision == 0
