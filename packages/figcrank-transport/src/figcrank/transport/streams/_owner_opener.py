"""Opens a caller's session at an owner, following redirects to the group owner."""

from collections.abc import Sequence
from dataclasses import dataclass

from figcrank.protocol.owners import Owner
from figcrank.protocol.relays import RelayReply, encode_start, relay_reply_decoder
from figcrank.protocol.sessions import SessionStart, StartOptions
from figcrank.state._clock import Clock
from figcrank.transport.streams._connection import OpenError, ServerConnection
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._owner_tracker import OwnerTracker
from figcrank.transport.streams._traffic import MessageKind, TrafficMeter, uncounted

START_TIMEOUT_MS = 1_800  # callers close a session that does not start within 2 s
NO_OWNER_RETRY_MS = 100
MAX_HOPS = 3  # owners whose views differ may redirect to each other


@dataclass(frozen=True, slots=True)
class OpenedSession:
    """A session that an owner has answered.

    :param owner: the owner.
    :param connection: the connection to it.
    :param reply: its reply to the start of the session.
    """

    owner: Owner
    connection: ServerConnection
    reply: RelayReply


class OwnerOpener:
    """Opens the sessions of this host's callers at owners.

    :param availability_zone: availability zone of this host.
    :param owners: chooses owners and watches them.
    :param clock: this host's clock.
    :param metrics: metrics registry.
    :param traffic: counts the bytes of the sessions.
    """

    def __init__(
        self,
        availability_zone: str,
        owners: OwnerTracker,
        clock: Clock,
        metrics: Metrics,
        traffic: TrafficMeter | None = None,
    ) -> None:
        self._zone = availability_zone
        self._owners = owners
        self._clock = clock
        self._metrics = metrics
        self._traffic = traffic or uncounted()

    def open(self, start: SessionStart, deadline_ms: int | None = None) -> OpenedSession | None:
        """Open a session as a relay; return ``None`` if no owner answers in time.

        :param deadline_ms: time until which the caller waits, if it is not waiting for the start.
        """
        start_deadline_ms = self._clock.now_ms() + START_TIMEOUT_MS
        deadline_ms = min(deadline_ms or start_deadline_ms, start_deadline_ms)
        tried: set[tuple[str, int]] = set()
        remembered = self._owners.memory.get(start.database)
        next_owners = [remembered] if remembered and self._is_open(remembered, tried) else []
        hops, redirected, final = 0, False, False
        while self._clock.now_ms() < deadline_ms:
            sent_there = bool(next_owners)
            if next_owners:
                owner = next_owners.pop(0)
            else:
                owner = self._owners.choose(f"{start.key} {start.database}", tried)
            if owner is None:
                tried.clear()
                self._owners.wait(NO_OWNER_RETRY_MS)
                continue
            options = self._options(owner, sent_there, final)
            opened = self._open_at(owner, start, options)
            if opened is None:
                tried.add(owner.address)
                # The other owners may go on to redirect to this one.
                final = final or (redirected and sent_there)
            elif opened.reply.redirect:
                hops, redirected = hops + 1, True
                usable = [o for o in opened.reply.redirect if self._is_open(o, tried)]
                final = hops >= MAX_HOPS or usable[:1] != list(opened.reply.redirect[:1])
                next_owners = usable
            else:
                # The regions of one workspace may lead to an owner that the others don't need.
                accepted = options is not None and not (final or opened.reply.ended)
                if accepted and self._owners.is_nearest(owner):
                    self._owners.memory.remember(start.database, owner)
                return opened
        return None

    def forward(
        self, start: SessionStart, owners: Sequence[Owner], itself: Owner
    ) -> OpenedSession | None:
        """Open a session of an owner's own caller at the group owner.

        :param owners: owners of the session's group in this zone, the group owner first.
        :param itself: this host.
        :returns: ``None`` if this host should run the session itself.
        """
        tried: set[tuple[str, int]] = set()
        for _ in range(MAX_HOPS):
            if not owners or owners[0].address == itself.address:
                return None
            if not self._is_open(owners[0], tried):
                return None
            options = StartOptions(self._zone, from_owner=True)
            opened = self._open_at(owners[0], start, options)
            if opened is None or not opened.reply.redirect:
                return opened
            tried.add(owners[0].address)
            owners = opened.reply.redirect
        return None

    def _options(self, owner: Owner, sent_there: bool, final: bool) -> StartOptions | None:
        """Return the options of a start; only owners that read them redirect to each other."""
        if sent_there or self._owners.reads_options(owner):
            return StartOptions(self._zone, final)
        return None

    def _is_open(self, owner: Owner, tried: set[tuple[str, int]]) -> bool:
        return owner.address not in tried and not self._owners.is_avoided(owner)

    def _open_at(
        self, owner: Owner, start: SessionStart, options: StartOptions | None
    ) -> OpenedSession | None:
        try:
            connection, reply = ServerConnection.open(
                self._owners.session_address(owner),
                relay_reply_decoder(),
                encode_start(start, self._owners.seen_version, options),
                "",
                self._clock,
                traffic=self._traffic.channel(MessageKind.RELAY, owner.availability_zone),
            )
        except OpenError as error:
            self._owners.record_failure(owner, str(error))
            return None
        if reply.redirect:
            connection.close()
            self._metrics.count("starts_redirected", owner=owner.name)
        else:
            self._metrics.count("sessions_relayed", owner=owner.name)
        return OpenedSession(owner, connection, reply)
