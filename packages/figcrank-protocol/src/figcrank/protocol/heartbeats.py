"""Heartbeats between hosts of the session proxy, each one a UDP datagram of JSON.

Most of a host's state is the same from one heartbeat to the next. Once a peer has echoed a
heartbeat, later heartbeats to it omit the fields that have not changed since;
:meth:`Heartbeat.with_omitted_fields` restores them.

Hosts of earlier releases accept six elements only. The extension, a seventh one, is sent to peers
that have shown that they read it.
"""

import json
from dataclasses import dataclass, field, replace

from figcrank.protocol.decoding import DECODE_ERRORS
from figcrank.state._positions import Position

NEVER_MS = -1  # an age or time that does not exist
# How a heartbeat tells whether the sender's calls to the store were answered. Earlier releases send
# and understand the first two or three, and take any other number for the second.
STORE_LOST = 0
STORE_OK_WITHOUT_ERAS = 1
STORE_OK_WITHOUT_EXTENSION = 2
STORE_OK = 3


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
    :param members: by group with synchronous replicas, the ids of the servers whose logs may hold
        an acknowledged commit that another one lacks.
    """

    revision: int = 0
    holder: str = ""
    token: int = 0
    records: dict[str, PrimaryRecord] = field(default_factory=dict)
    members: dict[str, frozenset[str]] = field(default_factory=dict)


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
class Evacuations:
    """The availability zones that an operator has evacuated.

    :param revision: store revision at which they were listed; 0 if they never were.
    :param zones: names of the evacuated zones.
    """

    revision: int = 0
    zones: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """One owner's recent load on a server.

    :param in_flight: its statements and new connections that the server is working on.
    :param waiting: its statements that wait for the server.
    :param service_ms: mean time from sending a statement to its reply; 0 without samples.
    :param samples: number of replies in that mean.
    :param rejections: statements and connections that the server rejected.
    """

    in_flight: int = 0
    waiting: int = 0
    service_ms: float = 0.0
    samples: int = 0
    rejections: int = 0


@dataclass(frozen=True, slots=True)
class HeartbeatExtension:
    """State that hosts of earlier releases neither send nor understand.

    :param evacuations: the sender's list of evacuated availability zones.
    :param busy_zones: evacuated availability zones in which the sender still has work.
    :param server_loads: the sender's load on servers that it used recently, by server id.
    :param sees_relays: whether a relay has shown itself to the sender recently.
    :param evacuations_age_ms: time since the store was known to have that list.
    :param configuration_age_ms: time since the store was known to have nothing newer than the
        sender's configuration.
    """

    evacuations: Evacuations = field(default_factory=Evacuations)
    busy_zones: tuple[str, ...] = ()
    server_loads: dict[str, ServerLoad] = field(default_factory=dict)
    sees_relays: bool = False
    evacuations_age_ms: int = NEVER_MS
    configuration_age_ms: int = NEVER_MS

    def to_fields(self) -> dict:
        """Return the extension as an object to encode as JSON, without its empty parts."""
        fields = {}
        if self.evacuations.revision:
            fields["evacuations"] = [self.evacuations.revision, sorted(self.evacuations.zones)]
        if self.evacuations_age_ms != NEVER_MS:
            fields["evacuations_age_ms"] = self.evacuations_age_ms
        if self.configuration_age_ms != NEVER_MS:
            fields["config_age_ms"] = self.configuration_age_ms
        if self.busy_zones:
            fields["busy_zones"] = list(self.busy_zones)
        if self.sees_relays:
            fields["relays"] = 1
        if self.server_loads:
            fields["loads"] = {
                server_id: [
                    load.in_flight,
                    load.waiting,
                    round(load.service_ms, 1),
                    load.samples,
                    load.rejections,
                ]
                for server_id, load in self.server_loads.items()
            }
        return fields

    @classmethod
    def from_fields(cls, fields: dict) -> "HeartbeatExtension":
        """Return the extension decoded from an object made by :meth:`to_fields`.

        Unknown parts are ignored.

        :raises ValueError: if a part is invalid.
        """
        revision, zones = fields.get("evacuations", (0, ()))
        loads = {
            str(server_id): ServerLoad(int(n), int(w), float(ms), int(samples), int(rejections))
            for server_id, (n, w, ms, samples, rejections) in fields.get("loads", {}).items()
        }
        evacuations = Evacuations(int(revision), frozenset(map(str, zones)))
        busy_zones = tuple(map(str, fields.get("busy_zones", ())))
        return cls(
            evacuations,
            busy_zones,
            loads,
            sees_relays=bool(fields.get("relays")),
            evacuations_age_ms=int(fields.get("evacuations_age_ms", NEVER_MS)),
            configuration_age_ms=int(fields.get("config_age_ms", NEVER_MS)),
        )


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
    :param reads_extension: whether this heartbeat shows that the sender reads an extension; it
        can't show that while it does not reach the store.
    :param extension: state that earlier releases don't send; ``None`` if it was left out.
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
    reads_extension: bool = True
    extension: HeartbeatExtension | None = None

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
    return json.dumps(heartbeat_elements(heartbeat), separators=(",", ":")).encode()


def heartbeat_elements(heartbeat: Heartbeat) -> list:
    """Return the elements of a datagram, which can be encoded as JSON."""
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
    elements = [
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
    ]
    if heartbeat.extension is not None:
        elements.append(heartbeat.extension.to_fields())
    return elements


def _store_state(heartbeat: Heartbeat) -> int:
    if not heartbeat.store_ok:
        return STORE_LOST
    if heartbeat.ignores_eras:
        return STORE_OK_WITHOUT_ERAS
    return STORE_OK if heartbeat.reads_extension else STORE_OK_WITHOUT_EXTENSION


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Return the heartbeat in a datagram.

    :raises HeartbeatError: if the datagram can't be decoded as a heartbeat.
    """
    try:
        return decode_elements(json.loads(data))
    except DECODE_ERRORS as error:
        raise HeartbeatError(
            f"datagram of {len(data)} bytes is not a heartbeat: {error}"
        ) from error


def decode_elements(elements: list) -> Heartbeat:
    """Return the heartbeat with the elements of a datagram.

    :raises ValueError: if they are invalid; also :exc:`TypeError` or :exc:`AttributeError`.
    """
    sender, state, store, omittable, observed, (partial, spent), *extra = elements
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
        reads_extension=store_state == STORE_OK,
        extension=HeartbeatExtension.from_fields(extra[0]) if extra else None,
    )
