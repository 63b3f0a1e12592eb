"""Calls to the platform's object API and their results.

:class:`StoredObject` values are JSON documents, encoded as text. The API counts calls; a watch
counts as one call, however long it waits.
"""

import msgspec


class StoredObject(msgspec.Struct, frozen=True):
    """An object in the platform's store.

    :param kind: collection, such as ``profile`` or ``lease``.
    :param name: name within the collection.
    :param version: store revision of the last change; versions only increase.
    :param value: JSON text, ``None`` once deleted.
    :param operation_id: id of the edit that created this version.
    """

    kind: str
    name: str
    version: int
    value: str | None
    operation_id: str = ""


class ListObjects(msgspec.Struct, frozen=True, tag=True):
    """Read every object of the given kinds.

    :param kinds: kinds to read.
    :param since: if positive, return only objects changed after this revision, including deleted
        ones.
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
    :param operation_id: id that later shows whether this edit took effect.
    """

    kind: str
    name: str
    expected_version: int
    value: str | None
    operation_id: str


class WatchObjects(msgspec.Struct, frozen=True, tag=True):
    """Wait until an object of the given kinds changes after revision ``since``.

    :param wait_ms: maximum wait, in milliseconds; the result is an empty list on expiry.
    """

    kinds: tuple[str, ...]
    since: int
    wait_ms: int


class ListHosts(msgspec.Struct, frozen=True, tag=True):
    """Read the platform's list of live and leaving hosts, which may be out of date."""


PlatformCall = ListObjects | GetObject | PutObject | WatchObjects | ListHosts


class ObjectList(msgspec.Struct, frozen=True, tag=True):
    """The objects found.

    :param revision: store revision at which the list is complete.
    """

    revision: int
    objects: tuple[StoredObject, ...]


class PutDone(msgspec.Struct, frozen=True, tag=True):
    """The write took effect."""

    stored: StoredObject


class PutConflict(msgspec.Struct, frozen=True, tag=True):
    """A concurrent edit came first; ``current`` is the stored object, ``None`` if there is none."""

    current: StoredObject | None


class PlatformHost(msgspec.Struct, frozen=True):
    """One entry of the platform's host list."""

    name: str
    availability_zone: str
    gossip_address: str
    peer_address: str
    leaving: bool = False


class HostList(msgspec.Struct, frozen=True, tag=True):
    """The platform's list of hosts, which may be out of date."""

    hosts: tuple[PlatformHost, ...]


class PlatformFailed(msgspec.Struct, frozen=True, tag=True):
    """The call got no reply; a write may still have taken effect.

    :param reason: description of the failure.
    """

    reason: str


PlatformResult = ObjectList | PutDone | PutConflict | HostList | PlatformFailed
