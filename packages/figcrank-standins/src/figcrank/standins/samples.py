"""Sample configuration for embedded use, and the sizes of both users as data."""

import msgspec

from figcrank.protocol.objects import encode_config_value
from figcrank.state import (
    ConfigValue,
    Group,
    Key,
    PresentedKey,
    Profile,
    ProfileMode,
    Server,
    Service,
    Workspace,
)

SAMPLE_GROUP = "roster-1"
SAMPLE_SERVICE = "roster"
SAMPLE_WORKSPACE = "demo"
SAMPLE_RATE_PER_S = 1_000
SAMPLE_BURST = 2_000
RELAXED_STALENESS_MS = 5_000
_SAMPLE_KEY = PresentedKey("demo1", "5f0c2a9b7d41e836")
_SAMPLE_SALT = "a1b2c3d4e5f60718"
_SERVER_SUFFIXES = ("a", "b", "c")
_UNSET_ADDRESS = "127.0.0.1:0"


class SampleObject(msgspec.Struct, frozen=True):
    """One configuration object as the platform's store keeps it.

    :param kind: collection.
    :param name: name within the collection.
    :param value: JSON text.
    """

    kind: str
    name: str
    value: str


class SampleConfig(msgspec.Struct, frozen=True):
    """A configuration to start with.

    :param objects: objects to put into the platform's store.
    :param key: the plain text of the key in it.
    """

    objects: tuple[SampleObject, ...]
    key: str


class Sizes(msgspec.Struct, frozen=True):
    """The sizes of one user.

    :param availability_zones: names of the availability zones.
    :param groups: database groups; their addresses are to be filled in.
    :param workspaces: workspaces with their rates.
    :param zone_delay_ms: one-way delay between availability zones, in milliseconds.
    :param client_delay_ms: one-way delay to clients, in milliseconds.
    :param connect_ms: time that a new database connection takes, in milliseconds.
    :param hosts: number of entry hosts.
    """

    availability_zones: tuple[str, ...]
    groups: tuple[Group, ...]
    workspaces: tuple[Workspace, ...]
    zone_delay_ms: float
    client_delay_ms: float
    connect_ms: float
    hosts: int


def sample_objects() -> SampleConfig:
    """Return profiles ``fresh``, ``relaxed`` and ``write``, a service, a workspace and its key."""
    key = Key.from_secret(_SAMPLE_KEY.key_id, SAMPLE_WORKSPACE, _SAMPLE_SALT, _SAMPLE_KEY.secret)
    objects = (
        _sample("profile", "fresh", Profile("fresh", ProfileMode.FRESH)),
        _sample("profile", "relaxed", _relaxed_profile()),
        _sample("profile", "write", Profile("write", ProfileMode.WRITE)),
        _sample("workspace", SAMPLE_WORKSPACE, _sample_workspace()),
        _sample("service", SAMPLE_SERVICE, Service(SAMPLE_SERVICE, SAMPLE_GROUP)),
        _sample("key", key.key_id, key),
    )
    return SampleConfig(objects, _SAMPLE_KEY.to_text())


def patna() -> Sizes:
    """Return the sizes of Pătna Kooperatsia Signal Crews."""
    zones = ("sofia-a", "sofia-b", "sofia-c")
    return Sizes(
        availability_zones=zones,
        groups=_groups("roster", zones, slots=5, connections=35),
        workspaces=_workspaces("crew", (600, 400, 250, 60, 50, 40, 30, 20)),
        zone_delay_ms=1.5,
        client_delay_ms=1.0,
        connect_ms=12.0,
        hosts=9,
    )


def herdtrace() -> Sizes:
    """Return the sizes of Savannah Herdtrace Ltd."""
    zones = ("nigeria-a", "nigeria-b", "nigeria-c")
    return Sizes(
        availability_zones=zones,
        groups=_groups("registry", zones, slots=3, connections=40),
        workspaces=_workspaces("cooperative", (400, 300, 150, 40, 30, 30, 20, 10)),
        zone_delay_ms=1.0,
        client_delay_ms=3.0,
        connect_ms=12.0,
        hosts=8,
    )


def group_of(name: str, availability_zones: tuple[str, ...], slots: int, connections: int) -> Group:
    """Return a group of one server in each availability zone, without addresses."""
    servers = tuple(
        Server(f"{name}-{suffix}", zone, _UNSET_ADDRESS)
        for suffix, zone in zip(_SERVER_SUFFIXES, availability_zones, strict=True)
    )
    return Group(name, servers, slots, connections)


def _groups(
    prefix: str, availability_zones: tuple[str, ...], slots: int, connections: int
) -> tuple[Group, ...]:
    names = [f"{prefix}-{number}" for number in (1, 2, 3)]
    return tuple(group_of(name, availability_zones, slots, connections) for name in names)


def _workspaces(prefix: str, rates: tuple[int, ...]) -> tuple[Workspace, ...]:
    numbered = enumerate(rates, start=1)
    return tuple(Workspace(f"{prefix}-{number}", rate, 2 * rate) for number, rate in numbered)


def _relaxed_profile() -> Profile:
    return Profile("relaxed", ProfileMode.BOUNDED, RELAXED_STALENESS_MS)


def _sample_workspace() -> Workspace:
    return Workspace(SAMPLE_WORKSPACE, SAMPLE_RATE_PER_S, SAMPLE_BURST)


def _sample(kind: str, name: str, value: ConfigValue) -> SampleObject:
    return SampleObject(kind, name, encode_config_value(value))
