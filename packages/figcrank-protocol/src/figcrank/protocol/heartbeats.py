"""Heartbeats between hosts of the session proxy, each one a UDP datagram of JSON.

Most of a host's state is the same from one heartbeat to the next. Once a peer has echoed a
heartbeat, later heartbeats to it omit the fields that have not changed since;
:meth:`Heartbeat.with_omitted_fields` restores them.
"""

import json
from dataclasses import dataclass, field, replace

from figcrank.state._positions import Position

NEVER_MS = -1  # an age or time that does not exist
# How a heartbeat tells whether the sender's calls to the store were answered. Earlier releases send
# and understand the first two, and take any other number for the second.
STORE_LOST = 0
STORE_OK_WITHOUT_ERAS = 1
STORE_OK = 2


class HeartbeatError(ValueError):
    """A datagram that can't be decoded as a heartbeat."""


@dataclass(frozen=True, slots=True)
class PrimaryRecord:
    """Record of a database group's primary.

    :param version: increases with each change; the record with the higher version applies.
    :param term: term of the primary; 0 while unknown.
    :param server_id: id of the primary; during a replacement, the server being replaced.
    :param moving: whether a replacement is in progress and the old primary must not be used.
    :param planned: whether the old primary still works, so that statements running there may
        finish.
    :param address: the server's ``ip:port``, kept here because its registry entry may have expired.
    """

    version: int
    term: int
    server_id: str
    moving: bool = False
    planned: bool = False
    address: str = ""

    def to_fields(self) -> list:
        """Return the record as a list that can be encoded as JSON."""
        flags = [int(self.moving), int(self.planned)]
        return [self.version, self.term, self.server_id, *flags, self.address]

    @classmethod
    def from_fields(cls, fields: list) -> "PrimaryRecord":
        """Return the record decoded from a list made by :meth:`to_fields`.

        :raises ValueError: if the list is not a valid record.
        """
        version, term, server_id, moving, planned, address = fields
        flags = bool(moving), bool(planned)
        return cls(int(version), int(term), str(server_id), *flags, str(address))


@dataclass(frozen=True, slots=True)
class StoredPrimaries:
    """The fleet's record of primaries, as kept in the store.

    :param revision: store revision of the record; 0 if it was never written.
    :param holder: host that may promote servers.
    :param token: fencing token, which increases whenever the holder changes.
    :param records: primary records by group.
    """

    revision: int = 0
    holder: str = ""
    token: int = 0
    records: dict[str, PrimaryRecord] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PrimaryFailure:
    """A primary that does not answer a host.

    :param server_id: id of the server that the host considers the primary.
    :param failing_ms: time for which the server has not answered.
    :param refused: whether the server's address refuses connections.
    """

    server_id: str
    failing_ms: int
    refused: bool


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State that one host reports to another.

    :param host: name of the sender.
    :param boot_id: random number drawn each time the sender starts.
    :param sent_ms: sender's clock when the heartbeat was sent.
    :param echo_ms: ``sent_ms`` of the last heartbeat that the sender received from the receiver.
    :param echo_age_ms: time since that heartbeat arrived, by the sender's clock.
    :param leaving: whether the sender is about to stop.
    :param catalog_version: version of the sender's configuration.
    :param registry_revision: revision of the sender's list of servers.
    :param registry_age_ms: age of that list.
    :param store_ok: whether the sender's last calls to the store were answered.
    :param confirmed_age_ms: time since the store last confirmed the sender's record of primaries.
    :param primaries: the sender's record of each group whose primary was ever replaced.
    :param quiesced_groups: groups in which the sender has no statement running at the replaced
        primary.
    :param observed: newest log position of each group's primary and the age of that observation.
    :param primary_failures: groups whose primary does not answer the sender.
    :param removed: heartbeat addresses of hosts that were recently found to be permanently gone.
    :param spent: admitted and requested operations since the sender's start, by workspace.
    :param partial: whether ``spent`` omits workspaces whose counts have not changed.
    :param unchanged: names of the fields that are omitted because they have not changed.
    :param ignores_eras: whether the sender reads the store as if it had no eras, as earlier
        releases do; it ignores its own lists of servers once it has one from a host of this one.
    """

    host: str
    boot_id: int
    sent_ms: int
    echo_ms: int = NEVER_MS
    echo_age_ms: int = 0
    leaving: bool = False
    catalog_version: int = 0
    registry_revision: int = 0
    registry_age_ms: int = NEVER_MS
    store_ok: bool = True
    confirmed_age_ms: int = NEVER_MS
    primaries: dict[str, PrimaryRecord] = field(default_factory=dict)
    quiesced_groups: tuple[str, ...] = ()
    observed: dict[str, tuple[Position, int]] = field(default_factory=dict)
    primary_failures: dict[str, PrimaryFailure] = field(default_factory=dict)
    removed: tuple[tuple[str, int], ...] = ()
    spent: dict[str, tuple[int, int]] = field(default_factory=dict)
    partial: bool = False
    unchanged: tuple[str, ...] = ()
    ignores_eras: bool = False

    def with_omitted_fields(self, previous: "Heartbeat") -> "Heartbeat":
        """Return this heartbeat with its omitted fields restored.

        :param previous: the sender's previous heartbeat, itself with no omitted fields and with the
            same ``boot_id``.
        """
        kept = {name: getattr(previous, name) for name in self.unchanged}
        spent = {**previous.spent, **self.spent} if self.partial else self.spent
        return replace(self, **kept, spent=spent, partial=False, unchanged=())


# Fields that a heartbeat may omit, in the order in which they are encoded.
OMITTABLE_FIELDS = ("primaries", "quiesced_groups", "primary_failures", "removed")


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return ``heartbeat`` as a datagram."""
    primaries = {group: record.to_fields() for group, record in heartbeat.primaries.items()}
    primary_failures = {
        g: [t.server_id, t.failing_ms, int(t.refused)]
        for g, t in heartbeat.primary_failures.items()
    }
    is_omitted = [name in heartbeat.unchanged for name in OMITTABLE_FIELDS]
    values = zip(
        is_omitted,
        (primaries, heartbeat.quiesced_groups, primary_failures, heartbeat.removed),
        strict=True,
    )
    fields = (
        [
            heartbeat.host,
            heartbeat.boot_id,
            heartbeat.sent_ms,
            heartbeat.echo_ms,
            heartbeat.echo_age_ms,
        ],
        [
            int(heartbeat.leaving),
            heartbeat.catalog_version,
            heartbeat.registry_revision,
            heartbeat.registry_age_ms,
        ],
        [_store_state(heartbeat), heartbeat.confirmed_age_ms],
        [None if omitted else value for omitted, value in values],
        {g: [p.term, p.offset, age_ms] for g, (p, age_ms) in heartbeat.observed.items()},
        [int(heartbeat.partial), heartbeat.spent],
    )
    return json.dumps(fields, separators=(",", ":")).encode()


def _store_state(heartbeat: Heartbeat) -> int:
    if not heartbeat.store_ok:
        return STORE_LOST
    return STORE_OK_WITHOUT_ERAS if heartbeat.ignores_eras else STORE_OK


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Return the heartbeat in a datagram.

    :raises HeartbeatError: if the datagram can't be decoded as a heartbeat.
    """
    try:
        sender, state, store, omittable, observed, (partial, spent) = json.loads(data)
        unchanged = tuple(n for n, v in zip(OMITTABLE_FIELDS, omittable, strict=True) if v is None)
        primaries, quiesced_groups, primary_failures, removed = omittable
        host, boot_id, sent_ms, echo_ms, echo_age_ms = sender
        leaving, catalog_version, registry_revision, registry_age_ms = state
        store_state, confirmed_age_ms = store
        return Heartbeat(
            str(host),
            int(boot_id),
            int(sent_ms),
            int(echo_ms),
            int(echo_age_ms),
            bool(leaving),
            int(catalog_version),
            int(registry_revision),
            int(registry_age_ms),
            bool(store_state),
            int(confirmed_age_ms),
            {g: PrimaryRecord.from_fields(item) for g, item in (primaries or {}).items()},
            tuple(quiesced_groups or ()),
            {g: (Position(int(t), int(n)), int(age)) for g, (t, n, age) in observed.items()},
            {
                g: PrimaryFailure(str(s), int(ms), bool(r))
                for g, (s, ms, r) in (primary_failures or {}).items()
            },
            tuple((str(ip), int(port)) for ip, port in removed or ()),
            {w: (int(admitted), int(asked)) for w, (admitted, asked) in spent.items()},
            bool(partial),
            unchanged,
            ignores_eras=store_state == STORE_OK_WITHOUT_ERAS,
        )
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        raise HeartbeatError(
            f"datagram of {len(data)} bytes is not a heartbeat: {error}"
        ) from error
