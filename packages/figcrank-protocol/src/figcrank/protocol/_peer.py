"""Messages between hosts: gossip datagrams, peer requests and their replies."""

import msgspec

from figcrank.protocol._failures import Failure
from figcrank.protocol._statements import Statement, StatementResult
from figcrank.state import ConfigObject, HostState, Position, Profile, ServerStatus


class MemberUpdate(msgspec.Struct, frozen=True):
    """Membership state of one host, as spread by gossip.

    :param host: host name.
    :param availability_zone: availability zone of the host.
    :param gossip_address: ``ip:port`` for gossip.
    :param peer_address: ``ip:port`` for peer requests.
    :param incarnation: number that only the host itself increments, to refute a suspicion.
    :param state: state of the host as the sender sees it.
    :param cell: gossip cell of the host.
    """

    host: str
    availability_zone: str
    gossip_address: str
    peer_address: str
    incarnation: int
    state: HostState
    cell: str = "cell-1"


class Digest(msgspec.Struct, frozen=True):
    """Summary of a host's knowledge, which its peers compare with theirs on every probe.

    :param config_revision: revision of the configuration in force.
    :param fresh_age_ms: time since the store last answered the sender or, if that is more recent,
        one of the hosts from which the sender has received a digest.
    :param platform_failed: whether the sender's own last platform call failed.
    """

    config_revision: int
    fresh_age_ms: int
    platform_failed: bool = False


class Ping(msgspec.Struct, frozen=True, tag=True):
    """A liveness probe; the receiver replies with :class:`Ack`."""

    seq: int
    digest: Digest
    updates: tuple[MemberUpdate, ...] = ()


class Ack(msgspec.Struct, frozen=True, tag=True):
    """The reply to a probe, direct or relayed.

    :param target: host that is confirmed to be alive.
    """

    seq: int
    target: str
    digest: Digest
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, tag=True):
    """Request that the receiver probe ``target`` on the sender's behalf."""

    seq: int
    target: str
    digest: Digest
    updates: tuple[MemberUpdate, ...] = ()


class ConfigPush(msgspec.Struct, frozen=True, tag=True):
    """Configuration changes between two revisions.

    :param since: revision that the receiver must already have reached for the changes to be
        complete.
    :param revision: revision that the receiver reaches by applying the changes.
    :param objects: newest version of every object changed in between.
    """

    since: int
    revision: int
    objects: tuple[ConfigObject, ...]


class ConfigPull(msgspec.Struct, frozen=True, tag=True):
    """Request a :class:`ConfigPush` with the changes after revision ``since``."""

    since: int


class Demand(msgspec.Struct, frozen=True, omit_defaults=True):
    """A host's demand for one workspace's rate limit tokens.

    :param workspace: name of the workspace.
    :param wanted_milli: milli-tokens requested for the next lease period.
    :param returned_milli: unspent milli-tokens of ``slice_id`` that the sender returns.
    :param slice_id: slice that tokens are returned from; 0 for none.
    :param asked_milli: milli-tokens that callers requested since the last report.
    :param spent_milli: milli-tokens of ``slice_id`` spent so far.
    :param previous_home: other host for which the sender's earlier vote as home is still valid;
        empty if there is none and the sender votes for the receiver, ``*`` if it casts no vote.
    :param free_ms: time for which the sender has had no valid vote for another host.
    """

    workspace: str
    wanted_milli: int
    returned_milli: int = 0
    slice_id: int = 0
    asked_milli: int = 0
    spent_milli: int = 0
    previous_home: str = ""
    free_ms: int = 0


class DemandReport(msgspec.Struct, frozen=True, tag=True):
    """A host's demands, sent to the home host of their workspaces.

    :param seq: sequence number that the matching :class:`SliceGrants` repeats.
    """

    seq: int
    demands: tuple[Demand, ...]


class Slice(msgspec.Struct, frozen=True, omit_defaults=True):
    """Rate limit tokens leased to one host.

    :param workspace: name of the workspace.
    :param slice_id: id of the slice, unique at the home host.
    :param amount_milli: milli-tokens granted; 0 if none are available.
    :param lease_ms: lifetime, which the receiver counts from the time it sent its report.
    :param retry_after_ms: time until more tokens may be available.
    """

    workspace: str
    slice_id: int
    amount_milli: int
    lease_ms: int
    retry_after_ms: int = 0


class SliceGrants(msgspec.Struct, frozen=True, tag=True):
    """The home host's reply to a :class:`DemandReport`."""

    seq: int
    slices: tuple[Slice, ...]


class HomeHandover(msgspec.Struct, frozen=True, tag=True):
    """Token bucket level that a leaving home host sends to its successor.

    :param workspace: name of the workspace.
    :param level_milli: milli-tokens in the bucket, excluding those on lease.
    :param lent_milli: milli-tokens that may still be on lease.
    :param lent_ms: longest remaining lifetime of a leased slice, in milliseconds.
    :param handover_id: increases with every hand-over of the sender, so that the receiver can
        detect replays.
    """

    workspace: str
    level_milli: int
    lent_milli: int
    lent_ms: int
    handover_id: int = 0


class GroupReport(msgspec.Struct, frozen=True, tag=True):
    """A probing host's observations of a database group.

    :param group: name of the group.
    :param term: highest term in which the sender has observed a primary.
    :param primary: primary of that term; empty if none is known.
    :param statuses: newest status of each server that answered.
    :param primary_failed_ms: time for which the primary has not answered the sender; 0 if it
        answers.
    :param stalled_ms: time for which the primary's writes have not become durable on a majority.
    """

    group: str
    term: int
    primary: str
    statuses: tuple[ServerStatus, ...]
    primary_failed_ms: int
    stalled_ms: int


Gossip = (
    Ping
    | Ack
    | PingRequest
    | ConfigPush
    | ConfigPull
    | DemandReport
    | SliceGrants
    | HomeHandover
    | GroupReport
)


class OwnedRequest(msgspec.Struct, frozen=True, tag=True):
    """A request that an entry host forwards to an owner host of the database group.

    :param request_id: unique id, derived from the idempotency key if there is one.
    :param workspace: authenticated workspace.
    :param key_id: public id of the caller's key, so that revoking the key ends the request.
    :param group: database group.
    :param profile: consistency profile that applies.
    :param statements: statements to run.
    :param position: minimum log position that the session must observe.
    :param repeatable: whether the request is safe to run twice.
    :param timeout_ms: time left, counted from receipt.
    :param weight: the workspace's rate, which sets its share of a contended queue.
    :param traceparent: W3C trace context.
    :param settles: whether the request resolves the outcome of a lost commit; if so, its record is
        stored although it only reads.

    The request carries the workspace's name, never the caller's key.
    """

    request_id: str
    workspace: str
    key_id: str
    group: str
    profile: Profile
    statements: tuple[Statement, ...]
    position: Position
    repeatable: bool
    timeout_ms: int
    weight: int
    traceparent: str = ""
    settles: bool = False


class TransactionStep(msgspec.Struct, frozen=True, tag=True):
    """A step of a transaction, forwarded to the host that owns the transaction.

    :param transaction: transaction id, ``<host>.<number>``.
    :param action: ``begin``, ``statements``, ``commit`` or ``rollback``.
    """

    request_id: str
    transaction: str
    action: str
    workspace: str
    key_id: str
    group: str
    statements: tuple[Statement, ...]
    timeout_ms: int
    weight: int
    traceparent: str = ""


class OwnedAnswer(msgspec.Struct, frozen=True, tag=True):
    """An owner host's reply to a request that succeeded.

    :param results: one result per statement.
    :param position: log position to record in the session.
    :param served_by: backend server that ran the request.
    :param replayed: whether the results are those stored when the request first ran.
    :param transaction: id of the open transaction, if any.
    """

    results: tuple[StatementResult, ...]
    position: Position
    served_by: str
    group: str
    replayed: bool = False
    transaction: str = ""


class OwnedFailure(msgspec.Struct, frozen=True, tag=True):
    """An owner host's reply to a request that was rejected or failed."""

    failure: Failure


PeerRequest = OwnedRequest | TransactionStep | ConfigPull
PeerReply = OwnedAnswer | OwnedFailure | ConfigPush
