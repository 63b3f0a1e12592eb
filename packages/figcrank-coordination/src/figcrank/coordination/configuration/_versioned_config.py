"""The current snapshot, and the revisions from which this host can send complete changes."""

from figcrank.protocol import ConfigPush
from figcrank.protocol.objects import CONFIG_KINDS
from figcrank.state import ConfigObject, ConfigSnapshot, Key

MAX_REVISION_STEP = 1_000_000_000


class VersionedConfig:
    """Applies changes in any order; neither the revision nor a version ever decreases."""

    def __init__(self) -> None:
        self._snapshot = ConfigSnapshot()
        self._is_loaded = False
        # Deletions up to this revision are unknown, because the first list omits them.
        self._complete_from = 0

    @property
    def snapshot(self) -> ConfigSnapshot:
        """Return the current configuration."""
        return self._snapshot

    @property
    def is_loaded(self) -> bool:
        """Return whether a complete configuration has been applied."""
        return self._is_loaded

    def is_plausible(self, push: ConfigPush) -> bool:
        """Return whether a push may have been sent by a correct host."""
        limit = self._snapshot.revision + MAX_REVISION_STEP
        if not 0 <= push.since <= push.revision <= limit:
            return False
        return all(_is_plausible(entry, limit) for entry in push.objects)

    def changes_since(self, revision: int) -> ConfigPush:
        """Return the changes after ``revision``, or all objects if deletions may be missing."""
        since = revision if self._complete_from <= revision <= self._snapshot.revision else 0
        return ConfigPush(since, self._snapshot.revision, self._snapshot.since(since))

    def apply(self, push: ConfigPush, from_store: bool = False) -> tuple[str, ...]:
        """Apply the objects of ``push``, and its revision unless there is a gap before it.

        :param from_store: whether it comes from the store itself; only the store may send an empty
            configuration at revision 0.
        :returns: ids of the keys that were withdrawn, deleted or given to another workspace.
        """
        before = self._snapshot
        objects = push.objects
        is_full_list = push.since == 0 and (push.revision > before.revision or from_store)
        if is_full_list and push.revision > before.revision:
            objects = objects + self._deleted_by(push)
        leaves_no_gap = push.since <= before.revision and (is_full_list or self._is_loaded)
        revision = push.revision if leaves_no_gap else before.revision
        if leaves_no_gap and not self._is_loaded:
            self._is_loaded = True
            self._complete_from = push.revision
        self._snapshot = before.merged(revision, objects)
        return tuple(o.object_id.name for o in objects if self._is_withdrawal(o, before))

    def _deleted_by(self, push: ConfigPush) -> tuple[ConfigObject, ...]:
        listed = {entry.object_id for entry in push.objects}
        return tuple(
            ConfigObject(entry.object_id, push.revision, None)
            for entry in self._snapshot.objects.values()
            if entry.object_id not in listed and entry.version < push.revision and entry.value
        )

    def _is_withdrawal(self, entry: ConfigObject, before: ConfigSnapshot) -> bool:
        if entry.object_id.kind != "key":
            return False
        old = before.objects.get(entry.object_id)
        if old is None or old.version >= entry.version or not _is_active_key(old):
            return False
        return not _is_active_key(entry) or entry.value.workspace != old.value.workspace


def _is_active_key(entry: ConfigObject) -> bool:
    return isinstance(entry.value, Key) and not entry.value.withdrawn


def _is_plausible(entry: ConfigObject, limit: int) -> bool:
    return entry.object_id.kind in CONFIG_KINDS and 0 < entry.version <= limit
