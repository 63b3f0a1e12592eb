"""Failure detection by probes and gossip."""

from collections.abc import Callable, Iterable

import msgspec

from figcrank.coordination._outbox import Outbox
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.membership._candidates import Candidates
from figcrank.coordination.membership._member_table import (
    Member,
    MemberTable,
    can_refer_to,
    host_of,
    is_well_formed,
)
from figcrank.coordination.membership._probes import (
    Probe,
    ProbeList,
    ProbePurpose,
    ProbeRotation,
    shuffled,
)
from figcrank.coordination.membership._quorum import Quorum
from figcrank.protocol import Ack, Digest, MemberUpdate, Ping, PingRequest, PlatformHost
from figcrank.state import Host, HostState, RandomSource

MembershipMessage = Ping | Ack | PingRequest

MAX_PLATFORM_CANDIDATES = 8
MAX_JOIN_UPDATES = 64
INDIRECT_PROBES = 3
# A longer time between two ticks means that this host itself was paused.
TICK_GAP_PAUSE_MS = 150
SUSPECT_PROBE_INTERVAL_MS = 100
# At every n-th probe of a member, a contact or a dead host is probed too, and an unknown seed.
EXTRA_PROBE_PERIOD = 5
# Added to the age of a digest that was in transit for an unknown time.
UNKNOWN_AGE_MS = 2**31


class Membership:
    """Maintains the list of live hosts by probing the peers of the cell.

    A host that only gossip or the platform has reported becomes a member once it answers a probe,
    so that neither the platform's list nor a replayed or foreign message can add a member. A few
    hosts of other cells are kept as contacts; they are probed rarely and are never assigned work.

    :param settings: static settings of this host.
    :param outbox: queue of outgoing actions.
    :param random: random source for the choice of peers.
    :param digest: returns the digest to send at a given time in milliseconds.
    :param on_digest: called with host name, digest and time for each digest received. The age in
        the digest is increased by the time since this host sent the probe, or by
        :data:`UNKNOWN_AGE_MS` if the digest does not answer a probe of this host.
    """

    def __init__(
        self,
        settings: CoreSettings,
        outbox: Outbox,
        random: RandomSource,
        digest: Callable[[int], Digest],
        on_digest: Callable[[str, Digest, int], None],
    ) -> None:
        self._settings = settings
        self._timings = settings.timings
        self._own_host = settings.host
        self._outbox = outbox
        self._random = random
        self._digest = digest
        self._on_digest = on_digest
        self._table = MemberTable(settings.host, settings.timings.suspicion_ms)
        self._probes = ProbeList(random)
        self._rotation = ProbeRotation(random)
        self._extra_rotation = ProbeRotation(random)
        self._candidates = Candidates(settings.timings.probe_interval_ms)
        # Members that have acknowledged a probe and therefore have this host's address.
        self._address_known_by: set[str] = set()
        self._next_probe_ms = 0
        self._next_suspect_probe_ms = 0
        self._probe_count = 0
        expects_other_cells = any(seed.cell != settings.host.cell for seed in settings.seeds)
        self._quorum = Quorum(
            settings.host, settings.timings.config_freshness_ms, expects_other_cells
        )
        self._last_tick_ms: int | None = None
        for seed in settings.seeds:
            self._table.add(Member(seed, HostState.ALIVE, 0, 0), is_gossiped=False)

    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts that may be assigned work, including this host, sorted by name."""
        return self._table.views().assignable_hosts

    def host(self, name: str) -> Host | None:
        """Return a known host that is not dead, even if it may not be assigned work."""
        member = self._table.get(name)
        return None if member is None or member.is_dead else member.host

    def state(self, name: str) -> HostState:
        """Return the state of a host in this host's view; unknown hosts count as dead."""
        member = self._table.get(name)
        return HostState.DEAD if member is None else member.state

    def incarnation(self, name: str) -> int:
        """Return the newest incarnation received of a host, 0 if none."""
        member = self._table.get(name)
        return 0 if member is None else member.incarnation

    def peers(self) -> tuple[Host, ...]:
        """Return the other hosts of the cell that are not dead, including leaving ones."""
        return self._table.views().peers

    def contacts(self) -> tuple[Host, ...]:
        """Return the known hosts of other cells."""
        return self._table.views().contacts

    def reaches_majority(self, now_ms: int) -> bool:
        """Return whether this host reaches a majority of the cell's hosts, itself included.

        Hosts that left do not count.
        """
        return self._quorum.reaches_majority(self._table.views(), now_ms)

    def start(self, now_ms: int) -> None:
        """Start probing."""
        self._last_tick_ms = now_ms
        self._next_probe_ms = now_ms
        for peer in self._alive_peers():
            self._probe(peer, ProbePurpose.CANDIDATE, now_ms)

    def tick(self, now_ms: int) -> None:
        """Send the probes that are due and process those that failed."""
        self._allow_for_pause(now_ms)
        for probe in self._probes.take_due_for_indirect(self._timings.probe_timeout_ms, now_ms):
            self._probe_indirectly(probe, now_ms)
        for probe in self._probes.take_failed(self._timings.probe_interval_ms, now_ms):
            self._on_unanswered(probe, now_ms)
        for member in self._table.expire(now_ms):
            self._on_dead(member, "The host did not refute the suspicion in time.", now_ms)
        self._probe_candidates(now_ms)
        self._probe_suspects(now_ms)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + self._timings.probe_interval_ms
            self._probe_next(now_ms)

    def request_digest(self, host: Host, now_ms: int) -> None:
        """Request the digest of ``host``; a missing answer does not affect its membership."""
        self._probe(host, ProbePurpose.QUERY, now_ms)

    def on_gossip(self, sender: str, message: MembershipMessage, now_ms: int) -> None:
        """Process a membership message."""
        if sender == self._own_host.name:
            return
        probe = self._probes.find(message.seq) if isinstance(message, Ack) else None
        updates = [update for update in message.updates if is_well_formed(update)]
        if probe is not None:
            self._on_ack(sender, probe, message, updates, now_ms)
        for update in updates:
            self._on_update(update, now_ms)
        if isinstance(message, Ping):
            self._on_ping(sender, message, updates, now_ms)
        elif isinstance(message, PingRequest):
            self._on_ping_request(sender, message, now_ms)

    def on_platform_hosts(self, hosts: tuple[PlatformHost, ...], now_ms: int) -> None:
        """Probe some unknown hosts of the platform's host list, which may be outdated."""
        unknown = {h.name: h for h in hosts if not h.leaving and self._table.get(h.name) is None}
        chosen = shuffled(unknown, self._random)[:MAX_PLATFORM_CANDIDATES]
        for name in chosen:
            listed_host = unknown[name]
            self._add_candidate(
                Host(
                    name,
                    listed_host.availability_zone,
                    listed_host.gossip_address,
                    listed_host.peer_address,
                )
            )

    def leave(self, now_ms: int) -> None:
        """Announce to the peers that this host accepts no new work."""
        own_member = self._table.get(self._own_host.name)
        if own_member is None or own_member.state is HostState.LEAVING:
            return
        self._table.announce(
            self._own_host.name, HostState.LEAVING, own_member.incarnation + 1, now_ms
        )
        for peer in self.peers():
            self._probe(peer, ProbePurpose.QUERY, now_ms)

    def _on_ping(self, sender: str, ping: Ping, updates: list[MemberUpdate], now_ms: int) -> None:
        known = self._table.get(sender)
        sender_update = next((u for u in updates if u.host == sender), None)
        if known is not None:
            self._pass_on_digest(sender, ping.digest, UNKNOWN_AGE_MS, now_ms)
        host = known.host if known is not None else sender_update and host_of(sender_update)
        if not host:
            return
        if known is None:
            self._probe_peers_at_address(host, now_ms)
        first = [sender] if known is not None and known.state is not HostState.ALIVE else []
        extra: tuple[MemberUpdate, ...] = ()
        if sender_update is not None:
            first.append(self._own_host.name)
            extra = self._join_updates() if known is None else ()
        answer = Ack(
            ping.seq,
            self._own_host.name,
            self._digest(now_ms),
            self._table.take_updates(first) + extra,
        )
        self._outbox.gossip(host, answer)

    def _probe_peers_at_address(self, new_host: Host, now_ms: int) -> None:
        # A new host at the address of a peer may have replaced it; the name in the answer shows
        # which of them runs.
        for peer in self.peers():
            if peer.gossip_address == new_host.gossip_address:
                self.request_digest(peer, now_ms)

    def _join_updates(self) -> tuple[MemberUpdate, ...]:
        names = [host.name for host in self.hosts()]
        chosen = shuffled(names, self._random)[:MAX_JOIN_UPDATES]
        members = (self._table.get(name) for name in chosen)
        return tuple(member.to_update() for member in members if member is not None)

    def _on_ping_request(self, sender: str, request: PingRequest, now_ms: int) -> None:
        member = self._table.get(request.target)
        if member is None or self._table.get(sender) is None:
            return
        probe = self._probes.open(
            member.host, ProbePurpose.RELAY, now_ms, origin=sender, origin_seq=request.seq
        )
        self._send_ping(probe, now_ms)

    def _on_ack(
        self,
        sender: str,
        probe: Probe,
        ack: Ack,
        updates: list[MemberUpdate],
        now_ms: int,
    ) -> None:
        self._probes.close(probe.seq)
        if sender == ack.target != probe.host.name:
            self._on_replaced(probe.host.name, ack.target, now_ms)
        if ack.target == probe.host.name:
            self._candidates.remove(probe.host.name)
            self._quorum.record(probe, answered=True)
            if sender == probe.host.name:
                self._address_known_by.add(sender)
            if probe.purpose is ProbePurpose.RELAY:
                self._relay(probe, ack, now_ms)
        if sender == ack.target:
            self._add_member(sender, updates, now_ms)
        self._pass_on_digest(sender, ack.digest, now_ms - probe.sent_ms, now_ms)

    def _add_member(self, sender: str, updates: list[MemberUpdate], now_ms: int) -> None:
        if self._table.get(sender) is not None:
            return
        sender_update = next((u for u in updates if u.host == sender), None)
        if sender_update is None or sender_update.state is HostState.DEAD:
            return
        member = Member(
            host_of(sender_update), sender_update.state, sender_update.incarnation, now_ms
        )
        if self._table.add(member):
            self._outbox.record_decision(now_ms, "join", sender, "The host answered a probe.")

    def _relay(self, probe: Probe, ack: Ack, now_ms: int) -> None:
        origin = self.host(probe.origin)
        if origin is None:
            return
        digest = self._digest(now_ms)
        # The updates of the target are forwarded, since they may include a refutation.
        self._outbox.gossip(origin, Ack(probe.origin_seq, ack.target, digest, ack.updates))

    def _on_replaced(self, old: str, new: str, now_ms: int) -> None:
        member = self._table.get(old)
        self._candidates.remove(old)
        if member is None or not self._table.mark_replaced(old, now_ms):
            return
        self._on_dead(member, f"The host {new} answers at its address.", now_ms)

    def _on_update(self, update: MemberUpdate, now_ms: int) -> None:
        if update.host == self._own_host.name:
            self._on_own_update(update, now_ms)
            return
        if self._table.get(update.host) is not None:
            self._apply(update, now_ms)
            return
        if update.state is not HostState.DEAD:
            self._add_candidate(host_of(update))

    def _apply(self, update: MemberUpdate, now_ms: int) -> None:
        before = self._table.get(update.host)
        changed = self._table.apply(update, now_ms)
        if before is not None and changed and update.state is HostState.DEAD:
            self._on_dead(before, "A peer reported the host as dead.", now_ms)

    def _on_own_update(self, update: MemberUpdate, now_ms: int) -> None:
        own_member = self._table.get(self._own_host.name)
        if own_member is None or not can_refer_to(update, own_member):
            return
        if update.state not in (HostState.SUSPECT, HostState.DEAD):
            return
        if update.incarnation < own_member.incarnation:
            return
        self._table.announce(self._own_host.name, own_member.state, update.incarnation + 1, now_ms)
        reason = f"A peer reported this host as {update.state}."
        self._outbox.record_decision(now_ms, "refutation", self._own_host.name, reason)

    def _pass_on_digest(self, host: str, digest: Digest, elapsed_ms: int, now_ms: int) -> None:
        if digest.fresh_age_ms < 0 or digest.config_revision < 0:
            return
        aged = msgspec.structs.replace(digest, fresh_age_ms=digest.fresh_age_ms + elapsed_ms)
        self._on_digest(host, aged, now_ms)

    def _probe_next(self, now_ms: int) -> None:
        self._probe_count += 1
        if self._probe_count % EXTRA_PROBE_PERIOD == 0:
            self._send_extra_probe(now_ms)
        names = [host.name for host in self.peers()]
        name = self._rotation.next(names)
        host = self.host(name) if name else None
        if host is not None:
            self._probe(host, ProbePurpose.MEMBER, now_ms)

    def _probe_suspects(self, now_ms: int) -> None:
        # The probe carries the suspicion, so that the answer can refute it.
        if now_ms < self._next_suspect_probe_ms:
            return
        self._next_suspect_probe_ms = now_ms + SUSPECT_PROBE_INTERVAL_MS
        for member in self._table.views().suspects:
            self.request_digest(member.host, now_ms)

    def _send_extra_probe(self, now_ms: int) -> None:
        self._add_random_seed()
        names = [host.name for host in self.contacts()]
        names += [member.host.name for member in self._table.views().dead]
        name = self._extra_rotation.next(names)
        member = self._table.get(name) if name else None
        if member is not None:
            purpose = ProbePurpose.QUERY if member.is_dead else ProbePurpose.MEMBER
            self._probe(member.host, purpose, now_ms)

    def _add_random_seed(self) -> None:
        if seeds := self._settings.seeds:
            self._add_candidate(seeds[int(self._random.random() * len(seeds))])

    def _probe(self, host: Host, purpose: ProbePurpose, now_ms: int) -> None:
        self._send_ping(self._probes.open(host, purpose, now_ms), now_ms)

    def _send_ping(self, probe: Probe, now_ms: int) -> None:
        name = probe.host.name
        first = [] if name in self._address_known_by else [self._own_host.name]
        if self.state(name) is not HostState.ALIVE:
            first.append(name)
        updates = self._table.take_updates(first)
        self._outbox.gossip(probe.host, Ping(probe.seq, self._digest(now_ms), updates))

    def _probe_indirectly(self, probe: Probe, now_ms: int) -> None:
        names = [host.name for host in self._alive_peers() if host.name != probe.host.name]
        for name in shuffled(names, self._random)[:INDIRECT_PROBES]:
            relay = self.host(name)
            if relay is not None:
                digest, updates = self._digest(now_ms), self._table.take_updates()
                request = PingRequest(probe.seq, probe.host.name, digest, updates)
                self._outbox.gossip(relay, request)

    def _on_unanswered(self, probe: Probe, now_ms: int) -> None:
        self._address_known_by.discard(probe.host.name)
        if probe.purpose is not ProbePurpose.MEMBER:
            return
        self._quorum.record(probe, answered=False)
        member = self._table.get(probe.host.name)
        if member is None or member.is_dead:
            return
        if member.state is HostState.LEAVING:
            self._table.raise_severity(member.host.name, HostState.DEAD, now_ms)
            self._on_dead(member, "The host was leaving and no longer answers.", now_ms)
            return
        self._table.raise_severity(member.host.name, HostState.SUSPECT, now_ms)

    def _on_dead(self, member: Member, reason: str, now_ms: int) -> None:
        self._address_known_by.discard(member.host.name)
        self._outbox.record_decision(now_ms, "death", member.host.name, reason)

    def _allow_for_pause(self, now_ms: int) -> None:
        last_ms, self._last_tick_ms = self._last_tick_ms, now_ms
        if last_ms is None or now_ms - last_ms < max(TICK_GAP_PAUSE_MS, 2 * self._timings.tick_ms):
            return
        # Answers may still be unread, so missing answers do not mean that the peers failed.
        self._probes.clear()
        self._table.extend_suspicions(now_ms - last_ms)

    def _add_candidate(self, host: Host) -> None:
        if self._table.get(host.name) is None and self._table.has_room(host.cell):
            self._candidates.add(host)

    def _probe_candidates(self, now_ms: int) -> None:
        for host in self._candidates.take_due(now_ms):
            self._probe(host, ProbePurpose.CANDIDATE, now_ms)

    def _alive_peers(self) -> Iterable[Host]:
        return [peer for peer in self.peers() if self.state(peer.name) is HostState.ALIVE]
