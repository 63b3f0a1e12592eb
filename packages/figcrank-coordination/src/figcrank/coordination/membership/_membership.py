"""Which hosts of the fleet are alive."""

from collections.abc import Callable, Iterable

import msgspec

from figcrank.coordination._port import Port
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.membership._candidates import Candidates
from figcrank.coordination.membership._member_table import (
    Member,
    MemberTable,
    host_of,
    is_plausible,
    is_possible,
)
from figcrank.coordination.membership._probes import (
    Probe,
    ProbeList,
    ProbePurpose,
    Rotation,
    shuffled,
)
from figcrank.coordination.membership._quorum import Quorum
from figcrank.protocol import Ack, Digest, MemberUpdate, Ping, PingRequest, PlatformHost
from figcrank.state import Host, HostState, RandomSource

MembershipMessage = Ping | Ack | PingRequest

HINTS_PER_LIST = 8
FIRST_JOIN_UPDATES = 64
INDIRECT_PROBES = 3
# A tick that comes this late means that this host itself was paused.
PAUSE_MS = 150
QUESTION_INTERVAL_MS = 100
SIDE_PROBE_EVERY = 5
# Age given to a digest that may have been under way for any time.
UNKNOWN_AGE_MS = 2**31


class Membership:
    """Keeps the list of live hosts by probing peers of the cell.

    A host that is only heard of becomes a member once a probe of it is answered, so that neither
    the platform's list nor a replayed or foreign message adds one. Peers of other cells are kept
    as contacts, are probed seldom and are never given work.

    :param settings: static settings of this host.
    :param port: way out of the core.
    :param random: random source for the choice of peers.
    :param digest: gives the digest to send at a time in milliseconds.
    :param on_digest: told of each digest received: host name, digest, time. The age in a digest
        counts from the sending of this host's probe; it is :data:`UNKNOWN_AGE_MS` in a digest
        that no probe of this host asked for.
    """

    def __init__(
        self,
        settings: CoreSettings,
        port: Port,
        random: RandomSource,
        digest: Callable[[int], Digest],
        on_digest: Callable[[str, Digest, int], None],
    ) -> None:
        self._settings = settings
        self._timings = settings.timings
        self._myself = settings.host
        self._port = port
        self._random = random
        self._digest = digest
        self._on_digest = on_digest
        self._table = MemberTable(settings.host, settings.timings.suspicion_ms)
        self._probes = ProbeList(random)
        self._rotation = Rotation(random)
        self._side_rotation = Rotation(random)
        self._candidates = Candidates(settings.timings.probe_interval_ms)
        # Members that have acknowledged a probe, and hence know this host's address.
        self._acquainted: set[str] = set()
        self._next_probe_ms = 0
        self._next_question_ms = 0
        self._probe_count = 0
        others = any(seed.cell != settings.host.cell for seed in settings.seeds)
        self._quorum = Quorum(settings.host, settings.timings.config_freshness_ms, others)
        self._last_tick_ms: int | None = None
        for seed in settings.seeds:
            self._table.add(Member(seed, HostState.ALIVE, 0, 0), is_news=False)

    def hosts(self) -> tuple[Host, ...]:
        """Return the hosts that may be given work, this one included, sorted by name."""
        return self._table.views().workers

    def host(self, name: str) -> Host | None:
        """Return a known host that is not dead, whether or not it may be given work."""
        member = self._table.get(name)
        return None if member is None or member.is_dead else member.host

    def state(self, name: str) -> HostState:
        """Return what is believed of a host; unknown hosts count as dead."""
        member = self._table.get(name)
        return HostState.DEAD if member is None else member.state

    def incarnation(self, name: str) -> int:
        """Return the newest incarnation heard of a host, 0 if none."""
        member = self._table.get(name)
        return 0 if member is None else member.incarnation

    def peers(self) -> tuple[Host, ...]:
        """Return the other hosts of the cell that are not dead, leaving ones included."""
        return self._table.views().peers

    def contacts(self) -> tuple[Host, ...]:
        """Return the known hosts of other cells."""
        return self._table.views().contacts

    def hears_majority(self, now_ms: int) -> bool:
        """Return whether most hosts of the cell that did not leave are heard, this one included."""
        return self._quorum.holds(self._table.views(), now_ms)

    def start(self, now_ms: int) -> None:
        """Begin probing."""
        self._last_tick_ms = now_ms
        self._next_probe_ms = now_ms
        for peer in self._alive_peers():
            self._probe(peer, ProbePurpose.CANDIDATE, now_ms)

    def tick(self, now_ms: int) -> None:
        """Send probes that are due and expire those that failed."""
        self._allow_for_pause(now_ms)
        for probe in self._probes.take_unanswered(self._timings.probe_timeout_ms, now_ms):
            self._probe_indirectly(probe, now_ms)
        for probe in self._probes.take_failed(self._timings.probe_interval_ms, now_ms):
            self._on_unanswered(probe, now_ms)
        for member in self._table.expire(now_ms):
            self._on_dead(member, "It did not refute the suspicion in time.", now_ms)
        self._probe_candidates(now_ms)
        self._question_suspects(now_ms)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + self._timings.probe_interval_ms
            self._probe_next(now_ms)

    def ask(self, host: Host, now_ms: int) -> None:
        """Ask ``host`` for its digest; silence has no consequence for its membership."""
        self._probe(host, ProbePurpose.QUESTION, now_ms)

    def on_gossip(self, sender: str, message: MembershipMessage, now_ms: int) -> None:
        """Take a membership message."""
        if sender == self._myself.name:
            return
        probe = self._probes.find(message.seq) if isinstance(message, Ack) else None
        updates = [update for update in message.updates if is_plausible(update)]
        if probe is not None:
            self._on_ack(sender, probe, message, updates, now_ms)
        for update in updates:
            self._on_update(update, now_ms)
        if isinstance(message, Ping):
            self._on_ping(sender, message, updates, now_ms)
        elif isinstance(message, PingRequest):
            self._on_ping_request(sender, message, now_ms)

    def on_platform_hosts(self, hosts: tuple[PlatformHost, ...], now_ms: int) -> None:
        """Take the platform's lagging host list as a hint of whom to probe."""
        unknown = {h.name: h for h in hosts if not h.leaving and self._table.get(h.name) is None}
        chosen = shuffled(unknown, self._random)[:HINTS_PER_LIST]
        for name in chosen:
            hint = unknown[name]
            self._add_candidate(
                Host(name, hint.availability_zone, hint.gossip_address, hint.peer_address)
            )

    def leave(self, now_ms: int) -> None:
        """Tell the peers that this host takes no new work."""
        mine = self._table.get(self._myself.name)
        if mine is None or mine.state is HostState.LEAVING:
            return
        self._table.announce(self._myself.name, HostState.LEAVING, mine.incarnation + 1, now_ms)
        for peer in self.peers():
            self._probe(peer, ProbePurpose.QUESTION, now_ms)

    # Receiving

    def _on_ping(self, sender: str, ping: Ping, updates: list[MemberUpdate], now_ms: int) -> None:
        known = self._table.get(sender)
        introduction = next((u for u in updates if u.host == sender), None)
        if known is not None:
            self._report(sender, ping.digest, UNKNOWN_AGE_MS, now_ms)
        host = known.host if known is not None else introduction and host_of(introduction)
        if not host:
            return
        if known is None:
            self._question_holders(host, now_ms)
        first = [sender] if known is not None and known.state is not HostState.ALIVE else []
        extra: tuple[MemberUpdate, ...] = ()
        if introduction is not None:
            first.append(self._myself.name)
            extra = self._join_updates() if known is None else ()
        answer = Ack(
            ping.seq,
            self._myself.name,
            self._digest(now_ms),
            self._table.take_updates(first) + extra,
        )
        self._port.gossip(host, answer)

    def _question_holders(self, newcomer: Host, now_ms: int) -> None:
        # Whoever answers at the address tells by its name whether the old process is gone.
        for peer in self.peers():
            if peer.gossip_address == newcomer.gossip_address:
                self.ask(peer, now_ms)

    def _join_updates(self) -> tuple[MemberUpdate, ...]:
        names = [host.name for host in self.hosts()]
        chosen = shuffled(names, self._random)[:FIRST_JOIN_UPDATES]
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
            self._quorum.note(probe, answered=True)
            if sender == probe.host.name:
                self._acquainted.add(sender)
            if probe.purpose is ProbePurpose.RELAY:
                self._relay(probe, ack, now_ms)
        if sender == ack.target:
            self._admit(sender, updates, now_ms)
        self._report(sender, ack.digest, now_ms - probe.sent_ms, now_ms)

    def _admit(self, sender: str, updates: list[MemberUpdate], now_ms: int) -> None:
        if self._table.get(sender) is not None:
            return
        introduction = next((u for u in updates if u.host == sender), None)
        if introduction is None or introduction.state is HostState.DEAD:
            return
        member = Member(host_of(introduction), introduction.state, introduction.incarnation, now_ms)
        if self._table.add(member):
            self._port.decide(now_ms, "join", sender, "It answered a probe of this host.")

    def _relay(self, probe: Probe, ack: Ack, now_ms: int) -> None:
        origin = self.host(probe.origin)
        if origin is None:
            return
        digest = self._digest(now_ms)
        # The target's own words, a refutation among them, go along.
        self._port.gossip(origin, Ack(probe.origin_seq, ack.target, digest, ack.updates))

    def _on_replaced(self, old: str, new: str, now_ms: int) -> None:
        member = self._table.get(old)
        self._candidates.remove(old)
        if member is None or not self._table.mark_gone(old, now_ms):
            return
        self._on_dead(member, f"{new} answers at its address.", now_ms)

    def _on_update(self, update: MemberUpdate, now_ms: int) -> None:
        if update.host == self._myself.name:
            self._on_own_update(update, now_ms)
            return
        if self._table.get(update.host) is not None:
            self._apply(update, now_ms)
            return
        if update.state is not HostState.DEAD:
            self._add_candidate(host_of(update))

    def _apply(self, update: MemberUpdate, now_ms: int) -> None:
        before = self._table.get(update.host)
        is_news = self._table.apply(update, now_ms)
        if before is not None and is_news and update.state is HostState.DEAD:
            self._on_dead(before, "A peer reported it dead.", now_ms)

    def _on_own_update(self, update: MemberUpdate, now_ms: int) -> None:
        mine = self._table.get(self._myself.name)
        if mine is None or not is_possible(update, mine):
            return
        if update.state not in (HostState.SUSPECT, HostState.DEAD):
            return
        if update.incarnation < mine.incarnation:
            return
        self._table.announce(self._myself.name, mine.state, update.incarnation + 1, now_ms)
        reason = f"Peers believed it {update.state}."
        self._port.decide(now_ms, "refutation", self._myself.name, reason)

    def _report(self, host: str, digest: Digest, elapsed_ms: int, now_ms: int) -> None:
        if digest.fresh_age_ms < 0 or digest.config_revision < 0:
            return
        aged = msgspec.structs.replace(digest, fresh_age_ms=digest.fresh_age_ms + elapsed_ms)
        self._on_digest(host, aged, now_ms)

    # Probing

    def _probe_next(self, now_ms: int) -> None:
        self._probe_count += 1
        if self._probe_count % SIDE_PROBE_EVERY == 0:
            self._probe_aside(now_ms)
        names = [host.name for host in self.peers()]
        name = self._rotation.next(names)
        host = self.host(name) if name else None
        if host is not None:
            self._probe(host, ProbePurpose.MEMBER, now_ms)

    def _question_suspects(self, now_ms: int) -> None:
        # Each question carries the suspicion, so that the answer refutes it.
        if now_ms < self._next_question_ms:
            return
        self._next_question_ms = now_ms + QUESTION_INTERVAL_MS
        for member in self._table.views().suspects:
            self.ask(member.host, now_ms)

    def _probe_aside(self, now_ms: int) -> None:
        self._reconsider_seed()
        names = [host.name for host in self.contacts()]
        names += [member.host.name for member in self._table.views().dead]
        name = self._side_rotation.next(names)
        member = self._table.get(name) if name else None
        if member is not None:
            purpose = ProbePurpose.QUESTION if member.is_dead else ProbePurpose.MEMBER
            self._probe(member.host, purpose, now_ms)

    def _reconsider_seed(self) -> None:
        if seeds := self._settings.seeds:
            self._add_candidate(seeds[int(self._random.random() * len(seeds))])

    def _probe(self, host: Host, purpose: ProbePurpose, now_ms: int) -> None:
        self._send_ping(self._probes.open(host, purpose, now_ms), now_ms)

    def _send_ping(self, probe: Probe, now_ms: int) -> None:
        name = probe.host.name
        first = [] if name in self._acquainted else [self._myself.name]
        if self.state(name) is not HostState.ALIVE:
            first.append(name)
        updates = self._table.take_updates(first)
        self._port.gossip(probe.host, Ping(probe.seq, self._digest(now_ms), updates))

    def _probe_indirectly(self, probe: Probe, now_ms: int) -> None:
        names = [host.name for host in self._alive_peers() if host.name != probe.host.name]
        for name in shuffled(names, self._random)[:INDIRECT_PROBES]:
            relay = self.host(name)
            if relay is not None:
                digest, updates = self._digest(now_ms), self._table.take_updates()
                request = PingRequest(probe.seq, probe.host.name, digest, updates)
                self._port.gossip(relay, request)

    def _on_unanswered(self, probe: Probe, now_ms: int) -> None:
        self._acquainted.discard(probe.host.name)
        if probe.purpose is not ProbePurpose.MEMBER:
            return
        self._quorum.note(probe, answered=False)
        member = self._table.get(probe.host.name)
        if member is None or member.is_dead:
            return
        if member.state is HostState.LEAVING:
            self._table.mark(member.host.name, HostState.DEAD, now_ms)
            self._on_dead(member, "It was leaving and answers no more.", now_ms)
            return
        self._table.mark(member.host.name, HostState.SUSPECT, now_ms)

    def _on_dead(self, member: Member, reason: str, now_ms: int) -> None:
        self._acquainted.discard(member.host.name)
        self._port.decide(now_ms, "death", member.host.name, reason)

    def _allow_for_pause(self, now_ms: int) -> None:
        last_ms, self._last_tick_ms = self._last_tick_ms, now_ms
        if last_ms is None or now_ms - last_ms < max(PAUSE_MS, 2 * self._timings.tick_ms):
            return
        # Answers may wait unread, so silence during the pause says nothing about the peers.
        self._probes.clear()
        self._table.postpone(now_ms - last_ms)

    # Candidates

    def _add_candidate(self, host: Host) -> None:
        if self._table.get(host.name) is None and self._table.has_room(host.cell):
            self._candidates.add(host)

    def _probe_candidates(self, now_ms: int) -> None:
        for host in self._candidates.take_due(now_ms):
            self._probe(host, ProbePurpose.CANDIDATE, now_ms)

    # Views

    def _alive_peers(self) -> Iterable[Host]:
        return [peer for peer in self.peers() if self.state(peer.name) is HostState.ALIVE]
