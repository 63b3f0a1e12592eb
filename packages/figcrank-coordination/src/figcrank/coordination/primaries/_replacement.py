"""When a primary is replaced, by which server, and when the promotion is safe.

Before a server is promoted, no host may be able to have a write acknowledged by the old primary.
That holds once the old one is demoted, or no process listens at its address, or every host has said
that it uses it no more, or those that said nothing must have lost their lease.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass
from enum import Enum, auto

from figcrank.coordination.primaries._book import LEASE_MS, MAJORITY_LEASE_MS
from figcrank.protocol.heartbeats import NEVER_MS, PrimaryRecord, Trouble
from figcrank.protocol.sessions import ServerReport
from figcrank.state._catalog import Registry
from figcrank.state._positions import ORIGIN

REFUSED_MS = 150  # a process that nobody listens for is not coming back within this time
SILENT_MS = 500  # longer than the slowest statement's usual work behind a full queue
REPORTERS_SHARE = 0.25  # below a quarter of the hosts, a promotion harms more callers than it helps
LEASE_MARGIN_MS = 100  # between a host's check of its lease and the statement's arrival
SETTLING_MS = 3_000  # a partition ends after some seconds; one replacement in it is enough
SETTLING_SHARE = 0.6  # of the hosts, for another replacement within that time
MISSING_MS = 3_000  # entries that lapsed in an outage of the store are back within two seconds


class Reason(Enum):
    """Why a primary is replaced."""

    LEAVING = auto()
    MISSING = auto()
    UNREACHABLE = auto()


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of a primary that may have to be replaced.

    :param record: the belief about its group.
    :param registry: the registered servers.
    :param missing_ms: for how long the primary has had no entry.
    :param believed_ms: for how long it has been taken for the primary.
    :param registry_fresh: whether the registry is recent and the store was not away lately.
    :param own_trouble: this host's trouble with it, if any.
    :param peer_troubles: the live peers' troubles, ``None`` for each peer that has none.
    """

    record: PrimaryRecord
    registry: Registry
    missing_ms: int
    believed_ms: int
    registry_fresh: bool
    own_trouble: Trouble | None
    peer_troubles: tuple[Trouble | None, ...]


def reason_to_replace(evidence: Evidence) -> Reason | None:
    """Return why the primary is to be replaced now, ``None`` if it is not."""
    entry = evidence.registry.servers.get(evidence.record.server_id)
    if evidence.registry_fresh and entry is not None and entry.draining:
        return Reason.LEAVING
    troubles = (evidence.own_trouble, *evidence.peer_troubles)
    primary_id = evidence.record.server_id
    reporters = sum(1 for trouble in troubles if trouble and _counts(trouble, primary_id))
    hosts = len(troubles)
    # Hosts that are cut off from a new primary are cut off from others too; wait for their return.
    share = SETTLING_SHARE if evidence.believed_ms < SETTLING_MS else REPORTERS_SHARE
    needed = 1 if hosts == 1 else max(2, share * hosts)
    if reporters >= needed:
        return Reason.UNREACHABLE
    if evidence.registry_fresh and entry is None and evidence.missing_ms >= MISSING_MS:
        return Reason.MISSING
    return None


def _counts(trouble: Trouble, primary_id: str) -> bool:
    if trouble.server_id != primary_id:
        return False
    return trouble.failing_ms >= (REFUSED_MS if trouble.refused else SILENT_MS)


@dataclass(frozen=True, slots=True)
class Fence:
    """How far a group's old primary is kept from acknowledging anything.

    :param stored_ms: when the replacement was written to the store.
    :param demoted: whether the old primary said that it is a replica now.
    :param refused: whether no process listens at its address.
    :param hosts: hosts of the fleet, this one included.
    :param quiet: hosts that use it no more, this one included.
    :param majority_quiet_ms: since when the hosts that may still use it are no majority.
    :param third_quiet_ms: since when a third of the hosts uses it no more.
    """

    stored_ms: int
    demoted: bool
    refused: bool
    hosts: int
    quiet: int
    majority_quiet_ms: int
    third_quiet_ms: int


def may_promote(fence: Fence, now_ms: int) -> bool:
    """Return whether another server may be promoted now."""
    if fence.demoted or fence.refused or fence.quiet >= fence.hosts:
        return True
    majority_ended = now_ms - fence.stored_ms >= MAJORITY_LEASE_MS + LEASE_MARGIN_MS
    if majority_ended and fence.third_quiet_ms != NEVER_MS:
        return now_ms - fence.third_quiet_ms >= LEASE_MS
    if fence.majority_quiet_ms == NEVER_MS:
        return False
    return now_ms - max(fence.stored_ms, fence.majority_quiet_ms) >= LEASE_MS


def best_candidates(
    reports: Iterable[tuple[str, ServerReport]], leaving: Set[str]
) -> list[tuple[str, ServerReport]]:
    """Return the servers that may lead, the one with the most complete log first.

    A server that is about to leave comes last, however complete its log is.

    :param reports: what the servers say of themselves, by id.
    :param leaving: ids of the servers that are about to leave.
    """

    def rank(item: tuple[str, ServerReport]) -> tuple:
        server_id, report = item
        return server_id not in leaving, report.position or ORIGIN, server_id

    return sorted(reports, key=rank, reverse=True)
