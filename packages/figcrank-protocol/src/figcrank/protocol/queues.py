"""The page of a session proxy host that shows the queues of one database group, as JSON."""

import json
from dataclasses import asdict, dataclass

MAX_SERVERS = 32
MAX_WAITING_ROWS = 20
MAX_REFUSAL_ROWS = 20


@dataclass(frozen=True, slots=True)
class WaitingWork:
    """Statements of one kind and workspace that wait for servers.

    :param kind: route and ``read``, ``write`` or ``transaction``.
    :param workspace: their workspace.
    :param count: number of statements.
    :param work_ms: their expected service time.
    :param oldest_ms: time since the oldest operation among them arrived.
    """

    kind: str
    workspace: str
    count: int
    work_ms: float
    oldest_ms: int


@dataclass(frozen=True, slots=True)
class ServerQueue:
    """What one host does at one server.

    :param server: id of the server.
    :param is_primary: whether the host takes it for the primary of its group.
    :param in_flight: statements that run and connections that are being opened.
    :param max_in_flight: the limit of these that is in force.
    :param waiting: statements that wait for a slot.
    :param work_ms: their expected service time.
    :param statements_per_s: statements a second that ended in the last seconds.
    :param service_ms_per_s: their service time a second.
    """

    server: str
    is_primary: bool
    in_flight: int
    max_in_flight: int
    waiting: int
    work_ms: float
    statements_per_s: float
    service_ms_per_s: float


@dataclass(frozen=True, slots=True)
class RefusalCount:
    """Refusals of one workspace for one reason.

    :param reason: label of the counter ``callers_refused``.
    :param workspace: the workspace; empty for those beyond the number that a host keeps.
    :param count: number of refused operations.
    """

    reason: str
    workspace: str
    count: int


@dataclass(frozen=True, slots=True)
class GroupQueues:
    """The queues of a database group as one host sees them.

    :param host: name of the host.
    :param group: name of the group.
    :param is_owner: whether the host holds connections to servers; a relay has no queues.
    :param awaiting_primary: statements that wait for a primary that can be used.
    :param servers: the first :data:`MAX_SERVERS` servers by id.
    :param waiting: the :data:`MAX_WAITING_ROWS` rows with the most service time.
    :param waiting_unlisted: statements that wait and are in none of these rows.
    :param refusals: the :data:`MAX_REFUSAL_ROWS` rows with the most refusals.
    :param refusals_unlisted: refusals that are in none of these rows.
    :param refusals_window_ms: time for which refusals are shown.
    """

    host: str
    group: str
    is_owner: bool
    awaiting_primary: int
    servers: tuple[ServerQueue, ...]
    waiting: tuple[WaitingWork, ...]
    waiting_unlisted: int
    refusals: tuple[RefusalCount, ...]
    refusals_unlisted: int
    refusals_window_ms: int


def encode_queues(page: GroupQueues) -> bytes:
    """Return the body of the page."""
    return json.dumps(asdict(page), separators=(",", ":")).encode()
