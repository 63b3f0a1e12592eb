"""The platform's object API without input, output or clock."""

from collections import Counter

from figcrank.protocol import (
    GetObject,
    HostList,
    ListHosts,
    ListObjects,
    ObjectList,
    PlatformCall,
    PlatformFailed,
    PlatformHost,
    PlatformResult,
    PutConflict,
    PutDone,
    PutObject,
    StoredObject,
    WatchObjects,
)

MAX_VALUE_BYTES = 1_000_000


class PlatformModel:
    """A store of versioned objects and a list of hosts.

    :ivar calls: calls received, by name of their kind; a waiting watch counts once.
    """

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self._revision = 0
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._hosts: tuple[PlatformHost, ...] = ()

    @property
    def revision(self) -> int:
        """Return the store's revision, which rises by one with each change."""
        return self._revision

    def call(self, call: PlatformCall) -> PlatformResult:
        """Count and answer a call.

        A watch is answered at once with the changes there are; a driver waits by asking
        :meth:`changes` again. A repeated write is a conflict, even under the same operation id:
        whoever lost the answer reads the operation id from the current object.
        """
        self.calls[type(call).__name__] += 1
        match call:
            case ListObjects():
                return self._list(call)
            case GetObject():
                return self._get(call)
            case PutObject():
                return self._put(call)
            case WatchObjects():
                return self.changes(call)
            case ListHosts():
                return HostList(self._hosts)

    def changes(self, watch: WatchObjects) -> ObjectList:
        """Return what a watch has to tell, without counting a call."""
        return ObjectList(self._revision, self._changed_since(watch.kinds, watch.since))

    def put(self, kind: str, name: str, value: str | None) -> StoredObject:
        """Store an object unconditionally, without counting a call."""
        return self._store(kind, name, value, "")

    def set_hosts(self, hosts: tuple[PlatformHost, ...]) -> None:
        """Replace the list of hosts."""
        self._hosts = hosts

    def _list(self, call: ListObjects) -> ObjectList:
        if call.since > 0:
            return ObjectList(self._revision, self._changed_since(call.kinds, call.since))
        found = self._changed_since(call.kinds, 0)
        live = tuple(stored for stored in found if stored.value is not None)
        return ObjectList(self._revision, live)

    def _get(self, call: GetObject) -> ObjectList:
        stored = self._objects.get((call.kind, call.name))
        return ObjectList(self._revision, (stored,) if stored else ())

    def _put(self, call: PutObject) -> PutDone | PutConflict | PlatformFailed:
        if len((call.value or "").encode()) > MAX_VALUE_BYTES:
            return PlatformFailed(f"the value is longer than {MAX_VALUE_BYTES} bytes")
        current = self._objects.get((call.kind, call.name))
        if call.expected_version != _comparable_version(current, call.expected_version):
            return PutConflict(current)
        return PutDone(self._store(call.kind, call.name, call.value, call.operation_id))

    def _store(self, kind: str, name: str, value: str | None, operation_id: str) -> StoredObject:
        self._revision += 1
        stored = StoredObject(kind, name, self._revision, value, operation_id)
        self._objects[kind, name] = stored
        return stored

    def _changed_since(self, kinds: tuple[str, ...], since: int) -> tuple[StoredObject, ...]:
        found = (stored for stored in self._objects.values() if stored.kind in kinds)
        newer = (stored for stored in found if stored.version > since)
        return tuple(sorted(newer, key=lambda stored: stored.version))


def _comparable_version(current: StoredObject | None, expected: int) -> int:
    """Return the version to compare with; a deleted object also counts as a new one."""
    if current is None:
        return 0
    if current.value is None and expected == 0:
        return 0
    return current.version
