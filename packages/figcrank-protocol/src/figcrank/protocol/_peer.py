"""Messages between hosts: gossip datagrams and peer requests."""

import msgspec

from figcrank.protocol._failures import Failure
from figcrank.protocol._statements import Statement, StatementResult
from figcrank.state import ConfigObject, HostState, Position, Profile, ServerStatus


class MemberUpdate(msgspec.Struct, frozen=True):
    """One host's state as gossip carries it.

    :param host: host name.
    :param availability_zone: its availability zone.
    :param gossip_address: ``ip:port`` for gossip.
    :param peer_address: ``ip:port`` for peer requests.
    :param incarnation: raised by the host itself to refute a suspicion.
    :param state: believed state.
    :param cell: its gossip cell.
    """

    host: str
    availability_zone: str
    gossip_address: str
    peer_address: str
    incarnation: int
    state: HostState
    cell: str = "cell-1"


class Digest(msgspec.Struct, frozen=True):
    """What a host knows, compared by its peers on every probe.

    :param config_revision: revision of the configuration in force.
    :param fresh_age_ms: time since the sender or whom it heard from last heard from the store.
    :param platform_failed: whether the sender's own newest platform call failed.
    """

    config_revision: int
    fresh_age_ms: int
    platform_failed: bool = False


class Ping(msgspec.Struct, frozen=True, tag=True):
    """A probe; the receiver answers with :class:`Ack`."""

    seq: int
    digest: Digest
    updates: tuple[MemberUpdate, ...] = ()


class Ack(msgspec.Struct, frozen=True, tag=True):
    """The answer to a probe, direct or relayed.

    :param target: host whose life is confirmed.
    """

    seq: int
    target: str
    digest: Digest
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks the receiver to probe ``target`` on the sender's behalf."""

    seq: int
    target: str
    digest: Digest
    updates: tuple[MemberUpdate, ...] = ()


class ConfigPush(msgspec.Struct, frozen=True, tag=True):
    """Configuration changes between two revisions.

    :param since: revision that the receiver must have reached to take the changes as complete.
    :param revision: revision reached with them.
    :param objects: every object changed in between, newest version.
    """

    since: int
    revision: int
    objects: tuple[ConfigObject, ...]


class ConfigPull(msgspec.Struct, frozen=True, tag=True):
    """Asks for a :class:`ConfigPush` from ``since`` on."""

    since: int


class Demand(msgspec.Struct, frozen=True, omit_defaults=True):
    """A host's need of one workspace's tokens.

    :param workspace: the workspace.
    :param wanted_milli: milli-tokens wanted for the next lease time.
    :param returned_milli: milli-tokens of ``slice_id`` that are given back, provably unspent.
    :param slice_id: slice that the return refers to; 0 for none.
    :param asked_milli: milli-tokens asked for by callers since the last report.
    :param spent_milli: milli-tokens of ``slice_id`` spent so far.
    :param previous_home: other host that may still count on the sender's word that it is home;
        empty if the receiver has the word, ``*`` if the sender gives none.
    :param free_ms: time for which no other home has been able to count on the sender's word.
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
    """A host's demands, sent to the home host of the workspaces named.

    :param seq: number that the matching :class:`SliceGrants` repeats.
    """

    seq: int
    demands: tuple[Demand, ...]


class Slice(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tokens lent to one host.

    :param workspace: the workspace.
    :param slice_id: unique at the home host.
    :param amount_milli: milli-tokens lent; 0 says that none are available.
    :param lease_ms: lifetime, counted by the receiver from when it sent its report.
    :param retry_after_ms: when more may be available.
    """

    workspace: str
    slice_id: int
    amount_milli: int
    lease_ms: int
    retry_after_ms: int = 0


class SliceGrants(msgspec.Struct, frozen=True, tag=True):
    """The home host's answer to a :class:`DemandReport`."""

    seq: int
    slices: tuple[Slice, ...]


class HomeHandover(msgspec.Struct, frozen=True, tag=True):
    """A leaving home host's bucket level for its successor.

    :param workspace: the workspace.
    :param level_milli: milli-tokens in the bucket, none of them lent.
    :param lent_milli: milli-tokens that may still be out.
    :param lent_ms: longest remaining lifetime of a lent slice, in milliseconds.
    :param handover_id: rises with every hand-over of the sender, so that replays are known.
    """

    workspace: str
    level_milli: int
    lent_milli: int
    lent_ms: int
    handover_id: int = 0


class GroupReport(msgspec.Struct, frozen=True, tag=True):
    """What a probing host saw of a database group.

    :param group: the group.
    :param term: highest term that the sender knows to have a primary.
    :param primary: primary of that term; empty if none is known.
    :param statuses: newest status of each server that answered.
    :param primary_failed_ms: how long the primary has failed to answer the sender; 0 if it answers.
    :param stalled_ms: how long the primary's writes have not become durable on a majority.
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
    """A request that an entry host passes to an owner host of its group.

    It carries the workspace's name, never the caller's key.

    :param request_id: unique id, derived from the idempotency key where there is one.
    :param workspace: authenticated workspace.
    :param key_id: public id of the key, so that a withdrawal ends the request.
    :param group: database group.
    :param profile: profile that applies.
    :param statements: statements to run.
    :param position: position that the session must see.
    :param repeatable: whether running it twice does no harm.
    :param timeout_ms: time left, counted from receipt.
    :param weight: the workspace's rate, its share of a contended queue.
    :param traceparent: W3C trace context.
    :param settles: whether it settles a lost commit and so is stored, though it only reads.
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
    """A step of a transaction, passed to the host that owns it.

    :param transaction: id, ``<host>.<number>``.
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
    """An owner host's successful answer.

    :param results: one result a statement.
    :param position: position for the session.
    :param served_by: backend server that ran it.
    :param replayed: whether a kept answer is given.
    :param transaction: id of the open transaction, if any.
    """

    results: tuple[StatementResult, ...]
    position: Position
    served_by: str
    group: str
    replayed: bool = False
    transaction: str = ""


class OwnedFailure(msgspec.Struct, frozen=True, tag=True):
    """An owner host's refusal or failure."""

    failure: Failure


PeerRequest = OwnedRequest | TransactionStep | ConfigPull
PeerReply = OwnedAnswer | OwnedFailure | ConfigPush
