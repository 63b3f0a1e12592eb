"""The live configuration of this host: updates, key authentication and edits."""

from collections.abc import Callable

from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.configuration._edit_rules import check_edit
from figcrank.coordination.configuration._edits import Editor, OnEdited
from figcrank.coordination.configuration._freshness import Freshness
from figcrank.coordination.configuration._peer_sync import PeerSync
from figcrank.coordination.configuration._store_watcher import StoreWatcher
from figcrank.coordination.configuration._versioned_config import MAX_REVISION_STEP, VersionedConfig
from figcrank.coordination.membership import Membership
from figcrank.coordination.store import PlatformClient
from figcrank.protocol import (
    ConfigPull,
    ConfigPush,
    Digest,
    EditObject,
    Failure,
    FailureKind,
    MessageError,
    ObjectList,
    OperatorFailure,
    StoredObject,
)
from figcrank.protocol.objects import decode_config_object
from figcrank.state import (
    ConfigObject,
    ConfigSnapshot,
    Host,
    Key,
    PresentedKey,
    RandomSource,
    Workspace,
)

# Age of the last confirmation at which a host starts to probe for a newer one, and the interval
# between these probes.
STALE_PROBE_AGE_MS = 700
STALE_PROBE_INTERVAL_MS = 100
OUTAGE_PROBE_INTERVAL_MS = 400
RETRY_AFTER_MS = 1_000
FIRST_PULL_INTERVAL_MS = 200

# Compared in place of an unknown key, so that refusing it takes as long as refusing a wrong secret.
_DUMMY_KEY = Key("", "", "0" * 32, "0" * 64)


class Configuration:
    """Holds the current configuration and distributes changes.

    A few watchers in each cell receive changes from the platform's store and push them to their
    peers. Every probe carries a digest, so that a host that is behind receives or pulls the
    changes it lacks. Revisions and versions never decrease.

    :param settings: static settings of this host.
    :param outbox: collects the actions of the core.
    :param membership: the hosts of the fleet.
    :param random: random source for jitter.
    """

    def __init__(
        self, settings: CoreSettings, outbox: Outbox, membership: Membership, random: RandomSource
    ) -> None:
        self._settings = settings
        self._outbox = outbox
        self._membership = membership
        self._random = random
        self._config = VersionedConfig()
        self._platform = PlatformClient(outbox, membership, random)
        limit_ms = settings.timings.config_freshness_ms
        self._freshness = Freshness(limit_ms, membership, self._platform)
        self._store_watcher = StoreWatcher(
            settings,
            self._platform,
            membership,
            self._freshness,
            random,
            self._known_revision,
            self._on_objects,
        )
        self._peer_sync = PeerSync(outbox, membership, self.on_pull, self._on_pulled)
        self._editor = Editor(settings, self._platform, random, self._on_stored)
        self._on_key_withdrawn: list[Callable[[str, int], None]] = []
        self._next_probe_ms = 0
        self._probe_count = 0
        self._next_pull_ms = 0

    @property
    def snapshot(self) -> ConfigSnapshot:
        """Return the current configuration."""
        return self._config.snapshot

    def add_withdrawal_listener(self, listener: Callable[[str, int], None]) -> None:
        """Call ``listener`` with the key id and the time when a key is withdrawn or deleted."""
        self._on_key_withdrawn.append(listener)

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether the configuration is fresh enough to serve requests with a key."""
        if not self._config.is_loaded:
            return False
        return self._freshness.is_fresh(self.snapshot.revision, now_ms)

    def platform_reachable(self) -> bool:
        """Return whether the platform responded to this host's last call."""
        return self._platform.is_reachable

    def revision_of(self, host: str) -> int:
        """Return the newest revision that a host has reported, -1 if unknown."""
        if host == self._settings.host.name:
            return self.snapshot.revision
        return self._peer_sync.revision_of(host)

    def watchers(self) -> tuple[Host, ...]:
        """Return the hosts that watch the platform's store for this cell."""
        return self._store_watcher.watchers()

    def digest(self, now_ms: int) -> Digest:
        """Return the digest of this host's configuration that probes carry."""
        age_ms = self._freshness.age_ms(now_ms)
        return Digest(self.snapshot.revision, age_ms, self._platform.has_failed)

    def on_digest(self, host: str, digest: Digest, now_ms: int) -> None:
        """Compare a peer's digest with this host's configuration; push or pull the difference.

        :param digest: the peer's digest. Its age is relative to the time at which this host sent
            its probe, and is ``UNKNOWN_AGE_MS`` or more if it does not answer such a probe.
        """
        own = self.snapshot.revision
        if not 0 <= digest.config_revision <= own + MAX_REVISION_STEP:
            return
        self._peer_sync.on_revision(host, digest.config_revision)
        self._freshness.on_digest(host, digest, own, now_ms)
        if digest.config_revision > own or self._needs_first_config(digest):
            self._pull_from(host, now_ms)
        elif digest.config_revision < own:
            self._peer_sync.push_to(host, digest.config_revision, now_ms)

    def authenticate(self, presented: PresentedKey | None) -> Key | Failure:
        """Return the stored key that ``presented`` matches, or the reason for refusing it."""
        refusal = Failure.not_run(FailureKind.BAD_KEY, "The key is missing or does not work.")
        if presented is None:
            return refusal
        found = self.snapshot.find("key", presented.key_id)
        key = found if isinstance(found, Key) else _DUMMY_KEY
        matches = key.matches(presented.secret)
        if not matches or key is _DUMMY_KEY or key.withdrawn:
            return refusal
        return key

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace, ``None`` if it does not exist."""
        found = self.snapshot.find("workspace", name)
        return found if isinstance(found, Workspace) else None

    def start(self, now_ms: int) -> None:
        """Read the configuration from the store."""
        self._store_watcher.read_now(now_ms)

    def tick(self, now_ms: int) -> None:
        """Start the watches, reads, pulls and pushes that are due."""
        self._store_watcher.tick(now_ms)
        self._peer_sync.tick(now_ms)
        self._editor.tick(now_ms)
        if not self._config.is_loaded:
            self._pull_first_config(now_ms)
        self._probe_if_stale(now_ms)

    def on_gossip(self, sender: str, message: ConfigPush | ConfigPull, now_ms: int) -> None:
        """Process a push or a pull from a peer."""
        if isinstance(message, ConfigPull):
            self._peer_sync.push_to(sender, message.since, now_ms)
            return
        own = self.snapshot.revision
        if not self._config.is_plausible(message):
            return
        self._peer_sync.on_revision(sender, message.revision)
        self._apply(message, now_ms)
        if self.snapshot.revision < message.revision:
            self._pull_from(sender, now_ms)
        if self.snapshot.revision > own:
            self._on_pushed(sender, own, now_ms)

    def on_pull(self, pull: ConfigPull) -> ConfigPush:
        """Return the response to a pull that arrived as a peer request."""
        return self._config.changes_since(pull.since)

    def edit(self, request: EditObject, now_ms: int, on_done: OnEdited) -> None:
        """Validate and store an operator's edit.

        :param on_done: called once with the reply and the time when the edit is stored, conflicts
            with another one or fails.
        """
        refusal = check_edit(request, self.snapshot, self._settings.groups)
        if refusal is None and not self._membership.reaches_majority(now_ms):
            message = "This host cannot reach most of the hosts; send the edit to another host."
            refusal = Failure.not_run(FailureKind.STALE_CONFIG, message, RETRY_AFTER_MS)
        if refusal is not None:
            on_done(OperatorFailure(refusal), now_ms)
            return
        self._editor.submit(request, now_ms, on_done)

    # Changes from the store, from peers and from edits

    def _known_revision(self) -> int | None:
        return self.snapshot.revision if self._config.is_loaded else None

    def _on_objects(self, result: ObjectList, since: int, confirmed_ms: int, now_ms: int) -> None:
        own = self.snapshot.revision
        objects = self._decoded(result.objects, now_ms)
        # An empty result confirms freshness, but is no reason to advance every host's revision.
        revision = result.revision if objects or not self._config.is_loaded else own
        push = ConfigPush(since, max(revision, since), objects)
        self._apply(push, now_ms, from_store=True)
        self._freshness.on_confirmed(self.snapshot.revision, confirmed_ms, self.snapshot.revision)
        if self.snapshot.revision > own:
            self._push_since(own, now_ms)

    def _on_pulled(self, push: ConfigPush, now_ms: int) -> None:
        if self._config.is_plausible(push):
            self._apply(push, now_ms)

    def _on_stored(self, request: EditObject, stored: StoredObject, now_ms: int) -> None:
        own = self.snapshot.revision
        subject = f"{request.kind}/{request.name}"
        reason = "The deletion was stored." if request.value is None else "The edit was stored."
        self._outbox.record_decision(
            now_ms, "edit", subject, reason, operator=request.operator, version=stored.version
        )
        objects = self._decoded((stored,), now_ms)
        # This object completes the revision only if no other change was stored in between.
        revision = stored.version if stored.version == own + 1 else own
        self._apply(ConfigPush(own, max(own, revision), objects), now_ms)
        self._peer_sync.push(ConfigPush(own, self.snapshot.revision, objects), now_ms)
        if self.snapshot.revision < stored.version:
            self._store_watcher.read_now(now_ms)

    def _decoded(self, stored: tuple[StoredObject, ...], now_ms: int) -> tuple[ConfigObject, ...]:
        objects = []
        for entry in stored:
            try:
                objects.append(decode_config_object(entry))
            except MessageError as error:
                subject = f"{entry.kind}/{entry.name}"
                self._outbox.record_decision(
                    now_ms, "bad_object", subject, str(error), version=entry.version
                )
        return tuple(objects)

    def _apply(self, push: ConfigPush, now_ms: int, from_store: bool = False) -> None:
        withdrawn = self._config.apply(push, from_store)
        self._freshness.on_revision(self.snapshot.revision)
        for key_id in withdrawn:
            for listener in self._on_key_withdrawn:
                listener(key_id, now_ms)

    # Pushes, pulls and probes

    def _push_since(self, since: int, now_ms: int) -> None:
        self._peer_sync.push(self._config.changes_since(since), now_ms)

    def _on_pushed(self, sender: str, since: int, now_ms: int) -> None:
        host = self._membership.host(sender)
        if host is None:
            return
        # The sender's digest in the probe response confirms the revision.
        self._membership.request_digest(host, now_ms)
        if host.cell != self._settings.host.cell:
            self._push_since(since, now_ms)

    def _needs_first_config(self, digest: Digest) -> bool:
        return not self._config.is_loaded and digest.config_revision > 0

    def _pull_from(self, name: str, now_ms: int) -> None:
        host = self._membership.host(name)
        if host is not None:
            self._peer_sync.pull(host, self.snapshot.revision, now_ms)

    def _pull_first_config(self, now_ms: int) -> None:
        if now_ms < self._next_pull_ms:
            return
        self._next_pull_ms = now_ms + FIRST_PULL_INTERVAL_MS
        peers = self._membership.peers()
        if peers:
            chosen = peers[int(self._random.random() * len(peers))]
            self._peer_sync.pull(chosen, 0, now_ms)

    def _probe_if_stale(self, now_ms: int) -> None:
        if now_ms < self._next_probe_ms or self._freshness.age_ms(now_ms) < STALE_PROBE_AGE_MS:
            return
        self._freshness.discard_old_reports(now_ms)
        is_outage = self._freshness.is_general_outage(self.snapshot.revision, now_ms)
        interval_ms = OUTAGE_PROBE_INTERVAL_MS if is_outage else STALE_PROBE_INTERVAL_MS
        self._next_probe_ms = now_ms + interval_ms
        own_name = self._settings.host.name
        watchers = [host for host in self.watchers() if host.name != own_name]
        targets = watchers + list(self._membership.contacts())
        if targets:
            self._probe_count += 1
            self._membership.request_digest(targets[self._probe_count % len(targets)], now_ms)
