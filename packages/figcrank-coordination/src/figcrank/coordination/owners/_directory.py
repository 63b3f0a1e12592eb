"""The owners that a relay knows: which of them are usable, and which runs a session.

A session goes to an owner in the relay's availability zone. Sessions of one workspace go to the
same owner of a zone, as far as possible, because a server connection serves a single workspace.
"""

import hashlib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from figcrank.coordination.owners._group_owners import zone_distance
from figcrank.protocol.heartbeats import NEVER_MS
from figcrank.protocol.owners import Owner

# After a failure, doubled with each further one; the owner is asked for its status meanwhile.
AVOID_MS = 1_000
MAX_AVOID_MS = 8_000
Address = tuple[str, int]


@dataclass(slots=True)
class _OwnerState:
    """What a relay knows about one owner.

    :param owner: the owner.
    :param avoided_until_ms: time until which new sessions go to other owners, if there are any.
    :param failures: failures since its last answer.
    :param queried_ms: time at which it was last asked for its status.
    :param reads_options: whether it reads the options of a session's start; ``None`` until it has
        answered a query while it accepts sessions.
    """

    owner: Owner
    avoided_until_ms: int = 0
    failures: int = 0
    queried_ms: int = NEVER_MS
    reads_options: bool | None = None


class OwnerDirectory:
    """Owners known to one relay.

    :param availability_zone: availability zone of the relay.
    :param regions: region of each availability zone.
    """

    def __init__(self, availability_zone: str, regions: Mapping[str, str] | None = None) -> None:
        self._zone = availability_zone
        self._regions = regions or {}
        self._states: dict[Address, _OwnerState] = {}

    def update(self, owners: Iterable[Owner]) -> None:
        """Replace the list of owners; what is known about those that remain is kept."""
        listed = {owner.address: owner for owner in owners}
        for address in self._states.keys() - listed.keys():
            del self._states[address]
        for address, owner in listed.items():
            state = self._states.setdefault(address, _OwnerState(owner))
            state.owner = owner

    def owners(self) -> list[Owner]:
        """Return every known owner."""
        return [state.owner for state in self._states.values()]

    def record_answer(
        self, address: Address, accepts_sessions: bool, now_ms: int, reads_options: bool = False
    ) -> None:
        """Record an answer of an owner.

        :param accepts_sessions: whether it accepts new sessions.
        :param reads_options: whether it reads the options of a session's start; known only of an
            owner that accepts sessions.
        """
        state = self._states.get(address)
        if state is None:
            return
        state.failures = 0
        state.avoided_until_ms = 0 if accepts_sessions else now_ms + AVOID_MS
        if accepts_sessions:
            state.reads_options = reads_options

    def record_failure(self, address: Address, now_ms: int) -> None:
        """Avoid an owner that did not answer, or that refused a session, for some time."""
        state = self._states.get(address)
        if state is not None:
            avoid_ms = min(MAX_AVOID_MS, AVOID_MS << min(state.failures, 8))
            state.avoided_until_ms = now_ms + avoid_ms
            state.failures += 1

    def is_avoided(self, address: Address, now_ms: int) -> bool:
        """Return whether new sessions go to other owners than this one."""
        state = self._states.get(address)
        return state is not None and now_ms < state.avoided_until_ms

    def reads_options(self, address: Address) -> bool:
        """Return whether an owner has shown that it reads the options of a session's start."""
        state = self._states.get(address)
        return state is not None and state.reads_options is True

    def has_unknown_options(self) -> bool:
        """Return whether it is unknown of an owner of the zone whether it reads options.

        Sessions that start there meanwhile are not sent on to the group owner.
        """
        return any(self._is_unknown(state) for state in self._states.values())

    def _is_unknown(self, state: _OwnerState) -> bool:
        return state.reads_options is None and state.owner.availability_zone == self._zone

    def is_usable(self, now_ms: int) -> bool:
        """Return whether any owner is known that is not avoided."""
        return any(now_ms >= state.avoided_until_ms for state in self._states.values())

    def is_nearest(self, owner: Owner) -> bool:
        """Return whether no known owner is nearer to the relay than this one."""
        zones = [owner.availability_zone for owner in self.owners()]
        nearest = min((zone_distance(self._zone, z, self._regions) for z in zones), default=0)
        return zone_distance(self._zone, owner.availability_zone, self._regions) <= nearest

    def choose(
        self, session_key: str, now_ms: int, tried: Collection[Address] = ()
    ) -> Owner | None:
        """Return the owner for a session by rendezvous hashing, ``None`` if every one was tried.

        Owners that read options come first: they send the session on to the group owner.

        :param session_key: identifies the workspace and database of the session.
        :param tried: owners to skip.
        """
        left = [state for state in self._states.values() if state.owner.address not in tried]

        def rank(state: _OwnerState) -> tuple[bool, int, bool, bytes]:
            name = state.owner.name
            return (
                now_ms < state.avoided_until_ms,
                zone_distance(self._zone, state.owner.availability_zone, self._regions),
                not state.reads_options,
                _hash(f"{session_key}|{name}"),
            )

        return min(left, key=rank).owner if left else None

    def owners_to_query(self, now_ms: int) -> list[Owner]:
        """Return the owners to ask for their status now, and record that they are asked.

        These are the one that was asked least recently, preferably a usable one of the zone, since
        its answer has the list of owners, and those of the zone that are avoided or of which it is
        unknown whether they read options.
        """

        def rank(state: _OwnerState) -> tuple[bool, int, int]:
            distance = zone_distance(self._zone, state.owner.availability_zone, self._regions)
            return now_ms < state.avoided_until_ms, distance, state.queried_ms

        states = sorted(self._states.values(), key=rank)
        of_zone = [
            state
            for state in states[1:]
            if state.owner.availability_zone == self._zone
            and (now_ms < state.avoided_until_ms or state.reads_options is None)
        ]
        asked = [*states[:1], *of_zone]
        for state in asked:
            state.queried_ms = now_ms
        return [state.owner for state in asked]


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
