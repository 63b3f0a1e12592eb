"""Exchange of configuration changes between hosts.

Changes are pushed to all peers at once; a host that is behind pulls what it lacks.
"""

from collections.abc import Callable
from dataclasses import dataclass

from figcrank.coordination._events import PeerFailed
from figcrank.coordination._outbox import Outbox
from figcrank.coordination.membership import Membership
from figcrank.protocol import ConfigPull, ConfigPush, PeerReply
from figcrank.protocol.objects import encode_config_value
from figcrank.state import ConfigObject, Host

MAX_PUSH_BYTES = 1_200
OBJECT_OVERHEAD_BYTES = 100
PULL_TIMEOUT_MS = 400
PUSH_INTERVAL_MS = 100
PUSH_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class _PendingPush:
    push: ConfigPush
    attempts_left: int
    next_ms: int


class PeerSync:
    """Sends pushes and pulls, and tracks the revisions that peers have reported.

    :param outbox: collects the actions of the core.
    :param membership: the hosts of the fleet.
    :param build_push: returns the push that answers a pull.
    :param on_push: called with each push that answers a pull of this host, and the time.
    """

    def __init__(
        self,
        outbox: Outbox,
        membership: Membership,
        build_push: Callable[[ConfigPull], ConfigPush],
        on_push: Callable[[ConfigPush, int], None],
    ) -> None:
        self._outbox = outbox
        self._membership = membership
        self._build_push = build_push
        self._on_push = on_push
        self._revisions: dict[str, int] = {}
        self._pushed_ms: dict[str, int] = {}
        self._pull_in_flight = False
        self._pending_push: _PendingPush | None = None

    def revision_of(self, host: str) -> int:
        """Return the newest revision that a host has reported, -1 if unknown."""
        return self._revisions.get(host, -1)

    def on_revision(self, host: str, revision: int) -> None:
        """Record the revision that a peer reports."""
        self._revisions[host] = max(revision, self.revision_of(host))

    def push(self, push: ConfigPush, now_ms: int) -> None:
        """Push to every peer and contact.

        :meth:`tick` repeats the push to hosts that have not confirmed it, up to
        :data:`PUSH_ATTEMPTS` pushes in total.
        """
        for host in self._receivers():
            self._outbox.gossip(host, fit_to_datagram(push))
        self._pending_push = _PendingPush(push, PUSH_ATTEMPTS - 1, now_ms + PUSH_INTERVAL_MS)

    def push_to(self, name: str, since: int, now_ms: int) -> None:
        """Push the changes that a peer lacks, at most once per :data:`PUSH_INTERVAL_MS`."""
        host = self._membership.host(name)
        if host is None or now_ms - self._pushed_ms.get(name, -PUSH_INTERVAL_MS) < PUSH_INTERVAL_MS:
            return
        self._pushed_ms[name] = now_ms
        self._outbox.gossip(host, fit_to_datagram(self._build_push(ConfigPull(since))))

    def pull(self, host: Host, since: int, now_ms: int) -> None:
        """Request the changes after ``since`` from a peer, one request at a time."""
        if self._pull_in_flight:
            return
        self._pull_in_flight = True
        request = ConfigPull(since)
        self._outbox.call_peer(host, request, PULL_TIMEOUT_MS, now_ms, self._on_pulled)

    def tick(self, now_ms: int) -> None:
        """Repeat the push if it is due, and discard the state of hosts that are gone."""
        pending = self._pending_push
        if pending is None or now_ms < pending.next_ms:
            return
        behind = [h for h in self._receivers() if self._is_behind(h, pending.push.revision)]
        for host in behind:
            self._outbox.gossip(host, fit_to_datagram(pending.push))
        remaining = pending.attempts_left - 1
        next_push = _PendingPush(pending.push, remaining, now_ms + PUSH_INTERVAL_MS)
        self._pending_push = next_push if behind and remaining > 0 else None
        self._discard_gone_hosts()

    def _is_behind(self, host: Host, revision: int) -> bool:
        return self.revision_of(host.name) < revision

    def _receivers(self) -> tuple[Host, ...]:
        return self._membership.peers() + self._membership.contacts()

    def _discard_gone_hosts(self) -> None:
        known = {host.name for host in self._receivers()}
        self._revisions = {n: r for n, r in self._revisions.items() if n in known}
        self._pushed_ms = {n: at for n, at in self._pushed_ms.items() if n in known}

    def _on_pulled(self, reply: PeerReply | PeerFailed, now_ms: int) -> None:
        self._pull_in_flight = False
        if isinstance(reply, ConfigPush):
            self._on_push(reply, now_ms)


def fit_to_datagram(push: ConfigPush) -> ConfigPush:
    """Return ``push``, or a push of its revision alone if it is too large for a datagram."""
    size = sum(_size_bytes(entry) for entry in push.objects)
    if size <= MAX_PUSH_BYTES:
        return push
    return ConfigPush(push.revision, push.revision, ())


def _size_bytes(entry: ConfigObject) -> int:
    text = "" if entry.value is None else encode_config_value(entry.value)
    return OBJECT_OVERHEAD_BYTES + len(text)
