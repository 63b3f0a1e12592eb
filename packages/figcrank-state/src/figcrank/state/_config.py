"""Live configuration: versioned objects that are edited while requests are served."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from figcrank.state._profiles import Profile
from figcrank.state._workspaces import Key, Route, Service, Workspace

ConfigValue = Profile | Workspace | Service | Route | Key


@dataclass(frozen=True, slots=True)
class ObjectId:
    """Identity of a configuration object.

    :param kind: ``profile``, ``workspace``, ``service``, ``route`` or ``key``.
    :param name: name that is unique within the kind.
    """

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class ConfigObject:
    """One version of a configuration object.

    :param object_id: identity.
    :param version: store revision at which this version was accepted.
    :param value: the object, or ``None`` once deleted.
    """

    object_id: ObjectId
    version: int
    value: ConfigValue | None


@dataclass(frozen=True, slots=True)
class ConfigSnapshot:
    """The configuration at one revision of the store.

    :param revision: store revision up to which every change is included.
    :param objects: newest known version of each object, deleted ones included.
    """

    revision: int = 0
    objects: dict[ObjectId, ConfigObject] = field(default_factory=dict)

    def find(self, kind: str, name: str) -> ConfigValue | None:
        """Return the value of an object, ``None`` if it is absent or deleted."""
        entry = self.objects.get(ObjectId(kind, name))
        return entry.value if entry else None

    def of_kind(self, kind: str) -> tuple[ConfigValue, ...]:
        """Return the values of every object of ``kind`` that is not deleted."""
        entries = (item for key, item in self.objects.items() if key.kind == kind)
        return tuple(entry.value for entry in entries if entry.value is not None)

    def since(self, revision: int) -> tuple[ConfigObject, ...]:
        """Return the objects changed after ``revision``, oldest first."""
        newer = (entry for entry in self.objects.values() if entry.version > revision)
        return tuple(sorted(newer, key=lambda entry: entry.version))

    def merged(self, revision: int, changes: Iterable[ConfigObject]) -> "ConfigSnapshot":
        """Return a snapshot with ``changes`` applied; no object's version ever decreases."""
        objects = dict(self.objects)
        for change in changes:
            known = objects.get(change.object_id)
            if known is None or known.version < change.version:
                objects[change.object_id] = change
        return ConfigSnapshot(max(self.revision, revision), objects)
