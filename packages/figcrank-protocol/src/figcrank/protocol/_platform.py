"""Calls to the platform's object API and their results.

:class:`StoredObject` values are JSON texts; the API counts every call, a waiting watch as one.
"""

import msgspec


class StoredObject(msgspec.Struct, frozen=True):
    """An object in the platform's store.

    :param kind: collection, such as ``profile`` or ``lease``.
    :param name: name within the collection.
    :param version: store revision of the last change; versions only rise.
    :param value: JSON text, ``None`` once deleted.
    :param operation_id: id of the edit that made this version.
    """

    kind: str
    name: str
    version: int
    value: str | None
    operation_id: str = ""


class ListObjects(msgspec.Struct, frozen=True, tag=True):
    """Read every object of some kinds.

    :param kinds: the kinds wanted.
    :param since: if positive, only objects changed after this revision, deleted ones included.
    """

    kinds: tuple[str, ...]
    since: int = 0


class GetObject(msgspec.Struct, frozen=True, tag=True):
    """Read one object."""

    kind: str
    name: str


class PutObject(msgspec.Struct, frozen=True, tag=True):
    """Write one object if its version is still ``expected_version``.

    :param expected_version: version that the edit is based on; 0 for a new object.
    :param value: JSON text, ``None`` to delete.
    :param operation_id: id that tells later whether this very edit took effect.
    """

    kind: str
    name: str
    expected_version: int
    value: str | None
    operation_id: str


class WatchObjects(msgspec.Struct, frozen=True, tag=True):
    """Wait until an object of some kinds changes after ``since``.

    :param wait_ms: longest wait, in milliseconds; an empty list is the answer then.
    """

    kinds: tuple[str, ...]
    since: int
    wait_ms: int


class ListHosts(msgspec.Struct, frozen=True, tag=True):
    """Read the platform's lagging list of live and leaving hosts."""


PlatformCall = ListObjects | GetObject | PutObject | WatchObjects | ListHosts


class ObjectList(msgspec.Struct, frozen=True, tag=True):
    """Objects found.

    :param revision: store revision at which the list is complete.
    """

    revision: int
    objects: tuple[StoredObject, ...]


class PutDone(msgspec.Struct, frozen=True, tag=True):
    """The write took effect."""

    stored: StoredObject


class PutConflict(msgspec.Struct, frozen=True, tag=True):
    """Another edit came first; ``current`` is what stands, ``None`` if absent."""

    current: StoredObject | None


class PlatformHost(msgspec.Struct, frozen=True):
    """One entry of the platform's host list."""

    name: str
    availability_zone: str
    gossip_address: str
    peer_address: str
    leaving: bool = False


class HostList(msgspec.Struct, frozen=True, tag=True):
    """The platform's view of the hosts, some time ago."""

    hosts: tuple[PlatformHost, ...]


class PlatformFailed(msgspec.Struct, frozen=True, tag=True):
    """No answer; a write may still have taken effect.

    :param reason: what went wrong.
    """

    reason: str


PlatformResult = ObjectList | PutDone | PutConflict | HostList | PlatformFailed
