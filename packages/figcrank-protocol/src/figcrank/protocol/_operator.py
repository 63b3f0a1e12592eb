"""Requests of the operator API and their replies."""

import msgspec

from figcrank.protocol._failures import Failure
from figcrank.state import ConfigObject, ConfigValue, HostState, ServerStatus


class StatusQuery(msgspec.Struct, frozen=True, tag=True):
    """Ask for everything that one host knows of the fleet."""


class EditObject(msgspec.Struct, frozen=True, tag=True):
    """Change one configuration object.

    :param kind: ``profile``, ``workspace``, ``service``, ``route`` or ``key``.
    :param name: name of the object.
    :param expected_version: version that the edit is based on; 0 for a new object.
    :param value: the new object, ``None`` to delete it.
    :param operator: who makes the edit, for the audit entry.
    """

    kind: str
    name: str
    expected_version: int
    value: ConfigValue | None
    operator: str


class ListConfig(msgspec.Struct, frozen=True, tag=True):
    """Ask for the configuration in force.

    :param kind: only objects of this kind; empty for all.
    """

    kind: str = ""


class SwitchPrimary(msgspec.Struct, frozen=True, tag=True):
    """Move a group's primary to another server without unknown outcomes.

    :param group: the group.
    :param server: the server to promote; empty for the best candidate.
    """

    group: str
    server: str = ""


class DrainServer(msgspec.Struct, frozen=True, tag=True):
    """Give a server no new work, or take it back into use.

    :param draining: whether to drain or to restore.
    """

    group: str
    server: str
    draining: bool = True


class Explain(msgspec.Struct, frozen=True, tag=True):
    """Ask why something was decided.

    :param subject: request id, group, server, workspace or host; empty for the newest decisions.
    """

    subject: str = ""


OperatorRequest = StatusQuery | EditObject | ListConfig | SwitchPrimary | DrainServer | Explain


class HostStatus(msgspec.Struct, frozen=True):
    """What a host believes of another one.

    :param config_revision: newest revision it was heard to have in force, -1 if never heard.
    """

    name: str
    availability_zone: str
    state: HostState
    incarnation: int
    config_revision: int


class GroupStatus(msgspec.Struct, frozen=True):
    """What a host believes of a database group.

    :param statuses: what each server reported last.
    :param queued: writes that wait at this host.
    :param silent: servers that left this host's last query unanswered.
    """

    name: str
    term: int
    primary: str
    owners: tuple[str, ...]
    statuses: tuple[ServerStatus, ...]
    queued: int = 0
    silent: tuple[str, ...] = ()


class LimitStatus(msgspec.Struct, frozen=True):
    """A workspace's limit as this host sees it.

    :param home: host that lends the tokens.
    :param held_milli: milli-tokens of live slices held by this host.
    """

    workspace: str
    rate_per_s: int
    burst: int
    home: str
    held_milli: int
    admitted: int
    refused: int


class FleetStatus(msgspec.Struct, frozen=True, tag=True):
    """One host's view of the fleet."""

    host: str
    ready: bool
    config_revision: int
    platform_reachable: bool
    hosts: tuple[HostStatus, ...]
    groups: tuple[GroupStatus, ...]
    limits: tuple[LimitStatus, ...]


class EditDone(msgspec.Struct, frozen=True, tag=True):
    """An edit was accepted and stored as ``stored``."""

    stored: ConfigObject


class EditConflict(msgspec.Struct, frozen=True, tag=True):
    """Another edit came first; ``current`` is what stands, ``None`` if the object is absent."""

    current: ConfigObject | None


class ConfigList(msgspec.Struct, frozen=True, tag=True):
    """Configuration objects in force at ``revision``."""

    revision: int
    objects: tuple[ConfigObject, ...]


class Decision(msgspec.Struct, frozen=True):
    """One entry of the decision log.

    :param at_ms: the host's monotonic time.
    :param kind: such as ``promotion``, ``fence``, ``refusal``, ``drain``.
    :param subject: what it is about: a request id, group, server, workspace or host.
    :param reason: why, in one sentence.
    :param inputs: values that it was decided on, as text.
    """

    at_ms: int
    kind: str
    subject: str
    reason: str
    inputs: dict[str, str] = {}


class DecisionList(msgspec.Struct, frozen=True, tag=True):
    """Decisions found, oldest first."""

    decisions: tuple[Decision, ...]


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """The order was taken and is being carried out."""

    message: str


class OperatorFailure(msgspec.Struct, frozen=True, tag=True):
    """The order was not carried out."""

    failure: Failure


OperatorReply = (
    FleetStatus | EditDone | EditConflict | ConfigList | DecisionList | Accepted | OperatorFailure
)
