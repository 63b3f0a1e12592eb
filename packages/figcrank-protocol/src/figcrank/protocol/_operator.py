"""Requests of the operator API and their replies."""

import msgspec

from figcrank.protocol._failures import Failure
from figcrank.state import ConfigObject, ConfigValue, HostState, ServerStatus


class StatusQuery(msgspec.Struct, frozen=True, tag=True):
    """Request one host's view of the fleet."""


class EditObject(msgspec.Struct, frozen=True, tag=True):
    """Change one configuration object.

    :param kind: ``profile``, ``workspace``, ``service``, ``route`` or ``key``.
    :param name: name of the object.
    :param expected_version: version that the edit is based on; 0 for a new object.
    :param value: the new object, ``None`` to delete it.
    :param operator: operator who makes the edit, recorded in the audit log.
    """

    kind: str
    name: str
    expected_version: int
    value: ConfigValue | None
    operator: str


class ListConfig(msgspec.Struct, frozen=True, tag=True):
    """Request the configuration in force.

    :param kind: return only objects of this kind; empty for all.
    """

    kind: str = ""


class SwitchPrimary(msgspec.Struct, frozen=True, tag=True):
    """Switch a group's primary over to another server without leaving write outcomes unknown.

    :param group: name of the group.
    :param server: server to promote; empty to choose the best candidate.
    """

    group: str
    server: str = ""


class DrainServer(msgspec.Struct, frozen=True, tag=True):
    """Stop sending new work to a server, or put it back into service.

    :param draining: ``True`` to drain the server, ``False`` to restore it.
    """

    group: str
    server: str
    draining: bool = True


class Explain(msgspec.Struct, frozen=True, tag=True):
    """Request entries of the decision log.

    :param subject: request id, group, server, workspace or host that the decisions concern; empty
        for the newest decisions.
    """

    subject: str = ""


OperatorRequest = StatusQuery | EditObject | ListConfig | SwitchPrimary | DrainServer | Explain


class HostStatus(msgspec.Struct, frozen=True):
    """A host's view of another host.

    :param config_revision: newest configuration revision that the other host has reported as in
        force; -1 if it has reported none.
    """

    name: str
    availability_zone: str
    state: HostState
    incarnation: int
    config_revision: int


class GroupStatus(msgspec.Struct, frozen=True):
    """A host's view of a database group.

    :param statuses: last status that each server reported.
    :param queued: number of writes queued at this host.
    :param silent: servers that did not answer this host's last query.
    """

    name: str
    term: int
    primary: str
    owners: tuple[str, ...]
    statuses: tuple[ServerStatus, ...]
    queued: int = 0
    silent: tuple[str, ...] = ()


class LimitStatus(msgspec.Struct, frozen=True):
    """A host's view of a workspace's rate limit.

    :param home: host that grants the workspace's tokens.
    :param held_milli: milli-tokens in unexpired slices that this host holds.
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
    """The edit was accepted; ``stored`` is the object as stored."""

    stored: ConfigObject


class EditConflict(msgspec.Struct, frozen=True, tag=True):
    """A concurrent edit came first; ``current`` is the stored object, ``None`` if there is none."""

    current: ConfigObject | None


class ConfigList(msgspec.Struct, frozen=True, tag=True):
    """Configuration objects in force at ``revision``."""

    revision: int
    objects: tuple[ConfigObject, ...]


class Decision(msgspec.Struct, frozen=True):
    """One entry of the decision log.

    :param at_ms: the host's monotonic time, in milliseconds.
    :param kind: kind of decision, such as ``promotion``, ``fence``, ``refusal`` or ``drain``.
    :param subject: request id, group, server, workspace or host that the decision concerns.
    :param reason: why the decision was made, one sentence.
    :param inputs: values that the decision was based on, as text.
    """

    at_ms: int
    kind: str
    subject: str
    reason: str
    inputs: dict[str, str] = {}


class DecisionList(msgspec.Struct, frozen=True, tag=True):
    """The matching decisions, oldest first."""

    decisions: tuple[Decision, ...]


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """The request was accepted and is in progress."""

    message: str


class OperatorFailure(msgspec.Struct, frozen=True, tag=True):
    """The request was not carried out."""

    failure: Failure


OperatorReply = (
    FleetStatus | EditDone | EditConflict | ConfigList | DecisionList | Accepted | OperatorFailure
)
