"""How configuration changes travel between hosts: pushed at once, pulled by whoever is behind."""

from collections.abc import Callable
from dataclasses import dataclass

from figcrank.coordination._events import PeerFailed
from figcrank.coordination._port import Port
from figcrank.coordination.membership import Membership
from figcrank.protocol import ConfigPull, ConfigPush, PeerReply
from figcrank.protocol.objects import stored_text
from figcrank.state import ConfigObject, Host

MAX_PUSH_BYTES = 1_200
OBJECT_OVERHEAD_BYTES = 100
PULL_TIMEOUT_MS = 400
PUSH_AGAIN_MS = 100
PUSH_TRIES = 3


@dataclass(frozen=True, slots=True)
class _Pushing:
    push: ConfigPush
    tries_left: int
    next_ms: int


class Spread:
    """Sends pushes and pulls and keeps the revisions that peers were heard to have.

    :param port: way out of the core.
    :param membership: the live hosts.
    :param answer: gives the push that answers a pull.
    :param on_push: told of each push pulled: the push and the time.
    """

    def __init__(
        self,
        port: Port,
        membership: Membership,
        answer: Callable[[ConfigPull], ConfigPush],
        on_push: Callable[[ConfigPush, int], None],
    ) -> None:
        self._port = port
        self._membership = membership
        self._answer = answer
        self._on_push = on_push
        self._revisions: dict[str, int] = {}
        self._pushed_ms: dict[str, int] = {}
        self._pulling = False
        self._pushing: _Pushing | None = None

    def revision_of(self, host: str) -> int:
        """Return the newest revision that a host was heard to have, -1 if unknown."""
        return self._revisions.get(host, -1)

    def on_revision(self, host: str, revision: int) -> None:
        """Note the revision that a peer has in force."""
        self._revisions[host] = max(revision, self.revision_of(host))

    def push(self, push: ConfigPush, now_ms: int) -> None:
        """Push to every peer and contact, again to those that don't confirm the revision."""
        for host in self._receivers():
            self._port.gossip(host, fitted(push))
        self._pushing = _Pushing(push, PUSH_TRIES - 1, now_ms + PUSH_AGAIN_MS)

    def push_to(self, name: str, since: int, now_ms: int) -> None:
        """Push what a peer that is behind lacks; not more often than it can confirm it."""
        host = self._membership.host(name)
        if host is None or now_ms - self._pushed_ms.get(name, -PUSH_AGAIN_MS) < PUSH_AGAIN_MS:
            return
        self._pushed_ms[name] = now_ms
        self._port.gossip(host, fitted(self._answer(ConfigPull(since))))

    def pull(self, host: Host, since: int, now_ms: int) -> None:
        """Ask a peer that is ahead for the difference, one request at a time."""
        if self._pulling:
            return
        self._pulling = True
        request = ConfigPull(since)
        self._port.call_peer(host, request, PULL_TIMEOUT_MS, now_ms, self._on_pulled)

    def tick(self, now_ms: int) -> None:
        """Repeat pushes that are due and forget hosts that are gone."""
        pushing = self._pushing
        if pushing is None or now_ms < pushing.next_ms:
            return
        behind = [h for h in self._receivers() if self._lacks(h, pushing.push.revision)]
        for host in behind:
            self._port.gossip(host, fitted(pushing.push))
        left = pushing.tries_left - 1
        again = _Pushing(pushing.push, left, now_ms + PUSH_AGAIN_MS)
        self._pushing = again if behind and left > 0 else None
        self._forget_dead()

    def _lacks(self, host: Host, revision: int) -> bool:
        return self.revision_of(host.name) < revision

    def _receivers(self) -> tuple[Host, ...]:
        return self._membership.peers() + self._membership.contacts()

    def _forget_dead(self) -> None:
        known = {host.name for host in self._receivers()}
        self._revisions = {n: r for n, r in self._revisions.items() if n in known}
        self._pushed_ms = {n: at for n, at in self._pushed_ms.items() if n in known}

    def _on_pulled(self, reply: PeerReply | PeerFailed, now_ms: int) -> None:
        self._pulling = False
        if isinstance(reply, ConfigPush):
            self._on_push(reply, now_ms)


def fitted(push: ConfigPush) -> ConfigPush:
    """Return ``push``, or a bare notice of its revision if it is too large for a datagram."""
    size = sum(_size_bytes(entry) for entry in push.objects)
    if size <= MAX_PUSH_BYTES:
        return push
    return ConfigPush(push.revision, push.revision, ())


def _size_bytes(entry: ConfigObject) -> int:
    text = "" if entry.value is None else stored_text(entry.value)
    return OBJECT_OVERHEAD_BYTES + len(text)
