"""The heartbeat that hosts of the session proxy send each other, one UDP datagram of JSON.

Most of what a host believes is the same from one heartbeat to the next. A heartbeat to a peer that
echoes an earlier one leaves out what has not changed since; ``Heartbeat.completed`` fills it in.
"""

import json
from dataclasses import dataclass, field, replace

from figcrank.state._positions import Position

NEVER_MS = -1  # stands for an age or time that does not exist


class HeartbeatError(ValueError):
    """A datagram that is no heartbeat."""


@dataclass(frozen=True, slots=True)
class PrimaryRecord:
    """Who leads a database group.

    :param version: grows with each change; the higher one holds.
    :param term: the term that the server leads; 0 while unknown.
    :param server_id: the primary; while moving, the one that is being replaced.
    :param moving: whether a replacement is under way and the old primary must not be used.
    :param planned: whether the old primary still works, so that statements there may end.
    :param address: its ``ip:port``; its entry in the registry may have lapsed.
    """

    version: int
    term: int
    server_id: str
    moving: bool = False
    planned: bool = False
    address: str = ""

    def to_fields(self) -> list:
        """Return the record as a list for JSON."""
        flags = [int(self.moving), int(self.planned)]
        return [self.version, self.term, self.server_id, *flags, self.address]

    @classmethod
    def from_fields(cls, fields: list) -> "PrimaryRecord":
        """Return the record of a list.

        :raises ValueError: if it is none.
        """
        version, term, server_id, moving, planned, address = fields
        flags = bool(moving), bool(planned)
        return cls(int(version), int(term), str(server_id), *flags, str(address))


@dataclass(frozen=True, slots=True)
class StoredPrimaries:
    """The record of primaries that the store keeps for the fleet.

    :param revision: its revision; 0 if it was never written.
    :param holder: host that may promote.
    :param token: grows whenever the holder changes.
    :param records: by group.
    """

    revision: int = 0
    holder: str = ""
    token: int = 0
    records: dict[str, PrimaryRecord] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Trouble:
    """A primary that does not answer a host.

    :param server_id: the server that is taken for the primary.
    :param failing_ms: for how long.
    :param refused: whether no process listens at its address.
    """

    server_id: str
    failing_ms: int
    refused: bool


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What one host tells another.

    :param host: name of the sender.
    :param boot_id: drawn anew at each start of the sender.
    :param sent_ms: the sender's clock.
    :param echo_ms: the receiver's clock in the last heartbeat that the sender had from it.
    :param echo_held_ms: how long ago that arrived, by the sender's clock.
    :param leaving: whether the sender is about to stop.
    :param catalog_version: version of its configuration.
    :param registry_revision: revision of its list of servers.
    :param registry_age_ms: age of that list.
    :param store_ok: whether its last calls to the store were answered.
    :param confirmed_age_ms: age of its newest confirmation of the primaries from the store.
    :param primaries: its belief by group, where a primary was ever replaced.
    :param quiet: groups whose replaced primary it has no statement at.
    :param observed: newest position of each group's primary with its age.
    :param trouble: groups whose primary does not answer it.
    :param removed: heartbeat addresses of hosts that were lately found to be gone for good.
    :param spent: admitted and asked operations since its start, by workspace.
    :param partial: whether workspaces with the same counts as before are left out of ``spent``.
    :param unchanged: names of the fields that are left out for being the same as before.
    """

    host: str
    boot_id: int
    sent_ms: int
    echo_ms: int = NEVER_MS
    echo_held_ms: int = 0
    leaving: bool = False
    catalog_version: int = 0
    registry_revision: int = 0
    registry_age_ms: int = NEVER_MS
    store_ok: bool = True
    confirmed_age_ms: int = NEVER_MS
    primaries: dict[str, PrimaryRecord] = field(default_factory=dict)
    quiet: tuple[str, ...] = ()
    observed: dict[str, tuple[Position, int]] = field(default_factory=dict)
    trouble: dict[str, Trouble] = field(default_factory=dict)
    removed: tuple[tuple[str, int], ...] = ()
    spent: dict[str, tuple[int, int]] = field(default_factory=dict)
    partial: bool = False
    unchanged: tuple[str, ...] = ()

    def completed(self, before: "Heartbeat") -> "Heartbeat":
        """Return this heartbeat with what it left out.

        :param before: the sender's heartbeat before, completed, of the same start of the sender.
        """
        kept = {name: getattr(before, name) for name in self.unchanged}
        spent = {**before.spent, **self.spent} if self.partial else self.spent
        return replace(self, **kept, spent=spent, partial=False, unchanged=())


# Fields that a heartbeat may leave out.
OMITTABLE = ("primaries", "quiet", "trouble", "removed")


def encode_heartbeat(beat: Heartbeat) -> bytes:
    """Return the datagram of a heartbeat."""
    primaries = {group: record.to_fields() for group, record in beat.primaries.items()}
    trouble = {g: [t.server_id, t.failing_ms, int(t.refused)] for g, t in beat.trouble.items()}
    left_out = [name in beat.unchanged for name in OMITTABLE]
    values = zip(left_out, (primaries, beat.quiet, trouble, beat.removed), strict=True)
    fields = (
        [beat.host, beat.boot_id, beat.sent_ms, beat.echo_ms, beat.echo_held_ms],
        [int(beat.leaving), beat.catalog_version, beat.registry_revision, beat.registry_age_ms],
        [int(beat.store_ok), beat.confirmed_age_ms],
        [None if omitted else value for omitted, value in values],
        {g: [p.term, p.offset, age_ms] for g, (p, age_ms) in beat.observed.items()},
        [int(beat.partial), beat.spent],
    )
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Return the heartbeat of a datagram.

    :raises HeartbeatError: if it is none.
    """
    try:
        who, state, store, omittable, observed, (partial, spent) = json.loads(data)
        unchanged = tuple(n for n, v in zip(OMITTABLE, omittable, strict=True) if v is None)
        primaries, quiet, trouble, removed = omittable
        host, boot_id, sent_ms, echo_ms, echo_held_ms = who
        leaving, catalog_version, registry_revision, registry_age_ms = state
        store_ok, confirmed_age_ms = store
        return Heartbeat(
            str(host),
            int(boot_id),
            int(sent_ms),
            int(echo_ms),
            int(echo_held_ms),
            bool(leaving),
            int(catalog_version),
            int(registry_revision),
            int(registry_age_ms),
            bool(store_ok),
            int(confirmed_age_ms),
            {g: PrimaryRecord.from_fields(item) for g, item in (primaries or {}).items()},
            tuple(quiet or ()),
            {g: (Position(int(t), int(n)), int(age)) for g, (t, n, age) in observed.items()},
            {g: Trouble(str(s), int(ms), bool(r)) for g, (s, ms, r) in (trouble or {}).items()},
            tuple((str(ip), int(port)) for ip, port in removed or ()),
            {w: (int(admitted), int(asked)) for w, (admitted, asked) in spent.items()},
            bool(partial),
            unchanged,
        )
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        raise HeartbeatError(f"a datagram of {len(data)} bytes is no heartbeat: {error}") from error
