"""The live configuration: how it reaches this host and who may edit it."""

from collections.abc import Callable

from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.configuration._edit_rules import check_edit
from figcrank.coordination.configuration._edits import Editor, OnEdited
from figcrank.coordination.configuration._freshness import Freshness
from figcrank.coordination.configuration._ledger import MAX_REVISION_STEP, Ledger
from figcrank.coordination.configuration._spread import Spread
from figcrank.coordination.configuration._watch import StoreWatch
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
from figcrank.protocol.objects import config_object
from figcrank.state import (
    ConfigObject,
    ConfigSnapshot,
    Host,
    Key,
    PresentedKey,
    RandomSource,
    Workspace,
)

# Age of the last word at which a host asks a watcher, and the time between two questions.
ASK_AGE_MS = 700
ASK_INTERVAL_MS = 100
OUTAGE_ASK_INTERVAL_MS = 400
RETRY_AFTER_MS = 1_000
SEED_PULL_INTERVAL_MS = 200

# Compared with an unknown key, so that it takes as long to refuse as a wrong secret.
_NO_KEY = Key("", "", "0" * 32, "0" * 64)


class Configuration:
    """Holds the configuration in force and spreads changes.

    A few watchers of each cell hear of changes from the platform's store and push them to their
    peers; every probe carries a digest, by which a host that lags behind is pushed or pulls what
    it lacks. Revisions and versions never fall.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param membership: the live hosts.
    :param random: random source for jitter.
    """

    def __init__(
        self, settings: CoreSettings, port: Port, membership: Membership, random: RandomSource
    ) -> None:
        self._settings = settings
        self._port = port
        self._membership = membership
        self._random = random
        self._ledger = Ledger()
        self._platform = PlatformClient(port, membership, random)
        limit_ms = settings.timings.config_freshness_ms
        self._freshness = Freshness(limit_ms, membership, self._platform)
        self._watch = StoreWatch(
            settings,
            self._platform,
            membership,
            self._freshness,
            random,
            self._known_revision,
            self._on_objects,
        )
        self._spread = Spread(port, membership, self.on_pull, self._on_pulled)
        self._editor = Editor(settings, self._platform, random, self._on_stored)
        self._on_withdrawn: list[Callable[[str, int], None]] = []
        self._next_ask_ms = 0
        self._asked = 0
        self._next_seed_ms = 0

    @property
    def snapshot(self) -> ConfigSnapshot:
        """Return the configuration in force."""
        return self._ledger.snapshot

    def when_withdrawn(self, listener: Callable[[str, int], None]) -> None:
        """Call ``listener`` with key id and time when a key stops working."""
        self._on_withdrawn.append(listener)

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether requests with a key may be served on what is known."""
        if not self._ledger.is_loaded:
            return False
        return self._freshness.is_fresh(self.snapshot.revision, now_ms)

    def platform_reachable(self) -> bool:
        """Return whether the platform answered the last call of this host."""
        return self._platform.is_reachable

    def revision_of(self, host: str) -> int:
        """Return the newest revision that a host was heard to have in force, -1 if unknown."""
        if host == self._settings.host.name:
            return self.snapshot.revision
        return self._spread.revision_of(host)

    def watchers(self) -> tuple[Host, ...]:
        """Return the hosts that watch the platform's store for this cell."""
        return self._watch.watchers()

    def digest(self, now_ms: int) -> Digest:
        """Return what this host knows, to be carried by probes."""
        age_ms = self._freshness.age_ms(now_ms)
        return Digest(self.snapshot.revision, age_ms, self._platform.has_failed)

    def on_digest(self, host: str, digest: Digest, now_ms: int) -> None:
        """Compare a peer's digest with what is known here; push or pull the difference.

        :param digest: its age counts from the sending of this host's probe, or is
            ``UNKNOWN_AGE_MS`` or more if no probe of this host asked for it.
        """
        own = self.snapshot.revision
        if not 0 <= digest.config_revision <= own + MAX_REVISION_STEP:
            return
        self._spread.on_revision(host, digest.config_revision)
        self._freshness.on_digest(host, digest, own, now_ms)
        if digest.config_revision > own or self._lacks_first(digest):
            self._pull_from(host, now_ms)
        elif digest.config_revision < own:
            self._spread.push_to(host, digest.config_revision, now_ms)

    def authenticate(self, presented: PresentedKey | None) -> Key | Failure:
        """Return the stored key that ``presented`` matches."""
        refusal = Failure.not_run(FailureKind.BAD_KEY, "The key is missing or does not work.")
        if presented is None:
            return refusal
        found = self.snapshot.find("key", presented.key_id)
        key = found if isinstance(found, Key) else _NO_KEY
        matches = key.matches(presented.secret)
        if not matches or key is _NO_KEY or key.withdrawn:
            return refusal
        return key

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace in force."""
        found = self.snapshot.find("workspace", name)
        return found if isinstance(found, Workspace) else None

    def start(self, now_ms: int) -> None:
        """Fetch the configuration."""
        self._watch.read_now(now_ms)

    def tick(self, now_ms: int) -> None:
        """Renew watches, fetches and pushes that are due."""
        self._watch.tick(now_ms)
        self._spread.tick(now_ms)
        self._editor.tick(now_ms)
        if not self._ledger.is_loaded:
            self._pull_from_seed(now_ms)
        self._ask_if_stale(now_ms)

    def on_gossip(self, sender: str, message: ConfigPush | ConfigPull, now_ms: int) -> None:
        """Take a push or a pull from a peer."""
        if isinstance(message, ConfigPull):
            self._spread.push_to(sender, message.since, now_ms)
            return
        own = self.snapshot.revision
        if not self._ledger.is_plausible(message):
            return
        self._spread.on_revision(sender, message.revision)
        self._take(message, now_ms)
        if self.snapshot.revision < message.revision:
            self._pull_from(sender, now_ms)
        if self.snapshot.revision > own:
            self._on_pushed(sender, own, now_ms)

    def on_pull(self, pull: ConfigPull) -> ConfigPush:
        """Answer a pull that came as a peer request."""
        return self._ledger.changes_since(pull.since)

    def edit(self, request: EditObject, now_ms: int, on_done: OnEdited) -> None:
        """Store an operator's edit and call back once it is accepted, in conflict or refused."""
        refusal = check_edit(request, self.snapshot, self._settings.groups)
        if refusal is None and not self._membership.hears_majority(now_ms):
            message = "This host does not hear most of the hosts; send the edit to another one."
            refusal = Failure.not_run(FailureKind.STALE_CONFIG, message, RETRY_AFTER_MS)
        if refusal is not None:
            on_done(OperatorFailure(refusal), now_ms)
            return
        self._editor.submit(request, now_ms, on_done)

    # News

    def _known_revision(self) -> int | None:
        return self.snapshot.revision if self._ledger.is_loaded else None

    def _on_objects(self, result: ObjectList, since: int, confirmed_ms: int, now_ms: int) -> None:
        own = self.snapshot.revision
        objects = self._decoded(result.objects, now_ms)
        # A bare answer proves freshness but is no reason to move every host's revision.
        revision = result.revision if objects or not self._ledger.is_loaded else own
        push = ConfigPush(since, max(revision, since), objects)
        self._take(push, now_ms, from_store=True)
        self._freshness.on_confirmed(self.snapshot.revision, confirmed_ms, self.snapshot.revision)
        if self.snapshot.revision > own:
            self._push_since(own, now_ms)

    def _on_pulled(self, push: ConfigPush, now_ms: int) -> None:
        if self._ledger.is_plausible(push):
            self._take(push, now_ms)

    def _on_stored(self, request: EditObject, stored: StoredObject, now_ms: int) -> None:
        own = self.snapshot.revision
        subject = f"{request.kind}/{request.name}"
        reason = "The edit was deleted." if request.value is None else "The edit was stored."
        self._port.decide(
            now_ms, "edit", subject, reason, operator=request.operator, version=stored.version
        )
        objects = self._decoded((stored,), now_ms)
        # Only if no other change came in between is the revision reached with this object.
        revision = stored.version if stored.version == own + 1 else own
        self._take(ConfigPush(own, max(own, revision), objects), now_ms)
        self._spread.push(ConfigPush(own, self.snapshot.revision, objects), now_ms)
        if self.snapshot.revision < stored.version:
            self._watch.read_now(now_ms)

    def _decoded(self, stored: tuple[StoredObject, ...], now_ms: int) -> tuple[ConfigObject, ...]:
        objects = []
        for entry in stored:
            try:
                objects.append(config_object(entry))
            except MessageError as error:
                subject = f"{entry.kind}/{entry.name}"
                self._port.decide(now_ms, "bad_object", subject, str(error), version=entry.version)
        return tuple(objects)

    def _take(self, push: ConfigPush, now_ms: int, from_store: bool = False) -> None:
        withdrawn = self._ledger.apply(push, from_store)
        self._freshness.on_revision(self.snapshot.revision)
        for key_id in withdrawn:
            for listener in self._on_withdrawn:
                listener(key_id, now_ms)

    # Peers

    def _push_since(self, since: int, now_ms: int) -> None:
        self._spread.push(self._ledger.changes_since(since), now_ms)

    def _on_pushed(self, sender: str, since: int, now_ms: int) -> None:
        host = self._membership.host(sender)
        if host is None:
            return
        # The probe's digest confirms the revision.
        self._membership.ask(host, now_ms)
        if host.cell != self._settings.host.cell:
            self._push_since(since, now_ms)

    def _lacks_first(self, digest: Digest) -> bool:
        return not self._ledger.is_loaded and digest.config_revision > 0

    def _pull_from(self, name: str, now_ms: int) -> None:
        host = self._membership.host(name)
        if host is not None:
            self._spread.pull(host, self.snapshot.revision, now_ms)

    def _pull_from_seed(self, now_ms: int) -> None:
        if now_ms < self._next_seed_ms:
            return
        self._next_seed_ms = now_ms + SEED_PULL_INTERVAL_MS
        peers = self._membership.peers()
        if peers:
            chosen = peers[int(self._random.random() * len(peers))]
            self._spread.pull(chosen, 0, now_ms)

    def _ask_if_stale(self, now_ms: int) -> None:
        if now_ms < self._next_ask_ms or self._freshness.age_ms(now_ms) < ASK_AGE_MS:
            return
        self._freshness.forget_old_witnesses(now_ms)
        is_shown = self._freshness.shows_outage(self.snapshot.revision, now_ms)
        interval_ms = OUTAGE_ASK_INTERVAL_MS if is_shown else ASK_INTERVAL_MS
        self._next_ask_ms = now_ms + interval_ms
        mine = self._settings.host.name
        watchers = [host for host in self.watchers() if host.name != mine]
        asked = watchers + list(self._membership.contacts())
        if asked:
            self._asked += 1
            self._membership.ask(asked[self._asked % len(asked)], now_ms)
