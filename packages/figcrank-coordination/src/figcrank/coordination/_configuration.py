"""The live configuration: how it reaches this host and who may edit it."""

from collections.abc import Callable

from figcrank.coordination._membership import Membership
from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.protocol import (
    ConfigPull,
    ConfigPush,
    Digest,
    EditObject,
    Failure,
    FailureKind,
    ListObjects,
    ObjectList,
    OperatorReply,
    PlatformResult,
)
from figcrank.protocol.objects import CONFIG_KINDS, config_object
from figcrank.state import ConfigSnapshot, Key, PresentedKey, RandomSource, Workspace


class Configuration:
    """Holds the configuration in force and spreads changes.

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
        self._snapshot = ConfigSnapshot()
        self._on_withdrawn: list[Callable[[str, int], None]] = []

    @property
    def snapshot(self) -> ConfigSnapshot:
        """Return the configuration in force."""
        return self._snapshot

    def when_withdrawn(self, listener: Callable[[str, int], None]) -> None:
        """Call ``listener`` with key id and time when a key stops working."""
        self._on_withdrawn.append(listener)

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether requests with a key may be served on what is known."""
        return self._snapshot.revision > 0

    def platform_reachable(self) -> bool:
        """Return whether the platform answered the last call of this host."""
        return self._snapshot.revision > 0

    def revision_of(self, host: str) -> int:
        """Return the newest revision that a host was heard to have in force, -1 if unknown."""
        return -1

    def digest(self, now_ms: int) -> Digest:
        """Return what this host knows, to be carried by probes."""
        return Digest(self._snapshot.revision, 0)

    def on_digest(self, host: str, digest: Digest, now_ms: int) -> None:
        """Compare a peer's digest with what is known here; push or pull the difference."""

    def authenticate(self, presented: PresentedKey | None) -> Key | Failure:
        """Return the stored key that ``presented`` matches."""
        refusal = Failure.not_run(FailureKind.BAD_KEY, "The key is missing or does not work.")
        if presented is None:
            return refusal
        key = self._snapshot.find("key", presented.key_id)
        if not isinstance(key, Key) or key.withdrawn or not key.matches(presented.secret):
            return refusal
        return key

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace in force."""
        found = self._snapshot.find("workspace", name)
        return found if isinstance(found, Workspace) else None

    def start(self, now_ms: int) -> None:
        """Fetch the configuration."""
        call = ListObjects(CONFIG_KINDS)
        timeout_ms = self._settings.timings.platform_timeout_ms
        self._port.call_platform(call, timeout_ms, now_ms, self._on_list)

    def tick(self, now_ms: int) -> None:
        """Renew watches, fetches and pushes that are due."""

    def on_gossip(self, sender: str, message: ConfigPush | ConfigPull, now_ms: int) -> None:
        """Take a push or a pull from a peer."""

    def on_pull(self, pull: ConfigPull) -> ConfigPush:
        """Answer a pull that came as a peer request."""
        return ConfigPush(pull.since, self._snapshot.revision, self._snapshot.since(pull.since))

    def edit(
        self, request: EditObject, now_ms: int, on_done: Callable[[OperatorReply, int], None]
    ) -> None:
        """Store an operator's edit and call back once it is accepted, in conflict or refused."""

    def _on_list(self, result: PlatformResult, now_ms: int) -> None:
        if not isinstance(result, ObjectList):
            self.start(now_ms)
            return
        objects = [config_object(stored) for stored in result.objects]
        self._snapshot = self._snapshot.merged(result.revision, objects)
